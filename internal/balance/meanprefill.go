package balance

import "github.com/hawthornwick/hawthornwick/internal/boottime"

// meanPrefill caches the mean pending prefill time of a pool's servers.
type meanPrefill struct {
	millis float64 // mean over the usable servers
	at     boottime.Instant
}

// meanPrefillMillis returns the mean time in milliseconds that the pool's usable
// servers still need for pending prefill. It is computed once per instant.
func (b *Balancer) meanPrefillMillis(now boottime.Instant, p *pool) float64 {
	if p.meanPrefill.at == now {
		return p.meanPrefill.millis
	}
	millis, usable := 0.0, 0
	for _, s := range p.servers {
		if s.usable() {
			usable++
			millis += float64(s.load(now).PendingPrefill) / b.prefillRate(now, s)
		}
	}
	p.meanPrefill = meanPrefill{at: now, millis: millis / float64(max(usable, 1))}
	return p.meanPrefill.millis
}
