package balanceexp

import (
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/enginesim"
)

// Policy names the decisions under test.
type Policy string

// Policies. Full is what instances do; the others take one decision out.
const (
	Full          Policy = "full"
	RereadOnce    Policy = "reread once"     // a token read anew weighs as much as one that is waited for
	EquallyFast   Policy = "equally fast"    // as all servers are taken to be
	NoHolding     Policy = "no holding"      // requests wait on servers that are late
	NoHomes       Policy = "no homes"        // prefixes stay where they are known to have been sent
	Unshared      Policy = "unshared"        // instances do not tell one another what they sent
	NoPressure    Policy = "no pressure"     // a token read anew weighs the same however busy servers are
	LeastInFlight Policy = "least in flight" // of this instance
	Random        Policy = "random"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Full, RereadOnce, EquallyFast, NoHolding, NoHomes, Unshared, NoPressure, LeastInFlight, Random}
}

// hold returns how late a server may be before requests are held back; 0 is the
// balancer's own value.
func (p Policy) hold() time.Duration {
	if p == NoHolding {
		return time.Hour
	}
	return 0
}

// scorer returns the policy's judgement of servers.
func (p Policy) scorer(rng *rand.Rand) balance.Scorer {
	switch p {
	case RereadOnce:
		return balance.Estimate{RecomputeWeight: 1}
	case EquallyFast:
		return equallyFast{}
	case NoHomes:
		return noHomes{}
	case NoPressure:
		return noPressure{}
	case LeastInFlight:
		return leastInFlight{}
	case Random:
		return random{rng}
	}
	return nil
}

type equallyFast struct{ balance.Estimate }

// Cost implements balance.Scorer.
func (e equallyFast) Cost(q *balance.Query, c balance.Candidate) float64 {
	c.RelativeSlowdown = 1
	return e.Estimate.Cost(q, c)
}

type noHomes struct{ balance.Estimate }

// Cost implements balance.Scorer.
func (n noHomes) Cost(q *balance.Query, c balance.Candidate) float64 {
	c.Uncached = c.UncachedConfirmed
	return n.Estimate.Cost(q, c)
}

type noPressure struct{ balance.Estimate }

// Cost implements balance.Scorer.
func (n noPressure) Cost(q *balance.Query, c balance.Candidate) float64 {
	c.MeanPrefillMillis = 0
	return n.Estimate.Cost(q, c)
}

type leastInFlight struct{}

// Cost implements balance.Scorer.
func (leastInFlight) Cost(_ *balance.Query, c balance.Candidate) float64 { return float64(c.InFlight) }

// random takes any server.
type random struct{ rng *rand.Rand }

// Cost implements balance.Scorer.
func (r random) Cost(*balance.Query, balance.Candidate) float64 { return r.rng.Float64() }

// Experiment is one run. The zero value of a field means its default.
type Experiment struct {
	Policy Policy
	Day    Day
	Seed   uint64
	// Rate is the number of requests a second. Default 55.
	Rate float64
	// Instances share the servers. Default 8.
	Instances int
	// Servers, a third in each of three zones. Default 12.
	Servers int
	// Isolated instances do not hear one another.
	Isolated bool
	// ShareEvery is how often instances tell one another what they sent, and
	// ShareDelay the time until that is heard. Default 200 ms and 20 ms.
	ShareEvery, ShareDelay time.Duration
	// Length is the time in which requests arrive. Default 45 s.
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
	if x.Policy == Unshared {
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
	x.Day = x.Day.spread(x.Length)
	return x
}

// engine is the engine of the users' letters.
var engine = enginesim.Spec{
	Batch: 64, Step: 5610 * time.Microsecond, StepPerRequest: 121 * time.Microsecond, StepPerContext: 2 * time.Microsecond,
	PromptRate: 54.6, PairTime: 250 * time.Microsecond, Delay: 61 * time.Millisecond,
	Chunk: 1024, Memory: 590_000, Stride: 3,
}
