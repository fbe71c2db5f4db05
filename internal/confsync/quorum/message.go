// Package quorum lets instances prove to each other that their configuration
// is current, even while the table service is unavailable. An instance called
// the root starts numbered rounds. A round floods to all instances. Each one
// answers with its own version to the instance that it received the round
// from, and answers are merged on the way back. The next round carries the
// result. docs/design/0051-freshness.md has the proof. The package does no I/O
// and reads no clock: callers pass in the time and send the returned messages.
package quorum

// Round is the message that starts a round.
type Round struct {
	Root    string  `cbor:"1,keyasint"`
	Number  uint64  `cbor:"2,keyasint"`
	Roster  uint64  `cbor:"3,keyasint"` // digest of the root's member list
	Version uint64  `cbor:"4,keyasint"` // version in force at the root
	Hops    int     `cbor:"5,keyasint"` // hops from the root so far
	Result  *Result `cbor:"6,keyasint,omitempty"`
	Urgent  bool    `cbor:"7,keyasint,omitempty"` // some instance cannot read the table service
}

// Result is the outcome of the previous round.
type Result struct {
	Answers
	Version uint64 `cbor:"10,keyasint"` // Round.Version of that round
	Roster  uint64 `cbor:"11,keyasint"` // digest of the member list of that round
}

// Answers are the merged answers to one round.
type Answers struct {
	// Holders have Round.Version or a later version in force.
	Holders Set `cbor:"1,keyasint"`
	// Others answered but do not count for a quorum.
	Others Set `cbor:"2,keyasint,omitempty"`
	// Newest is the highest version that any of them has.
	Newest uint64 `cbor:"3,keyasint"`
	// TableRead is true if one of them started a read of the table service
	// after it had received the previous round.
	TableRead bool `cbor:"4,keyasint,omitempty"`
	// TableReadFailed is true if one of them cannot read the table service.
	TableReadFailed bool `cbor:"5,keyasint,omitempty"`
}

// Merge adds b and reports whether that changed a.
func (a *Answers) Merge(b Answers) bool {
	grew := a.Holders.Merge(b.Holders)
	grew = a.Others.Merge(b.Others) || grew
	if b.Newest > a.Newest {
		a.Newest = b.Newest
		grew = true
	}
	if b.TableRead && !a.TableRead {
		a.TableRead = true
		grew = true
	}
	if b.TableReadFailed && !a.TableReadFailed {
		a.TableReadFailed = true
		grew = true
	}
	return grew
}

// Echo carries answers towards the root.
type Echo struct {
	Answers
	Root   string `cbor:"10,keyasint"`
	Number uint64 `cbor:"11,keyasint"`
}
