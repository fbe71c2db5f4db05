// Package member tracks which instances are live: the platform's lagging list
// corrected by probes between instances.
//
// Every instance knows all others and probes the few that lie ahead of it on a
// ring. An instance that misses probes is suspected; the suspicion floods, and
// unless the suspect refutes it by raising its incarnation it counts as down.
package member

import "cmp"

// State is what is known of an instance.
type State uint8

// Values of State; at the same incarnation, the higher one prevails.
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
	Incarnation uint64 `cbor:"4,keyasint"` // raised by the instance itself
	State       State  `cbor:"5,keyasint,omitempty"`
}

// Supersedes reports whether m is newer knowledge than other about the same instance.
func (m Member) Supersedes(other Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, other.Incarnation), cmp.Compare(m.State, other.State)) > 0
}

// Probe is what two instances exchange when one probes the other.
type Probe struct {
	Self  Member   `cbor:"1,keyasint"`
	About []Member `cbor:"2,keyasint,omitempty"` // recent knowledge of others
}
