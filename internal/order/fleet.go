package order

import (
	"cmp"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// fleet is the servers of one model.
type fleet struct {
	model         Model
	servers       []platform.Server // starting or running, including draining ones
	draining      map[string]bool
	returnOrdered map[string]bool // servers whose return is ordered
	zoneDrained   map[string]bool
	counts        map[serverKind]int // servers that count as capacity
	busy          map[string]int
}

// serverKind is a zone and a pricing type.
type serverKind struct {
	zone        string
	preemptible bool
}

func newFleet(m Model, o Observation) fleet {
	f := fleet{
		model: m, draining: make(map[string]bool), returnOrdered: make(map[string]bool),
		zoneDrained: make(map[string]bool), counts: make(map[serverKind]int), busy: o.Busy,
	}
	for _, z := range o.Zones {
		f.zoneDrained[z.Name] = z.Drained
	}
	for _, open := range o.Open {
		if open.Kind == platform.OrderReturn {
			f.returnOrdered[open.Server] = true
		} else if open.Model == m.Name {
			f.add(open.Zone, open.Preemptible)
		}
	}
	for _, s := range o.Servers {
		if s.Model != m.Name || s.State != platform.ServerStarting && s.State != platform.ServerRunning {
			continue
		}
		f.servers = append(f.servers, s)
		if _, draining := o.Draining[s.Name]; draining || f.returnOrdered[s.Name] {
			f.draining[s.Name] = true
			continue
		}
		f.add(s.Zone, s.Preemptible)
	}
	return f
}

// add counts a server as capacity unless its zone is drained.
func (f *fleet) add(zone string, preemptible bool) {
	if !f.zoneDrained[zone] {
		f.counts[serverKind{zone, preemptible}]++
	}
}

func (f *fleet) count(match func(serverKind) bool) int {
	n := 0
	for k, servers := range f.counts {
		if match(k) {
			n += servers
		}
	}
	return n
}

// total returns the number of servers that count as capacity.
func (f *fleet) total() int { return f.count(func(serverKind) bool { return true }) }

// standard returns the number of those that are not preemptible.
func (f *fleet) standard() int { return f.count(func(k serverKind) bool { return !k.preemptible }) }

// returning reports whether the return of a server is ordered.
func (f *fleet) returning(name string) bool { return f.returnOrdered[name] }

// undrainCandidate returns a draining server that may accept work again. For preemptible
// capacity a standard server will do, but not the reverse.
func (f *fleet) undrainCandidate(preemptible bool) (string, bool) {
	for _, s := range f.servers {
		fits := s.Preemptible == preemptible || preemptible // a standard server can replace a preemptible one
		if f.draining[s.Name] && !f.returnOrdered[s.Name] && !f.zoneDrained[s.Zone] && fits {
			return s.Name, true
		}
	}
	return "", false
}

func (f *fleet) undrain(name string) {
	delete(f.draining, name)
	for _, s := range f.servers {
		if s.Name == name {
			f.add(s.Zone, s.Preemptible)
		}
	}
}

// prefersZone reports whether a start is better placed in zone a than in b: the one with
// fewer servers of the kind, then the cheaper one.
func (f *fleet) prefersZone(a, b Zone, preemptible bool) bool {
	price := func(z Zone) float64 {
		if preemptible {
			return z.PreemptiblePrice
		}
		return z.Price
	}
	order := cmp.Or(
		cmp.Compare(f.counts[serverKind{a.Name, preemptible}], f.counts[serverKind{b.Name, preemptible}]),
		cmp.Compare(price(a), price(b)),
		cmp.Compare(a.Name, b.Name),
	)
	return order < 0
}

// drainCandidate returns the server to drain: a standard one if standard is set, else a
// preemptible one, in the zone with the most servers of that kind, with the least load.
func (f *fleet) drainCandidate(standard bool) (string, bool) {
	var candidates []platform.Server
	for _, s := range f.servers {
		if !f.draining[s.Name] && !f.zoneDrained[s.Zone] && s.Preemptible != standard {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(a, b platform.Server) int {
		return cmp.Or(
			cmp.Compare(f.counts[serverKind{b.Zone, b.Preemptible}], f.counts[serverKind{a.Zone, a.Preemptible}]),
			cmp.Compare(f.busy[a.Name], f.busy[b.Name]),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return best.Name, true
}
