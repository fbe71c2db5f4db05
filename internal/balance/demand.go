package balance

import (
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/presence"
)

// tokenCounter counts the tokens of requests that were assigned to a pool's
// servers.
type tokenCounter struct {
	prompt, output int
	since          boottime.Instant
}

// TakeDemand returns this instance's demand by service since the last call, and
// starts a new measurement.
func (b *Balancer) TakeDemand() map[string]presence.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	demand := b.demand(now)
	for _, p := range b.pools {
		p.tokens = tokenCounter{since: now}
	}
	return demand
}

// Demand returns this instance's demand by service since the last TakeDemand.
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
	d := presence.Demand{Waiting: p.waitingRequests()}
	for _, s := range p.servers {
		d.InFlight += s.inFlight
	}
	if seconds := now.Sub(p.tokens.since).Seconds(); seconds > 0 && !p.tokens.since.IsZero() {
		d.PromptRate = float64(p.tokens.prompt) / seconds
		d.OutputRate = float64(p.tokens.output) / seconds
	}
	return d
}

// ZoneCount is the number of a service's servers in one availability zone, not
// counting servers that leave.
type ZoneCount struct {
	Zone                 string
	Regular, Preemptible int
	Drained              bool
}

// Zones returns the server counts of a service by availability zone. Servers of a version
// that a rollout may stop are not counted.
func (b *Balancer) Zones(service string) map[string]ZoneCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	zones := map[string]ZoneCount{}
	p := b.pools[service]
	if p == nil {
		return zones
	}
	for _, s := range p.servers {
		if s.leaving() || p.versions.stops(s) {
			continue
		}
		z := zones[s.Zone]
		z.Zone, z.Drained = s.Zone, s.zoneDrained
		if s.Preemptible {
			z.Preemptible++
		} else {
			z.Regular++
		}
		zones[s.Zone] = z
	}
	return zones
}
