package routing

import "time"

// Scorer prices a candidate in milliseconds of expected delay; lower is better.
// A negative price is a benefit.
type Scorer interface {
	Price(q *Query, c *Candidate) float64
}

// Scorers returns the scorers of the request path.
func Scorers() []Scorer {
	return []Scorer{loadPrice{}, latencyPrice{}, prefixPrice{}, distancePrice{}, preemptiblePrice{}}
}

const (
	// fullLoadMillis is the price of a server at its warm limit.
	fullLoadMillis = 4000
	// prefillMillisPerToken is the prefill time that a cached prompt token
	// saves.
	prefillMillisPerToken = 0.1
	// otherZoneMillis and otherRegionMillis are the added latency of another
	// availability zone and of another region.
	otherZoneMillis   = 1
	otherRegionMillis = 40
	// preemptibleMillisPerTier is the credit of a preemptible server, times the
	// tier number.
	preemptibleMillisPerTier = 15
	// targetMissMillis is the price of a server that would probably miss one of
	// the class's targets.
	targetMissMillis = 500
	// targetMargin is the fraction of a target above which a miss is considered
	// probable.
	targetMargin = 0.9
	// chargedTokens is the number of tokens for which the time between tokens
	// is charged.
	chargedTokens = 10
)

// loadPrice charges requests in flight: this instance's own, which are known
// exactly, and those of other instances from the lagging load report.
type loadPrice struct{}

// Price implements Scorer.
func (loadPrice) Price(q *Query, c *Candidate) float64 {
	l := c.Live
	inFlight := l.load.inFlight(q.Now, l.outstanding)
	return fullLoadMillis * inFlight / float64(max(l.ramp.limit, 1))
}

// latencyPrice charges the expected prefill time of the prompt's uncached part
// and the time between tokens. A server that would probably miss the class's
// targets costs more.
type latencyPrice struct{}

// Price implements Scorer.
func (latencyPrice) Price(q *Query, c *Candidate) float64 {
	l := &c.Live.latency
	ttft := l.ttftPerToken * float64(q.InputTokens) * (1 - c.Live.cached(q))
	price := (ttft + chargedTokens*l.tokenInterval) / float64(time.Millisecond)
	if q.FirstToken > 0 && ttft > targetMargin*float64(q.FirstToken) {
		price += targetMissMillis
	}
	if q.TokenInterval > 0 && l.tokenInterval > targetMargin*float64(q.TokenInterval) {
		price += targetMissMillis
	}
	return price
}

// prefixPrice credits the prompt tokens that the server probably has cached. It
// also applies while no latency of the server is known.
type prefixPrice struct{}

// Price implements Scorer.
func (prefixPrice) Price(q *Query, c *Candidate) float64 {
	return -c.Live.cached(q) * float64(q.InputTokens) * prefillMillisPerToken
}

// cached returns the share of the query's prompt that the server probably has
// cached.
func (l *LiveState) cached(q *Query) float64 {
	if q.decision == 0 || l.hitDecision != q.decision {
		return 0
	}
	return l.hitShare
}

// distancePrice charges the network latency to another availability zone or
// region.
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

// preemptiblePrice credits preemptible servers, more for lower tiers.
type preemptiblePrice struct{}

// Price implements Scorer.
func (preemptiblePrice) Price(q *Query, c *Candidate) float64 {
	if !c.Preemptible {
		return 0
	}
	return -preemptibleMillisPerTier * float64(q.Tier)
}
