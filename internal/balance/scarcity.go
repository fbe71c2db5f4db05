package balance

import (
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/sharedlimit"
)

// scarcity returns how much less than its even share of the pool's requests the server takes
// by the limit that it names, from 0 to 1. It is 1 if most instances have no share of the
// limit at all, since what the others do not use is lost.
func (b *Balancer) scarcity(now boottime.Instant, p *pool, s *server) float64 {
	if !s.stated.NamesLimit(now) {
		return 0
	}
	rate := s.stated.RateLimit(now)
	if sharedlimit.PerSecond(rate).Total < b.instances() {
		return 1
	}
	even := p.evenRate(now) * float64(b.instances())
	if even <= rate {
		return 0
	}
	return 1 - rate/even
}

// evenRate caches the requests per second of this instance for each usable server.
type evenRate struct {
	rate float64
	at   boottime.Instant
}

// evenRate returns the requests per second that each usable server would get from this
// instance if they were spread evenly. It is computed once per instant.
func (p *pool) evenRate(now boottime.Instant) float64 {
	if p.even.at == now {
		return p.even.rate
	}
	usable := 0
	for _, s := range p.servers {
		if s.usable() {
			usable++
		}
	}
	p.even = evenRate{rate: p.arrivals.rate(now, config.TierCount) / float64(max(usable, 1)), at: now}
	return p.even.rate
}
