package routing

import "time"

// Scorer prices a candidate in milliseconds of expected delay; lower is better.
// A negative price is a benefit.
type Scorer interface {
	Price(q *Query, c *Candidate) float64
}

// Scorers returns the scorers of the request path.
func Scorers() []Scorer {
	return []Scorer{loadPrice{}, latencyPrice{}, prefixPrice{}, distancePrice{}, cheapPrice{}}
}

const (
	// fullLoadMillis is the price of a server at its warm limit.
	fullLoadMillis = 400
	// prefillMillisPerToken is what a cached prompt token saves.
	prefillMillisPerToken = 0.1
	// otherZoneMillis and otherRegionMillis are the prices of distance.
	otherZoneMillis   = 1
	otherRegionMillis = 40
	// cheapMillisPerTier is the benefit of a cheap server per tier number.
	cheapMillisPerTier = 15
	// betweenTokens is how many tokens the time between tokens is charged for.
	betweenTokens = 10
)

// loadPrice charges work in flight: this instance's own, known exactly, and that
// of others by the lagging load report.
type loadPrice struct{}

// Price implements Scorer.
func (loadPrice) Price(q *Query, c *Candidate) float64 {
	l := c.Live
	inFlight := l.load.inFlight(q.Now, l.outstanding)
	return fullLoadMillis * inFlight / float64(max(l.ramp.total, 1))
}

// latencyPrice charges the server's recent times.
type latencyPrice struct{}

// Price implements Scorer.
func (latencyPrice) Price(_ *Query, c *Candidate) float64 {
	l := &c.Live.latency
	return (l.first + betweenTokens*l.between) / float64(time.Millisecond)
}

// prefixPrice credits the prompt tokens that the server probably has cached.
type prefixPrice struct{}

// Price implements Scorer.
func (prefixPrice) Price(q *Query, c *Candidate) float64 {
	if q.decision == 0 || c.Live.decision != q.decision {
		return 0
	}
	return -c.Live.held * float64(q.InputTokens) * prefillMillisPerToken
}

// distancePrice charges the way to another availability zone or region.
type distancePrice struct{}

// Price implements Scorer.
func (distancePrice) Price(q *Query, c *Candidate) float64 {
	switch {
	case c.Zone == q.Zone || q.Zone == "":
		return 0
	case c.Region == q.Region:
		return otherZoneMillis
	default:
		return otherRegionMillis
	}
}

// cheapPrice credits cheap servers, more for lower tiers.
type cheapPrice struct{}

// Price implements Scorer.
func (cheapPrice) Price(q *Query, c *Candidate) float64 {
	if !c.Cheap {
		return 0
	}
	return -cheapMillisPerTier * float64(q.Tier)
}
