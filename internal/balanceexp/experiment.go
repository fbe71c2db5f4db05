package balanceexp

import (
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/enginesim"
)

// Policy selects the decisions under test.
type Policy string

// Policies. Full is what instances do; LeastInFlight and Random are baselines; each
// of the others disables one decision of Full.
const (
	Full                Policy = "full"
	RecomputeUnweighted Policy = "reread once"     // a token to recompute weighs as much as a pending one
	IgnoreSlowdown      Policy = "equally fast"    // all servers are assumed to have the same speed
	NoHolding           Policy = "no holding"      // requests wait on backlogged servers rather than in the queue
	NoAffinity          Policy = "no homes"        // prefixes are used only where they are known to have been sent
	NoSharing           Policy = "unshared"        // instances do not exchange reports
	IgnorePoolLoad      Policy = "no pressure"     // the weight of recomputing a token does not depend on the pool's load
	IgnoreScarcity      Policy = "no scarcity"     // the time of a server that names a limit is as dear as any
	LeastInFlight       Policy = "least in flight" // counts this instance's requests only
	Random              Policy = "random"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Full, RecomputeUnweighted, IgnoreSlowdown, NoHolding, NoAffinity, NoSharing, IgnorePoolLoad, IgnoreScarcity, LeastInFlight, Random}
}

// holdThreshold returns the backlog above which requests are held. Zero means the
// balancer's default.
func (p Policy) holdThreshold() time.Duration {
	if p == NoHolding {
		return time.Hour
	}
	return 0
}

// scorer returns the policy's scorer. Nil means the balancer's default.
func (p Policy) scorer(rng *rand.Rand) balance.Scorer {
	switch p {
	case RecomputeUnweighted:
		return balance.Estimate{RecomputeWeight: 1}
	case IgnoreSlowdown:
		return ignoreSlowdown{}
	case NoAffinity:
		return noAffinity{}
	case IgnorePoolLoad:
		return ignorePoolLoad{}
	case IgnoreScarcity:
		return ignoreScarcity{}
	case LeastInFlight:
		return leastInFlight{}
	case Random:
		return random{rng}
	}
	return nil
}

type ignoreSlowdown struct{ balance.Estimate }

// Cost implements balance.Scorer.
func (e ignoreSlowdown) Cost(q *balance.Query, c balance.Candidate) float64 {
	c.RelativeSlowdown = 1
	return e.Estimate.Cost(q, c)
}

type noAffinity struct{ balance.Estimate }

// Cost implements balance.Scorer.
func (e noAffinity) Cost(q *balance.Query, c balance.Candidate) float64 {
	c.Uncached = c.UncachedConfirmed
	return e.Estimate.Cost(q, c)
}

type ignorePoolLoad struct{ balance.Estimate }

// Cost implements balance.Scorer.
func (e ignorePoolLoad) Cost(q *balance.Query, c balance.Candidate) float64 {
	c.MeanPrefillMillis = 0
	return e.Estimate.Cost(q, c)
}

type ignoreScarcity struct{ balance.Estimate }

// Cost implements balance.Scorer.
func (e ignoreScarcity) Cost(q *balance.Query, c balance.Candidate) float64 {
	c.Scarcity = 0
	return e.Estimate.Cost(q, c)
}

type leastInFlight struct{}

// Cost implements balance.Scorer.
func (leastInFlight) Cost(_ *balance.Query, c balance.Candidate) float64 { return float64(c.InFlight) }

// random chooses a random server.
type random struct{ rng *rand.Rand }

// Cost implements balance.Scorer.
func (r random) Cost(*balance.Query, balance.Candidate) float64 { return r.rng.Float64() }

// Experiment is one run. Zero values mean the defaults.
type Experiment struct {
	Policy Policy
	Day    Day
	Seed   uint64
	// Rate is the number of requests per second. The default is 55.
	Rate float64
	// Instances is the number of instances that share the servers. The default is
	// 8.
	Instances int
	// Servers is the number of servers, spread evenly over three zones. The default
	// is 12.
	Servers int
	// Isolated disables the exchange of reports between instances.
	Isolated bool
	// ShareEvery is the interval at which instances exchange reports, and
	// ShareDelay the delay until a report is received. The defaults are 200 ms and
	// 20 ms.
	ShareEvery, ShareDelay time.Duration
	// Length is the time during which requests arrive. The default is 45 s.
	Length time.Duration
}

func (x Experiment) withDefaults() Experiment {
	if x.Policy == "" {
		x.Policy = Full
	}
	if x.Rate == 0 {
		x.Rate = 55
	}
	if x.Instances == 0 {
		x.Instances = 8
	}
	if x.Servers == 0 {
		x.Servers = 12
	}
	if x.Policy == NoSharing {
		x.Isolated = true
	}
	if x.ShareEvery == 0 {
		x.ShareEvery = 200 * time.Millisecond
	}
	if x.ShareDelay == 0 {
		x.ShareDelay = 20 * time.Millisecond
	}
	if x.Length == 0 {
		x.Length = 45 * time.Second
	}
	x.Day = x.Day.withWindow(x.Length)
	return x
}

// engine is the specification of an engine that the users gave.
var engine = enginesim.Spec{
	MaxBatch: 64, MinStep: 5610 * time.Microsecond, StepPerRequest: 121 * time.Microsecond, StepPerContext: 2 * time.Microsecond,
	PrefillRate: 54.6, AttentionTime: 250 * time.Microsecond, Delay: 61 * time.Millisecond,
	MaxChunk: 1024, MemoryTokens: 590_000, TokensPerEvent: 3,
}
