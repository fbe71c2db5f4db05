package balance

import "github.com/hawthornwick/hawthornwick/internal/boottime"

// Candidate is an eligible server as a Scorer sees it.
type Candidate struct {
	// Engine is true when the service's servers read prompts.
	Engine bool
	// SameZone is true when it is in this instance's availability zone.
	SameZone bool
	// Cold is true when it bears only few requests a second.
	Cold bool
	// InFlight is the number of requests on it, as far as this instance knows.
	InFlight int
	// Reading is the number of prompt tokens that it still has to read, likewise.
	Reading int
	// Missing is the number of the request's prompt tokens that it probably does
	// not hold, taking it for the prefix's home; MissingSent takes only what is known
	// to have been sent there.
	Missing, MissingSent float64
	// Excess is how many times as long as the median of its service it takes, at
	// least 1.
	Excess float64
	// Pressure is the time in milliseconds that the servers of its service still need
	// on average for the prompts that they were sent, as far as this instance knows.
	Pressure float64
	// FailureRate is its share of failed attempts, recent ones weighing most.
	FailureRate float64
}

// Scorer judges servers. It must not block and be safe for concurrent use.
type Scorer interface {
	// Cost estimates in milliseconds what the request will wait for on the server,
	// and what choosing it costs others. The cheapest server is chosen.
	Cost(q *Query, c Candidate) float64
}

const (
	// prefillTokensPerMilli is the rate at which an engine reads a prompt.
	prefillTokensPerMilli = 50.0
	// homeCredit is the share of the shared parts that the server which requests
	// with this prefix usually take probably holds, when this instance has
	// not sent them there itself.
	homeCredit = 0.9
	// engineRunMillis and plainRunMillis price one own request in flight.
	engineRunMillis = 2.0
	plainRunMillis  = 20.0
	// otherZoneMillis prices the way to another availability zone.
	engineZoneMillis = 3.0
	plainZoneMillis  = 5.0
	// failureMillis prices a server all of whose answers fail.
	failureMillis = 3000.0
	// coldMillis prices a cold server beside a warm one.
	coldMillis = 50.0
	// doublingPressure is the pressure at which reading a token anew weighs twice as
	// much as without any.
	doublingPressure = 150.0
)

// DefaultRereadWeight is the usual weight of reading a token anew.
const DefaultRereadWeight = 2.0

// Estimate is the usual Scorer.
type Estimate struct {
	// RereadWeight is what reading a token anew weighs against waiting for one,
	// since it takes the server's time from others as well. It grows with the
	// pressure: the busier the servers, the more others wait for that time.
	// Zero: DefaultRereadWeight.
	RereadWeight float64
}

// Cost implements Scorer.
func (e Estimate) Cost(_ *Query, c Candidate) float64 {
	cost := failureMillis * c.FailureRate * c.FailureRate
	if c.Cold {
		cost += coldMillis
	}
	if !c.Engine {
		return cost + plainCost(c)
	}
	if !c.SameZone {
		cost += engineZoneMillis
	}
	work := firstEventMillis + engineRunMillis*float64(c.InFlight)
	reread := e.rereadWeight() * (1 + c.Pressure/doublingPressure)
	work += (float64(c.Reading) + reread*c.Missing) / prefillTokensPerMilli
	return cost + c.Excess*work
}

func plainCost(c Candidate) float64 {
	cost := plainRunMillis * float64(c.InFlight)
	if !c.SameZone {
		cost += plainZoneMillis
	}
	return cost
}

func (e Estimate) rereadWeight() float64 {
	if e.RereadWeight == 0 {
		return DefaultRereadWeight
	}
	return e.RereadWeight
}

// candidate describes a server to the Scorer.
func (b *Balancer) candidate(now boottime.Instant, p *pool, s *server, q *Query, home *server) Candidate {
	load := s.load(now)
	c := Candidate{
		Engine: p.engine, SameZone: s.Zone == b.options.Zone, Cold: s.cold(now),
		InFlight: load.InFlight, Reading: load.Unread, FailureRate: s.failureRate,
		Excess: s.excess(now, p.medianSlowdown(now)), Pressure: p.pressure(now),
	}
	if p.engine {
		held := float64(s.cachedTokens(now, q.Parts))
		c.MissingSent = max(float64(q.PromptTokens)-held, 0)
		c.Missing = max(float64(q.PromptTokens)-max(held, homeTokens(q, s == home)), 0)
	}
	return c
}

// homeTokens is the part of the prompt that the prefix's home probably holds.
func homeTokens(q *Query, isHome bool) float64 {
	if !isHome {
		return 0
	}
	shared := 0
	for _, p := range q.sharedParts() {
		shared += p.Tokens
	}
	return homeCredit * float64(shared)
}
