package balance

import (
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/presence"
)

// work counts the tokens that a pool's requests asked for.
type work struct {
	prompt, output int
	since          boottime.Instant
}

// TakeDemand returns this instance's work by service since the last call.
func (b *Balancer) TakeDemand() map[string]presence.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	demand := b.demand(now)
	for _, p := range b.pools {
		p.work = work{since: now}
	}
	return demand
}

// Demand returns this instance's work by service since the last TakeDemand.
func (b *Balancer) Demand() map[string]presence.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.demand(b.now())
}

func (b *Balancer) demand(now boottime.Instant) map[string]presence.Demand {
	demand := make(map[string]presence.Demand, len(b.pools))
	for name, p := range b.pools {
		if d := p.demand(now); d != (presence.Demand{}) {
			demand[name] = d
		}
	}
	return demand
}

func (p *pool) demand(now boottime.Instant) presence.Demand {
	d := presence.Demand{Waiting: p.waiting.Len()}
	for _, s := range p.servers {
		d.InFlight += s.inFlight
	}
	if seconds := now.Sub(p.work.since).Seconds(); seconds > 0 && !p.work.since.IsZero() {
		d.PromptRate = float64(p.work.prompt) / seconds
		d.OutputRate = float64(p.work.output) / seconds
	}
	return d
}

// ZoneCount is the number of a service's servers in one availability zone that
// are not leaving.
type ZoneCount struct {
	Zone                 string
	Regular, Preemptible int
	Out                  bool
}

// Zones counts the servers of a service by availability zone.
func (b *Balancer) Zones(service string) map[string]ZoneCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	zones := map[string]ZoneCount{}
	p := b.pools[service]
	if p == nil {
		return zones
	}
	for _, s := range p.servers {
		if s.Draining {
			continue
		}
		z := zones[s.Zone]
		z.Zone, z.Out = s.Zone, s.zoneOut
		if s.Preemptible {
			z.Preemptible++
		} else {
			z.Regular++
		}
		zones[s.Zone] = z
	}
	return zones
}
