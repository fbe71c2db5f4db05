package balance

import (
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/pace"
)

// Candidate describes an eligible server to a Scorer.
type Candidate struct {
	// Engine is true when the service's servers are engines, which prefill prompts.
	Engine bool
	// SameZone is true when the server is in this instance's availability zone.
	SameZone bool
	// RateLimited is true when the server's request rate is limited, since it is cold or
	// names a limit.
	RateLimited bool
	// Scarcity is how much less than its even share of the requests the server takes, by a
	// limit that it names, from 0 to 1.
	Scarcity float64
	// InFlight is the number of requests on the server, as far as this instance
	// knows.
	InFlight int
	// PendingPrefill is the number of prompt tokens that the server still has to
	// prefill, as far as this instance knows.
	PendingPrefill int
	// Uncached is the estimated number of the request's prompt tokens that the
	// server has not cached, assuming that the affinity server caches most of the
	// prefix. UncachedConfirmed is the same without this assumption: only prompts
	// known to have been sent to the server count as cached.
	Uncached, UncachedConfirmed float64
	// RelativeSlowdown is the server's slowdown relative to the median of its
	// service, at least 1.
	RelativeSlowdown float64
	// MeanPrefillMillis is the mean time in milliseconds that the service's servers
	// still need for pending prefill, as far as this instance knows.
	MeanPrefillMillis float64
	// FailureRate is the exponentially weighted share of failed attempts, from 0 to
	// 1.
	FailureRate float64
	// InterferenceMillis is the cost of the delays between events that the request causes to
	// the streams on the server, and they to it, in milliseconds. It is zero for plain
	// servers and for requests without a target between events.
	InterferenceMillis float64
	// Pace is what is known of the server's performance.
	Pace pace.Estimate
}

// Scorer estimates the cost of servers. It must not block and must be safe for
// concurrent use.
type Scorer interface {
	// Cost estimates, in milliseconds, how long the request will wait on the
	// server, plus the cost that choosing the server imposes on other requests. The
	// server with the lowest cost is chosen.
	Cost(q *Query, c Candidate) float64
}

const (
	// prefillTokensPerMilli is the prefill rate of an engine of which nothing is known.
	prefillTokensPerMilli = pace.DefaultPrefillRate
	// affinityCacheShare is the share of a prompt's shared tokens that the affinity
	// server is assumed to cache when this instance has not sent them there itself.
	affinityCacheShare = 0.9
	// engineInFlightMillis and plainInFlightMillis are the cost of each request in
	// flight.
	engineInFlightMillis = 2.0
	plainInFlightMillis  = 20.0
	// engineCrossZoneMillis and plainCrossZoneMillis are the cost of a server in
	// another availability zone.
	engineCrossZoneMillis = 3.0
	plainCrossZoneMillis  = 5.0
	// failurePenaltyMillis is the cost of a server with a failure rate of 1.
	failurePenaltyMillis = 3000.0
	// rateLimitedPenaltyMillis is the cost of a server whose request rate is limited.
	rateLimitedPenaltyMillis = 50.0
	// doublingPrefillMillis is the mean pending prefill time at which the weight of
	// recomputing a token is twice its weight on an idle pool.
	doublingPrefillMillis = 150.0
)

// DefaultRecomputeWeight is the default of Estimate.RecomputeWeight.
const DefaultRecomputeWeight = 2.0

// Estimate is the default Scorer.
type Estimate struct {
	// RecomputeWeight is the weight of a token that has to be prefilled for this
	// request, relative to a token that is already pending on the server. It is
	// above 1 because recomputing cached tokens also takes server time from other
	// requests. The weight grows with the mean pending prefill of the pool: the
	// busier the servers, the more requests wait for that time. It is less, down to 1, for
	// a server that names a limit. Zero means DefaultRecomputeWeight.
	RecomputeWeight float64
}

// Cost implements Scorer.
func (e Estimate) Cost(q *Query, c Candidate) float64 {
	cost := failurePenaltyMillis * c.FailureRate * c.FailureRate
	if c.RateLimited {
		cost += rateLimitedPenaltyMillis
	}
	if !c.Engine {
		return cost + plainCost(c)
	}
	if !c.SameZone {
		cost += engineCrossZoneMillis
	}
	millis := minFirstEventMillis + engineInFlightMillis*float64(c.InFlight)
	recompute := e.recomputeWeight() * (1 + c.MeanPrefillMillis/doublingPrefillMillis)
	if recompute > 1 { // the time of a server that takes few requests is nobody else's
		recompute = 1 + (recompute-1)*(1-c.Scarcity)
	}
	millis += float64(c.PendingPrefill) / c.Pace.Rate()
	// At the server's own rate, the request's prefill would keep requests away from slow
	// engines at any load, and overload the others.
	millis += recompute * c.Uncached / prefillTokensPerMilli
	return cost + c.RelativeSlowdown*millis + c.InterferenceMillis
}

func plainCost(c Candidate) float64 {
	cost := plainInFlightMillis * c.Pace.Slowness() * float64(c.InFlight)
	if !c.SameZone {
		cost += plainCrossZoneMillis
	}
	return cost
}

func (e Estimate) recomputeWeight() float64 {
	if e.RecomputeWeight == 0 {
		return DefaultRecomputeWeight
	}
	return e.RecomputeWeight
}

// candidate returns the Scorer's view of a server.
func (b *Balancer) candidate(now boottime.Instant, p *pool, s *server, q *Query, affinity *server) Candidate {
	load := s.load(now)
	c := Candidate{
		Engine: p.engine, SameZone: s.Zone == b.options.Zone, RateLimited: s.cold(now) || s.stated.NamesLimit(now),
		Scarcity: b.scarcity(now, p, s),
		InFlight: load.InFlight, PendingPrefill: load.PendingPrefill, FailureRate: s.failureRate,
		RelativeSlowdown: s.relativeSlowdown(now, p.medianSlowdown(now)), MeanPrefillMillis: b.meanPrefillMillis(now, p),
		Pace: b.paceOf(now, s),
	}
	if p.engine {
		cached := float64(s.cachedTokens(now, q.Parts))
		c.UncachedConfirmed = max(float64(q.PromptTokens)-cached, 0)
		c.Uncached = max(float64(q.PromptTokens)-max(cached, affinityTokens(q, s == affinity)), 0)
		c.InterferenceMillis = b.interferenceMillis(now, p, s, q, load)
	}
	return c
}

// affinityTokens estimates the number of the prompt's tokens that its affinity
// server caches.
func affinityTokens(q *Query, onAffinity bool) float64 {
	if !onAffinity {
		return 0
	}
	shared := 0
	for _, p := range q.sharedParts() {
		shared += p.Tokens
	}
	return affinityCacheShare * float64(shared)
}
