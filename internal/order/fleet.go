package order

import (
	"cmp"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// fleet is what a model has: the servers that take work or are about to, and
// those that drain.
type fleet struct {
	model    Model
	servers  []platform.Server // starting or running, draining ones included
	draining map[string]bool
	leaving  map[string]bool // a return is ordered
	zoneOut  map[string]bool
	counted  map[kind]int // servers that count as capacity
	busy     map[string]int
}

// kind is a zone and a price.
type kind struct {
	zone  string
	cheap bool
}

func newFleet(m Model, o Observation) fleet {
	f := fleet{
		model: m, draining: make(map[string]bool), leaving: make(map[string]bool),
		zoneOut: make(map[string]bool), counted: make(map[kind]int), busy: o.Busy,
	}
	for _, z := range o.Zones {
		f.zoneOut[z.Name] = z.Out
	}
	for _, open := range o.Open {
		if open.Kind == platform.OrderReturn {
			f.leaving[open.Server] = true
		} else if open.Model == m.Name {
			f.add(open.Zone, open.Cheap)
		}
	}
	for _, s := range o.Servers {
		if s.Model != m.Name || s.State != platform.ServerStarting && s.State != platform.ServerRunning {
			continue
		}
		f.servers = append(f.servers, s)
		if _, draining := o.Draining[s.Name]; draining || f.leaving[s.Name] {
			f.draining[s.Name] = true
			continue
		}
		f.add(s.Zone, s.Cheap)
	}
	return f
}

// add counts a server; those of a zone that is out are no capacity.
func (f *fleet) add(zone string, cheap bool) {
	if !f.zoneOut[zone] {
		f.counted[kind{zone, cheap}]++
	}
}

func (f *fleet) count(match func(kind) bool) int {
	n := 0
	for k, servers := range f.counted {
		if match(k) {
			n += servers
		}
	}
	return n
}

// total is the number of servers that count as capacity.
func (f *fleet) total() int { return f.count(func(kind) bool { return true }) }

// firm is the number of those that are not cheap.
func (f *fleet) firm() int { return f.count(func(k kind) bool { return !k.cheap }) }

// returning reports whether the return of a server is ordered.
func (f *fleet) returning(name string) bool { return f.leaving[name] }

// drained returns a draining server that may take work again.
func (f *fleet) drained(cheap bool) (string, bool) {
	for _, s := range f.servers {
		fits := s.Cheap == cheap || cheap // a firm server does for a cheap one
		if f.draining[s.Name] && !f.leaving[s.Name] && !f.zoneOut[s.Zone] && fits {
			return s.Name, true
		}
	}
	return "", false
}

func (f *fleet) undrain(name string) {
	delete(f.draining, name)
	for _, s := range f.servers {
		if s.Name == name {
			f.add(s.Zone, s.Cheap)
		}
	}
}

// before orders zones for a start.
func (f *fleet) before(a, b Zone, cheap bool) bool {
	price := func(z Zone) float64 {
		if cheap {
			return z.CheapPrice
		}
		return z.Price
	}
	order := cmp.Or(
		cmp.Compare(f.counted[kind{a.Name, cheap}], f.counted[kind{b.Name, cheap}]),
		cmp.Compare(price(a), price(b)),
		cmp.Compare(a.Name, b.Name),
	)
	return order < 0
}

// victim returns the server to drain: a firm one if there are too many of them,
// else a cheap one; of the zone with the most; the least busy.
func (f *fleet) victim(firm bool) (string, bool) {
	var candidates []platform.Server
	for _, s := range f.servers {
		if !f.draining[s.Name] && !f.zoneOut[s.Zone] && s.Cheap != firm {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(a, b platform.Server) int {
		return cmp.Or(
			cmp.Compare(f.counted[kind{b.Zone, b.Cheap}], f.counted[kind{a.Zone, a.Cheap}]),
			cmp.Compare(f.busy[a.Name], f.busy[b.Name]),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return best.Name, true
}
