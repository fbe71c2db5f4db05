package balance

import (
	"math"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const (
	// slowdownWeight is the weight of a new observation in a server's moving
	// average.
	slowdownWeight = 0.2
	// slowdownDecayTime is the time constant with which an observed slowdown decays
	// exponentially, so that a server that gets no work is tried again.
	slowdownDecayTime = 4 * time.Second
	// medianInterval is the minimum time between two computations of a pool's
	// median.
	medianInterval = 200 * time.Millisecond
	// maxRelativeSlowdown bounds a server's relative slowdown.
	maxRelativeSlowdown = 8.0
	// slowThreshold is the ratio to the median from which a server counts as slow.
	// When the pool as a whole is slow, the threshold is loadedSlowThreshold times
	// the median slowdown if that is higher: recomputing a prefix on another server
	// is most expensive when all servers are late.
	slowThreshold       = 2.0
	loadedSlowThreshold = 1.0
	// minMedianServers is the number of servers with a known slowdown that is
	// needed for a median.
	minMedianServers = 3
	// minFirstEventMillis is the minimum time to the first event of an answer.
	minFirstEventMillis = 60.0
)

// slowdown is the moving average of a server's time to first event, divided by the
// time expected from its pending prefill.
type slowdown struct {
	ratio      float64 // moving average; 0 if unknown
	observedAt boottime.Instant
}

// observe adds an observation: the actual and the expected time to first event.
func (d *slowdown) observe(now boottime.Instant, actual time.Duration, expectedMillis float64) {
	ratio := float64(actual) / float64(time.Millisecond) / expectedMillis
	if d.ratio == 0 {
		d.ratio = ratio
	}
	d.ratio += slowdownWeight * (ratio - d.ratio)
	d.observedAt = now
}

// medianSlowdown returns the median slowdown of the pool's servers, which is cached
// for medianInterval. It returns 0 when too few slowdowns are known.
func (p *pool) medianSlowdown(now boottime.Instant) float64 {
	if !p.median.observedAt.IsZero() && now.Sub(p.median.observedAt) < medianInterval {
		return p.median.ratio
	}
	var known []float64
	for _, s := range p.servers {
		if s.slowdown.ratio > 0 {
			known = append(known, s.slowdown.ratio)
		}
	}
	p.median = slowdown{observedAt: now}
	if len(known) >= minMedianServers {
		slices.Sort(known)
		p.median.ratio = known[len(known)/2]
	}
	return p.median.ratio
}

// relativeSlowdown returns the server's slowdown relative to the pool's median,
// from 1 to maxRelativeSlowdown. It is 1 for a server that does not count as slow,
// and decays towards 1 without new observations.
func (s *server) relativeSlowdown(now boottime.Instant, median float64) float64 {
	if median == 0 {
		return 1
	}
	threshold := max(slowThreshold, loadedSlowThreshold*median)
	excess := s.slowdown.ratio/(threshold*median) - 1
	if excess <= 0 {
		return 1
	}
	decay := math.Exp(-now.Sub(s.slowdown.observedAt).Seconds() / slowdownDecayTime.Seconds())
	return min(1+decay*excess, maxRelativeSlowdown)
}
