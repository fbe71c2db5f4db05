// Package member tracks which instances are live: it corrects the platform's
// list, which lags, by probes between instances. Every instance knows all
// others and probes its successors on a ring. An instance that fails several
// probes in a row becomes suspect, and the suspicion is flooded. Unless the
// suspect refutes it by increasing its incarnation, it is then considered
// down.
package member

import "cmp"

// State is the state of an instance as seen by another.
type State uint8

// Values of State. At the same incarnation, the higher value takes precedence.
const (
	Alive   State = 0
	Suspect State = 1
	Leaving State = 2
	Down    State = 3
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "down"
	}
}

// Member is one instance.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Peer        string `cbor:"3,keyasint"` // IP and port of the peer listener
	Incarnation uint64 `cbor:"4,keyasint"` // increased only by the instance itself
	State       State  `cbor:"5,keyasint,omitempty"`
}

// Supersedes reports whether m is newer than other, an entry about the same
// instance.
func (m Member) Supersedes(other Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, other.Incarnation), cmp.Compare(m.State, other.State)) > 0
}

// Probe is the body of a probe, of its reply, and of a membership update.
type Probe struct {
	Self    Member   `cbor:"1,keyasint"`
	Updates []Member `cbor:"2,keyasint,omitempty"` // recent changes of other instances
}
