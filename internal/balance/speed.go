package balance

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// Engines of one service differ in speed. A stream with a tight target between events meets
// it on a fast one even while prompts are prefilled there, and often misses it on a slow
// one; other requests can use both.

const (
	// slowTime and normalTime are the times per event, relative to those of the pool's fast
	// servers, above which a server is slow, and below which it no longer is.
	slowTime   = 1.5
	normalTime = 1.3
	// fastQuantile is the quantile of the servers' times per event that stands for the fast
	// ones.
	fastQuantile = 0.2
	// minSpeedCertainty is the certainty of an estimate from which it counts.
	minSpeedCertainty = 0.4
	// forgetSpeedCertainty is the certainty below which a mark ends, so that a server that got
	// no streams for long is tried again.
	forgetSpeedCertainty = 0.15
	// minSpeedServers is the number of servers of known speed that is needed to compare them.
	minSpeedServers = 3
	// speedInterval is the interval at which servers are compared.
	speedInterval = time.Second
)

// speeds compares the speed of a pool's servers.
type speeds struct {
	comparedAt boottime.Instant
	times      []float64 // reused between comparisons
	slow       int       // slow servers
}

// updateSpeeds marks the slow servers of the pool, at most once per speedInterval. Marks
// change only on sufficient evidence, so that instances rarely disagree.
func (b *Balancer) updateSpeeds(now boottime.Instant, p *pool) {
	if !p.speeds.comparedAt.IsZero() && now.Sub(p.speeds.comparedAt) < speedInterval {
		return
	}
	p.speeds.comparedAt = now
	fast, ok := b.fastTime(now, p)
	if !ok {
		return
	}
	p.speeds.slow = 0
	for _, s := range p.servers {
		s.markSpeed(b.paceOf(now, s).Slowness()/fast, b.paceOf(now, s).Certainty)
		if s.slow {
			p.speeds.slow++
		}
	}
}

// fastTime returns the relative time per event of the pool's fast servers. The result is
// false if the speed of too few servers is known.
func (b *Balancer) fastTime(now boottime.Instant, p *pool) (float64, bool) {
	known := p.speeds.times[:0]
	for _, s := range p.servers {
		if e := b.paceOf(now, s); s.usable() && e.Certainty >= minSpeedCertainty {
			known = append(known, e.Slowness())
		}
	}
	p.speeds.times = known
	if len(known) < minSpeedServers {
		return 0, false
	}
	slices.Sort(known)
	return known[int(fastQuantile*float64(len(known)))], true
}

// markSpeed marks the server as slow or not, by its time per event relative to that of fast
// servers.
func (s *server) markSpeed(relative, certainty float64) {
	switch {
	case certainty < forgetSpeedCertainty:
		s.slow = false
	case certainty < minSpeedCertainty:
	case relative > slowTime:
		s.slow = true
	case relative < normalTime:
		s.slow = false
	}
}
