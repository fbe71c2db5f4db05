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
	fullLoadMillis = 4000
	// prefillMillisPerToken is what a cached prompt token saves.
	prefillMillisPerToken = 0.1
	// otherZoneMillis and otherRegionMillis are the prices of distance.
	otherZoneMillis   = 1
	otherRegionMillis = 40
	// cheapMillisPerTier is the benefit of a cheap server per tier number.
	cheapMillisPerTier = 15
	// missMillis is the price of a server whose tokens come further apart than the
	// class's target.
	missMillis = 500
	// missMargin is the part of a target beyond which it will probably be missed.
	missMargin = 0.9
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

// latencyPrice charges what the prompt will probably take on the server, less the
// part that it probably has cached, and the time between tokens. A server that
// would miss the class's targets costs more.
type latencyPrice struct{}

// Price implements Scorer.
func (latencyPrice) Price(q *Query, c *Candidate) float64 {
	l := &c.Live.latency
	first := l.prompt * float64(q.InputTokens) * (1 - c.Live.cached(q))
	price := (first + betweenTokens*l.between) / float64(time.Millisecond)
	if q.FirstToken > 0 && first > missMargin*float64(q.FirstToken) {
		price += missMillis
	}
	if q.Between > 0 && l.between > missMargin*float64(q.Between) {
		price += missMillis
	}
	return price
}

// prefixPrice credits the prompt tokens that the server probably has cached, also
// while nothing is known of its times.
type prefixPrice struct{}

// Price implements Scorer.
func (prefixPrice) Price(q *Query, c *Candidate) float64 {
	return -c.Live.cached(q) * float64(q.InputTokens) * prefillMillisPerToken
}

// cached is the share of the query's prompt that the server probably holds.
func (l *Live) cached(q *Query) float64 {
	if q.decision == 0 || l.decision != q.decision {
		return 0
	}
	return l.held
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
