package routing

import "time"

// Query is one attempt that needs a backend server.
type Query struct {
	Now time.Time
	// Zone and Region are those of this instance.
	Zone, Region string
	// Tier is the tier of the request; 1 is the highest.
	Tier int
	// OnDemandReserved excludes on-demand servers, because their last free
	// slots are reserved for higher tiers.
	OnDemandReserved bool
	// PreemptibleAllowed permits preemptible servers.
	PreemptibleAllowed bool
	// PreemptibleFull marks, by ZoneIndex, the zones whose preemptible servers
	// must get no more requests of this tier. Nil means none.
	PreemptibleFull []bool
	// Prefixes are digests of the prompt's leading blocks, shortest first.
	Prefixes    []uint64
	InputTokens int
	// FirstToken and TokenInterval are the class's targets for the time to
	// first token and the time between tokens. Zero means no target.
	FirstToken, TokenInterval time.Duration
	// Tried lists servers on which this request failed or is still running.
	Tried []string
	// Members is this instance's view of the members. Required.
	Members *Membership
	// IgnoreSlots also accepts servers without a free slot.
	IgnoreSlots bool

	decision uint64 // number of this decision
}

// Scored is an eligible candidate with its price in milliseconds; lower is better.
type Scored struct {
	*Candidate
	Price float64
}
