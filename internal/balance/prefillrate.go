package balance

import "github.com/hawthornwick/hawthornwick/internal/boottime"

// prefillRate returns the estimated prefill rate of a server, in prompt tokens per
// millisecond.
func (b *Balancer) prefillRate(now boottime.Instant, s *server) float64 {
	return b.paceOf(now, s).Rate()
}

// PrefillRates returns the learned prefill rates of all servers by ID, in prompt tokens per
// millisecond. It is nil if none are learned.
func (b *Balancer) PrefillRates() map[string]float64 {
	if b.options.Pace == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	rates := make(map[string]float64, len(b.servers))
	for id, s := range b.servers {
		rates[id] = b.prefillRate(now, s)
	}
	return rates
}
