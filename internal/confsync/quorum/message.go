// Package quorum lets instances prove to each other that their configuration
// is current, also while the table service is away.
//
// An instance called the root starts numbered rounds. A round floods to all
// instances; each answers, towards the instance that it heard the round from,
// with its own version; answers are merged on the way. The next round carries
// the result. docs/design/0051-freshness.md has the proof.
//
// The package is pure: time is handed in and messages are handed out.
package quorum

// Round starts a round.
type Round struct {
	Root    string  `cbor:"1,keyasint"`
	Number  uint64  `cbor:"2,keyasint"`
	Roster  uint64  `cbor:"3,keyasint"` // digest of the root's member list
	Version uint64  `cbor:"4,keyasint"` // version in force at the root
	Hops    int     `cbor:"5,keyasint"` // instances passed so far
	Result  *Result `cbor:"6,keyasint,omitempty"`
	Urgent  bool    `cbor:"7,keyasint,omitempty"` // some instance cannot read the table service
}

// Result is what came back in the round before.
type Result struct {
	Answers
	Version uint64 `cbor:"10,keyasint"` // version named by that round
	Roster  uint64 `cbor:"11,keyasint"` // digest of the member list of that round
}

// Answers are merged answers to one round.
type Answers struct {
	// Holders have at least the version that the round named in force.
	Holders Set `cbor:"1,keyasint"`
	// Others answered without counting for a quorum.
	Others Set `cbor:"2,keyasint,omitempty"`
	// Newest is the highest version that any of them knows.
	Newest uint64 `cbor:"3,keyasint"`
	// StoreRead is true when one of them began a read of the table service
	// after it had heard the round before.
	StoreRead bool `cbor:"4,keyasint,omitempty"`
	// StoreFailed is true when one of them cannot read the table service.
	StoreFailed bool `cbor:"5,keyasint,omitempty"`
}

// Merge adds b and reports whether that changed a.
func (a *Answers) Merge(b Answers) bool {
	grew := a.Holders.Merge(b.Holders)
	grew = a.Others.Merge(b.Others) || grew
	if b.Newest > a.Newest {
		a.Newest = b.Newest
		grew = true
	}
	if b.StoreRead && !a.StoreRead {
		a.StoreRead = true
		grew = true
	}
	if b.StoreFailed && !a.StoreFailed {
		a.StoreFailed = true
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
