package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/routing"
)

// Status describes an engine to operators.
type Status struct {
	Members      int            `json:"members"`       // instances that share the servers
	MembersFresh bool           `json:"members_fresh"` // false means that cold servers get no requests
	Pools        []PoolStatus   `json:"pools"`
	Servers      []ServerStatus `json:"servers"`
}

// PoolStatus describes one model or plain service.
type PoolStatus struct {
	Name     string        `json:"name"`
	Slots    int           `json:"slots"` // requests that this instance may have in flight
	InFlight int           `json:"in_flight"`
	Waiting  int           `json:"waiting"`
	Classes  []ClassStatus `json:"classes,omitempty"` // only classes with waiting or running requests
}

// ClassStatus describes one class in a pool.
type ClassStatus struct {
	Name    string  `json:"name"`
	Tier    int     `json:"tier"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"` // admitted requests
	Retries float64 `json:"retries_left"`
}

// ServerStatus describes one backend server as this instance sees it.
type ServerStatus struct {
	Name        string `json:"name"`
	Pool        string `json:"pool"` // model or plain service; empty if not configured
	Zone        string `json:"zone"`
	ZoneDrained bool   `json:"zone_out,omitempty"`
	State       string `json:"state"` // as listed by the platform
	Health      string `json:"health"`
	Epoch       uint64 `json:"epoch"`
	Slots       int    `json:"slots"`
	InFlight    int    `json:"in_flight"`
	Preemptible bool   `json:"cheap,omitempty"`
}

// Status returns the status of all pools and servers, sorted by name.
func (e *Engine) Status(now time.Time) Status {
	s := Status{Members: e.store.Members.Size(), MembersFresh: e.store.Members.Fresh(now)}
	for _, p := range e.pools {
		s.Pools = append(s.Pools, e.poolStatus(now, p))
	}
	snapshot := e.store.Snapshot()
	pools := make(map[*routing.Candidate]string, len(snapshot.Servers))
	for _, p := range snapshot.Pools {
		for _, c := range p.Candidates {
			pools[c] = p.Name
		}
	}
	for _, c := range snapshot.Servers {
		s.Servers = append(s.Servers, e.serverStatus(now, pools[c], c))
	}
	slices.SortFunc(s.Pools, func(a, b PoolStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Servers, func(a, b ServerStatus) int { return strings.Compare(a.Name, b.Name) })
	return s
}

func (e *Engine) serverStatus(now time.Time, pool string, c *routing.Candidate) ServerStatus {
	return ServerStatus{
		Name: c.Name, Pool: pool, Zone: c.Zone, ZoneDrained: c.ZoneDrained, State: string(c.State),
		Health: c.Live.State().Name, Epoch: c.Live.Epoch(),
		Slots: c.Live.Slots(now, e.store.Members), InFlight: c.Live.Outstanding(), Preemptible: c.Preemptible,
	}
}

func (e *Engine) poolStatus(now time.Time, p *pool) PoolStatus {
	p.refresh(now, e.store.Members)
	s := PoolStatus{Name: p.name, Slots: p.slots, Waiting: p.queue.Len()}
	for _, c := range p.servers.Candidates {
		s.InFlight += c.Live.Outstanding()
	}
	for name, c := range p.classes {
		if n := p.queue.ClassLen(name); n > 0 || c.running > 0 {
			s.Classes = append(s.Classes, ClassStatus{
				Name: name, Tier: c.spec.Tier, Waiting: n, Running: c.running, Retries: c.budget.Remaining(),
			})
		}
	}
	slices.SortFunc(s.Classes, func(a, b ClassStatus) int {
		if a.Tier != b.Tier {
			return a.Tier - b.Tier
		}
		return strings.Compare(a.Name, b.Name)
	})
	return s
}
