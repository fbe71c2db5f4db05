package routing

import "time"

// Query is one attempt that needs a backend server.
type Query struct {
	Now time.Time
	// Zone and Region are this instance's.
	Zone, Region string
	// Tier is the request's; 1 is the highest.
	Tier int
	// SteadyKept bars the attempt from servers that are not cheap, whose last free
	// slots are kept for higher tiers.
	SteadyKept bool
	// CheapAllowed lets the attempt use cheap servers.
	CheapAllowed bool
	// CheapFull marks, by ZoneIndex, the zones whose cheap servers must get no
	// more of this tier; nil means none.
	CheapFull []bool
	// Prefixes are digests of the prompt's leading blocks, shortest first.
	Prefixes    []uint64
	InputTokens int
	// FirstToken and Between are the class's targets. Zero means none.
	FirstToken, Between time.Duration
	// Tried names servers that failed this request or still run it.
	Tried []string
	// Members is this instance's view of the members.
	Members *Membership
	// IgnoreSlots looks for servers that could take the attempt once a slot is free.
	IgnoreSlots bool

	decision uint64 // number of this decision
}

// Scored is an eligible candidate with its price in milliseconds; lower is better.
type Scored struct {
	*Candidate
	Price float64
}
