package order

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// refusalHold is how long no start is ordered in a zone that refused one.
const refusalHold = time.Minute

// Scaler decides about starts, drains and returns. It is pure: it does no I/O
// and takes the time from its caller. It is not safe for concurrent use.
type Scaler struct {
	policy  Policy
	trends  map[string]trend
	low     map[string]time.Time // since when a model has too many servers
	outAt   map[string]time.Time // when a zone was first seen out
	reclaim map[string]time.Time // when a cheap server of a zone was last reclaimed
	refused map[string]time.Time // when a zone last refused a start
}

// NewScaler returns a scaler that has seen nothing yet.
func NewScaler(p Policy) *Scaler {
	return &Scaler{
		policy:  p.withDefaults(),
		trends:  make(map[string]trend),
		low:     make(map[string]time.Time),
		outAt:   make(map[string]time.Time),
		reclaim: make(map[string]time.Time),
		refused: make(map[string]time.Time),
	}
}

// Refused tells that the platform did not accept a start in a zone.
func (s *Scaler) Refused(now time.Time, zone string) { s.refused[zone] = now }

// refusing reports whether a zone refused a start not long ago.
func (s *Scaler) refusing(now time.Time, zone string) bool {
	at, ok := s.refused[zone]
	return ok && now.Sub(at) < refusalHold
}

// Decide returns the actions for an observation.
func (s *Scaler) Decide(now time.Time, o Observation) []Action {
	s.noteZones(now, o)
	starts := s.startsLeft(o)
	var actions []Action
	for _, m := range o.Models {
		if m.MaxServers == 0 {
			continue
		}
		f := newFleet(m, o)
		actions = append(actions, s.returns(now, f, o)...)
		actions = append(actions, s.scale(now, f, o, &starts)...)
	}
	return actions
}

// noteZones remembers which zones are out and where cheap servers leave.
func (s *Scaler) noteZones(now time.Time, o Observation) {
	for _, z := range o.Zones {
		if !z.Out {
			delete(s.outAt, z.Name)
			continue
		}
		if _, ok := s.outAt[z.Name]; !ok {
			s.outAt[z.Name] = now
		}
	}
	for _, server := range o.Servers {
		if server.Cheap && server.State == platform.ServerLeaving {
			s.reclaim[server.Zone] = now
		}
	}
}

// startsLeft is how many servers may still begin to load weights.
func (s *Scaler) startsLeft(o Observation) int {
	left := s.policy.StartsAtOnce
	for _, server := range o.Servers {
		if server.State == platform.ServerStarting {
			left--
		}
	}
	for _, open := range o.Open {
		if open.Kind == platform.OrderStart {
			left--
		}
	}
	return left
}

// scale compares what a model has with what it needs.
func (s *Scaler) scale(now time.Time, f fleet, o Observation, starts *int) []Action {
	m := f.model
	d := demandOf(m, s.policy.Target)
	t := s.trends[m.Name].next(now, d.total, m.StartTime)
	s.trends[m.Name] = t
	expected := d
	if d.total > 0 {
		expected = d.scale((d.total + t.growth(m.StartTime)) / d.total)
	}
	zones := s.cheapZones(now, o)
	up := needFor(m, expected, s.policy.Use, len(zones))
	if f.total() < up.total() || f.firm() < up.firm {
		delete(s.low, m.Name)
		return s.grow(now, f, o, up, starts)
	}
	down := needFor(m, expected, s.policy.LowUse, len(zones))
	down = down.withFirm(up.firm)
	if f.total() <= max(down.total(), up.total()) {
		delete(s.low, m.Name)
		return nil
	}
	return s.shrink(now, f, down)
}

// grow gives drained servers work again and starts others.
func (s *Scaler) grow(now time.Time, f fleet, o Observation, up need, starts *int) []Action {
	var actions []Action
	for f.firm() < up.firm || f.total() < up.total() {
		cheap := f.firm() >= up.firm
		if server, ok := f.drained(cheap); ok {
			actions = append(actions, Action{Kind: Undrain, Model: f.model.Name, Server: server})
			f.undrain(server)
			continue
		}
		if *starts <= 0 || f.total() >= f.model.MaxServers {
			return actions
		}
		zone, ok := s.pickZone(now, f, o, cheap)
		if !ok {
			return actions
		}
		*starts--
		actions = append(actions, Action{Kind: Start, Model: f.model.Name, Zone: zone, Cheap: cheap})
		f.add(zone, cheap)
	}
	return actions
}

// shrink drains one server once demand has been low for a time.
func (s *Scaler) shrink(now time.Time, f fleet, down need) []Action {
	name := f.model.Name
	since, ok := s.low[name]
	if !ok {
		s.low[name] = now
		return nil
	}
	if now.Sub(since) < max(s.policy.LowTime, f.model.StartTime) {
		return nil
	}
	victim, ok := f.victim(f.firm() > down.firm)
	if !ok {
		return nil
	}
	return []Action{{Kind: Drain, Model: name, Server: victim}}
}

// returns gives back what is drained and idle, and drains what a zone that
// stays out still holds.
func (s *Scaler) returns(now time.Time, f fleet, o Observation) []Action {
	var actions []Action
	for _, server := range f.servers {
		since, draining := o.Draining[server.Name]
		if !draining {
			if s.held(now, server.Zone) {
				actions = append(actions, Action{Kind: Drain, Model: f.model.Name, Server: server.Name})
			}
			continue
		}
		busy, known := o.Busy[server.Name]
		if known && busy == 0 && now.Sub(since) >= s.policy.DrainTime && !f.returning(server.Name) {
			actions = append(actions, Action{Kind: Return, Model: f.model.Name, Server: server.Name})
		}
	}
	return actions
}

// held reports whether a zone has been out for longer than its servers are kept.
func (s *Scaler) held(now time.Time, zone string) bool {
	since, out := s.outAt[zone]
	return out && now.Sub(since) >= s.policy.ZoneHold
}

// cheapZones are the zones in which cheap servers may be ordered now.
func (s *Scaler) cheapZones(now time.Time, o Observation) []string {
	var names []string
	for _, z := range o.Zones {
		at, reclaimed := s.reclaim[z.Name]
		if !z.Out && !s.refusing(now, z.Name) && (!reclaimed || now.Sub(at) >= s.policy.ReclaimHold) {
			names = append(names, z.Name)
		}
	}
	return names
}

// pickZone returns the zone with the fewest servers of the kind, the cheaper
// one of two.
func (s *Scaler) pickZone(now time.Time, f fleet, o Observation, cheap bool) (string, bool) {
	allowed := s.cheapZones(now, o)
	best, found := Zone{}, false
	for _, z := range o.Zones {
		if z.Out || s.refusing(now, z.Name) || cheap && !slices.Contains(allowed, z.Name) {
			continue
		}
		if !found || f.before(z, best, cheap) {
			best, found = z, true
		}
	}
	return best.Name, found
}
