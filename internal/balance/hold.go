package balance

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// DefaultHoldThreshold is the default of Options.HoldThreshold.
const DefaultHoldThreshold = 800 * time.Millisecond

// chooseUnlessHeld returns the server to which the request should go now. It
// returns nil when there is none or when the request should be held: if the best
// server has a long prefill backlog, less urgent requests wait in this queue, which
// is ordered by priority, rather than on the server. Requests that were already
// tried on another server are not held, since they have lost time there.
func (b *Balancer) chooseUnlessHeld(now boottime.Instant, p *pool, q *Query) *server {
	s := b.choose(now, p, q)
	if s == nil || !p.engine || q.Priority == 0 || len(q.Tried) > 0 {
		return s
	}
	if b.prefillBacklog(now, s) > b.options.HoldThreshold {
		return nil
	}
	return s
}

// prefillBacklog estimates how long the server still needs for the pending prefill
// of this instance's requests, scaled by its slowdown.
func (b *Balancer) prefillBacklog(now boottime.Instant, s *server) time.Duration {
	millis := float64(s.pendingPrefill) / b.prefillRate(now, s) * max(s.slowdown.ratio, 1)
	return time.Duration(millis * float64(time.Millisecond))
}
