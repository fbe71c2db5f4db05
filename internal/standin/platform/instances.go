package platform

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	api "github.com/hawthornwick/hawthornwick/internal/platform"
)

// registration is one change of the list of instances: a registration, a renewal
// or a removal.
type registration struct {
	at       time.Time
	instance api.Instance
	removed  bool
}

type instances struct {
	mu  sync.Mutex
	log []registration // oldest first
}

// Register registers an instance or renews its registration.
func (p *Platform) Register(in api.Instance) { p.logInstance(registration{instance: in}) }

// Unregister removes an instance from the list.
func (p *Platform) Unregister(name string) {
	p.logInstance(registration{instance: api.Instance{Name: name}, removed: true})
}

func (p *Platform) logInstance(r registration) {
	p.instances.mu.Lock()
	defer p.instances.mu.Unlock()
	r.at = time.Now()
	p.instances.log = append(p.instances.log, r)
	p.instances.prune(r.at.Add(-p.options.ListLag))
}

// prune drops changes that are superseded in every list taken at or after the
// horizon, by a later change of the same instance.
func (s *instances) prune(horizon time.Time) {
	newest := make(map[string]int)
	for i, r := range s.log {
		if !r.at.After(horizon) {
			newest[r.instance.Name] = i
		}
	}
	kept := s.log[:0]
	for i, r := range s.log {
		if at, ok := newest[r.instance.Name]; !ok || i >= at {
			kept = append(kept, r)
		}
	}
	s.log = kept
}

// listAt returns the list as it was at a time, without the instances whose
// registration was older than ttl. Zero ttl means that registrations do not
// expire.
func (s *instances) listAt(at time.Time, ttl time.Duration) []api.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	byName := make(map[string]registration)
	for _, r := range s.log {
		if !r.at.After(at) {
			byName[r.instance.Name] = r
		}
	}
	var list []api.Instance
	for _, r := range byName {
		expired := ttl > 0 && at.Sub(r.at) > ttl
		if !r.removed && !expired {
			list = append(list, r.instance)
		}
	}
	slices.SortFunc(list, func(a, b api.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// instancesCaller implements api.Instances for one caller.
type instancesCaller struct{ *Caller }

// List implements api.Instances.
func (c instancesCaller) List(ctx context.Context) ([]api.Instance, error) {
	return call(ctx, c.Caller, InstancesInterface, cost{}, func() ([]api.Instance, error) {
		list := c.p.instances.listAt(time.Now().Add(-c.p.options.ListLag), c.p.options.InstanceTTL)
		c.p.counts.add(c.name, InstancesInterface, Counts{ReadCalls: 1, ReadRows: int64(len(list))})
		return list, nil
	})
}
