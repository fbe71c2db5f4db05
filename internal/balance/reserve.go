package balance

import (
	"math"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/sharedlimit"
)

const (
	// arrivalsDecay is the time constant of the rates at which requests arrive.
	arrivalsDecay = 10 * time.Second
	// minMeasuredSeconds is the time from the first arrival before which rates would be
	// too uncertain, and are taken to be lower.
	minMeasuredSeconds = 1.0
)

// arrivals measures the rate at which requests of each tier arrive.
type arrivals struct {
	weights [config.TierCount]float64 // of the arrivals, which decay exponentially
	time    float64                   // decaying in the same way, in seconds
	at      boottime.Instant          // of the last decay; zero before the first arrival
}

func (a *arrivals) add(now boottime.Instant, priority int) {
	a.decay(now)
	a.weights[tierOf(priority)-1]++
}

func (a *arrivals) decay(now boottime.Instant) {
	if a.at.IsZero() {
		a.at = now
	}
	factor := math.Exp(-now.Sub(a.at).Seconds() / arrivalsDecay.Seconds())
	for i := range a.weights {
		a.weights[i] *= factor
	}
	a.time = a.time*factor + arrivalsDecay.Seconds()*(1-factor)
	a.at = now
}

// rate returns the requests per second that arrive of the most urgent tiers.
func (a *arrivals) rate(now boottime.Instant, tiers int) float64 {
	a.decay(now)
	sum := 0.0
	for _, weight := range a.weights[:tiers] {
		sum += weight
	}
	return sum / max(a.time, minMeasuredSeconds)
}

// reserved reports whether a request must leave what the servers' rate limits allow to more
// urgent ones: all usable servers are limited, and if it took one of this instance's shares,
// these would not last for the more urgent requests that are expected until they renew.
func (b *Balancer) reserved(now boottime.Instant, p *pool, q *Query) bool {
	moreUrgent := tierOf(q.Priority) - 1
	if moreUrgent == 0 {
		return false
	}
	shares, ok := b.limitedShares(now, p)
	if !ok {
		return false
	}
	rate := p.arrivals.rate(now, moreUrgent)
	if shares.free < 1 || rate > shares.perSecond {
		return true
	}
	for i, at := range p.renewals {
		if float64(shares.free+i)-rate*at.Sub(now).Seconds() < 1 {
			return true
		}
	}
	return false
}

// limitedShares are this instance's shares of the rate limits of a pool's servers.
type limitedShares struct {
	free      int     // requests that it may send now
	perSecond float64 // requests per second in the long run
}

// limitedShares returns the shares, and sets p.renewals, in order, to the times from which
// one more request is free each. The result is false if some usable server is not limited,
// or none is usable.
func (b *Balancer) limitedShares(now boottime.Instant, p *pool) (shares limitedShares, limited bool) {
	p.renewals = p.renewals[:0]
	for _, s := range p.servers {
		if !s.usable() {
			continue
		}
		rate := s.stated.RateLimit(now)
		if rate == 0 {
			return limitedShares{}, false
		}
		limit := sharedlimit.PerSecond(rate)
		share := b.namedShare(s, limit)
		shares.free += s.sends.Free(now, limit.Window, share)
		p.renewals = s.sends.AppendRenewals(p.renewals, now, limit.Window, share)
		shares.perSecond += float64(share) / limit.Window.Seconds()
		limited = true
	}
	slices.Sort(p.renewals)
	return shares, limited
}
