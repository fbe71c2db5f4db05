package platform

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	api "github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// unusedAddress is in the address range reserved for documentation (RFC 5737), so
// that nothing listens on it.
const unusedAddress = "192.0.2.1:8000"

type servers struct {
	mu           sync.Mutex
	byName       map[string]api.Server
	outcomes     map[string]api.OrderOutcome
	highestToken map[string]uint64 // highest fencing token by duty
	zoneFull     map[string]bool
	started      int
}

func (s *servers) init() {
	s.byName = make(map[string]api.Server)
	s.outcomes = make(map[string]api.OrderOutcome)
	s.highestToken = make(map[string]uint64)
	s.zoneFull = make(map[string]bool)
}

// AddServer adds a backend server without an order.
func (p *Platform) AddServer(s api.Server) {
	p.servers.mu.Lock()
	defer p.servers.mu.Unlock()
	p.servers.byName[s.Name] = s
}

// ServerList returns every server that was not removed, sorted by name.
func (p *Platform) ServerList() []api.Server {
	p.servers.mu.Lock()
	defer p.servers.mu.Unlock()
	list := slices.Collect(maps.Values(p.servers.byName))
	slices.SortFunc(list, func(a, b api.Server) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Orders returns the number of orders that took effect.
func (p *Platform) Orders() int {
	p.servers.mu.Lock()
	defer p.servers.mu.Unlock()
	return len(p.servers.outcomes)
}

// SetZoneCapacity sets whether an availability zone has capacity for new servers.
// A zone without capacity refuses starts.
func (p *Platform) SetZoneCapacity(zone string, available bool) {
	p.servers.mu.Lock()
	defer p.servers.mu.Unlock()
	p.servers.zoneFull[zone] = !available
}

// Restart increments a server's epoch, as a crash and restart does.
func (p *Platform) Restart(name string) {
	p.servers.mu.Lock()
	defer p.servers.mu.Unlock()
	if s, ok := p.servers.byName[name]; ok {
		s.Epoch++
		p.servers.byName[name] = s
	}
}

// Reclaim sets every preemptible server of an availability zone to leaving, and
// removes them after Options.ReclaimNotice.
func (p *Platform) Reclaim(zone string) {
	for _, s := range p.ServerList() {
		if s.Preemptible && s.Zone == zone {
			p.startLeaving(s.Name)
		}
	}
}

// AnnounceRemoval sets one server to leaving, and removes it after Options.ReclaimNotice.
func (p *Platform) AnnounceRemoval(name string) { p.startLeaving(name) }

func (p *Platform) startLeaving(name string) {
	if !p.setState(name, api.ServerDraining) {
		return
	}
	p.running.Go(func() {
		if wait.For(p.ctx, p.options.ReclaimNotice) == nil {
			p.remove(name)
		}
	})
}

// setState returns false if the server does not exist.
func (p *Platform) setState(name string, state api.ServerState) bool {
	p.servers.mu.Lock()
	defer p.servers.mu.Unlock()
	s, ok := p.servers.byName[name]
	if !ok {
		return false
	}
	s.State = state
	p.servers.byName[name] = s
	return true
}

func (p *Platform) remove(name string) {
	p.servers.mu.Lock()
	_, ok := p.servers.byName[name]
	delete(p.servers.byName, name)
	p.servers.mu.Unlock()
	if ok && p.options.StopServer != nil {
		p.options.StopServer(name)
	}
}

// serversCaller implements api.Servers for one caller.
type serversCaller struct{ *Caller }

// List implements api.Servers.
func (c serversCaller) List(ctx context.Context) ([]api.Server, error) {
	return call(ctx, c.Caller, ServersInterface, cost{}, func() ([]api.Server, error) {
		list := c.p.ServerList()
		c.p.counts.add(c.name, ServersInterface, Counts{ReadCalls: 1, ReadRows: int64(len(list))})
		return list, nil
	})
}

// Place implements api.Servers.
func (c serversCaller) Place(ctx context.Context, o api.Order) (api.OrderOutcome, error) {
	return call(ctx, c.Caller, ServersInterface, cost{}, func() (api.OrderOutcome, error) {
		c.p.counts.add(c.name, ServersInterface, Counts{WriteCalls: 1, WriteRows: 1})
		return c.p.place(o)
	})
}

// Lookup implements api.Servers.
func (c serversCaller) Lookup(ctx context.Context, id string) (api.OrderOutcome, error) {
	return call(ctx, c.Caller, ServersInterface, cost{}, func() (api.OrderOutcome, error) {
		c.p.counts.add(c.name, ServersInterface, Counts{ReadCalls: 1, ReadRows: 1})
		c.p.servers.mu.Lock()
		defer c.p.servers.mu.Unlock()
		out, ok := c.p.servers.outcomes[id]
		if !ok {
			return out, api.ErrNotFound
		}
		return out, nil
	})
}

// place applies an order. It is idempotent by the order's id, and rejects a
// fencing token lower than the highest of the duty.
func (p *Platform) place(o api.Order) (api.OrderOutcome, error) {
	s := &p.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.options.IgnoreTokens && o.Token < s.highestToken[o.Duty] {
		return api.OrderOutcome{}, &api.StaleTokenError{Token: o.Token, Seen: s.highestToken[o.Duty]}
	}
	s.highestToken[o.Duty] = max(s.highestToken[o.Duty], o.Token)
	if out, ok := s.outcomes[o.ID]; ok {
		return out, nil
	}
	out := p.apply(o)
	s.outcomes[o.ID] = out
	p.options.Recorder.Record(timeline.Event{
		Kind: timeline.PlatformOrder, Order: o.ID, Duty: o.Duty, Token: o.Token,
		Server: out.Server, Zone: o.Zone, Detail: string(o.Kind),
	})
	return out, nil
}

// apply carries out an order. The caller holds servers.mu.
func (p *Platform) apply(o api.Order) api.OrderOutcome {
	if o.Kind == api.OrderReturn {
		return p.applyReturn(o)
	}
	if p.servers.zoneFull[o.Zone] {
		return api.OrderOutcome{ID: o.ID, Reason: fmt.Sprintf("availability zone %q has no capacity", o.Zone)}
	}
	p.servers.started++
	name := fmt.Sprintf("server-%04d", p.servers.started)
	p.servers.byName[name] = api.Server{
		Name: name, Zone: o.Zone, Model: o.Model, Preemptible: o.Preemptible,
		RejectsStaleTokens: true, Epoch: 1, State: api.ServerStarting,
	}
	p.running.Go(func() { p.start(o, name) })
	return api.OrderOutcome{ID: o.ID, Accepted: true, Server: name}
}

func (p *Platform) applyReturn(o api.Order) api.OrderOutcome {
	if _, ok := p.servers.byName[o.Server]; !ok {
		return api.OrderOutcome{ID: o.ID, Reason: fmt.Sprintf("server %q does not exist", o.Server)}
	}
	p.running.Go(func() { p.remove(o.Server) })
	return api.OrderOutcome{ID: o.ID, Accepted: true, Server: o.Server}
}

// start sets the server to running after its start time has passed and its weights
// are loaded.
func (p *Platform) start(o api.Order, name string) {
	if wait.For(p.ctx, p.options.StartTime) != nil {
		return
	}
	if p.weights.Load(p.ctx, p.options.WeightBytes) != nil {
		return
	}
	address := unusedAddress
	if p.options.StartServer != nil {
		started, err := p.options.StartServer(o, name)
		if err != nil {
			p.remove(name)
			return
		}
		address = started
	}
	p.servers.mu.Lock()
	defer p.servers.mu.Unlock()
	s, ok := p.servers.byName[name]
	if !ok || s.State != api.ServerStarting {
		return
	}
	s.State = api.ServerRunning
	s.Address = address
	p.servers.byName[name] = s
}
