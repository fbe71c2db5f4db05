package order

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// refusalBackoff is how long no start is ordered in a zone after the platform has
// rejected one there.
const refusalBackoff = time.Minute

// Scaler decides on starts, drains and returns. It does no I/O and receives the time from
// its caller. It is not safe for concurrent use.
type Scaler struct {
	policy      Policy
	trends      map[string]trend
	lowSince    map[string]time.Time // by model: since when it has had more servers than it needs
	drainedAt   map[string]time.Time // by zone: when it was first seen drained
	reclaimedAt map[string]time.Time // by zone: when a preemptible server was last reclaimed
	refusedAt   map[string]time.Time // by zone: when the platform last rejected a start
}

// NewScaler returns a Scaler without any history.
func NewScaler(p Policy) *Scaler {
	return &Scaler{
		policy:      p.withDefaults(),
		trends:      make(map[string]trend),
		lowSince:    make(map[string]time.Time),
		drainedAt:   make(map[string]time.Time),
		reclaimedAt: make(map[string]time.Time),
		refusedAt:   make(map[string]time.Time),
	}
}

// RecordRefusal records that the platform rejected a start in a zone.
func (s *Scaler) RecordRefusal(now time.Time, zone string) { s.refusedAt[zone] = now }

// inRefusalBackoff reports whether a zone is in backoff after a rejected start.
func (s *Scaler) inRefusalBackoff(now time.Time, zone string) bool {
	at, ok := s.refusedAt[zone]
	return ok && now.Sub(at) < refusalBackoff
}

// Decide returns the actions for an observation.
func (s *Scaler) Decide(now time.Time, o Observation) []Action {
	s.recordZones(now, o)
	starts := s.remainingStarts(o)
	var actions []Action
	for _, m := range o.Models {
		if m.MaxServers == 0 {
			continue
		}
		f := newFleet(m, o)
		actions = append(actions, s.returnServers(now, f, o)...)
		actions = append(actions, s.scaleModel(now, f, o, &starts)...)
	}
	return actions
}

// recordZones records drained zones and zones in which preemptible servers are reclaimed.
func (s *Scaler) recordZones(now time.Time, o Observation) {
	for _, z := range o.Zones {
		if !z.Drained {
			delete(s.drainedAt, z.Name)
			continue
		}
		if _, ok := s.drainedAt[z.Name]; !ok {
			s.drainedAt[z.Name] = now
		}
	}
	for _, server := range o.Servers {
		if server.Preemptible && server.State == platform.ServerDraining {
			s.reclaimedAt[server.Zone] = now
		}
	}
}

// remainingStarts returns how many more servers may load weights now.
func (s *Scaler) remainingStarts(o Observation) int {
	left := s.policy.MaxConcurrentStarts
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

// scaleModel compares the servers of a model with its need.
func (s *Scaler) scaleModel(now time.Time, f fleet, o Observation, starts *int) []Action {
	m := f.model
	d := demandOf(m, s.policy.TargetAttainment)
	t := s.trends[m.Name].update(now, d.total, m.StartTime)
	s.trends[m.Name] = t
	expected := d
	if d.total > 0 {
		expected = d.scale((d.total + t.expectedGrowth(m.StartTime)) / d.total)
	}
	zones := s.preemptibleZones(now, o)
	up := needFor(m, expected, s.policy.Utilization, len(zones))
	if f.total() < up.total() || f.standard() < up.standard {
		delete(s.lowSince, m.Name)
		return s.scaleUp(now, f, o, up, starts)
	}
	down := needFor(m, expected, s.policy.LowUtilization, len(zones))
	down = down.withStandard(up.standard)
	if f.total() <= max(down.total(), up.total()) {
		delete(s.lowSince, m.Name)
		return nil
	}
	return s.scaleDown(now, f, down)
}

// scaleUp undrains servers, and starts others if that is not enough.
func (s *Scaler) scaleUp(now time.Time, f fleet, o Observation, up need, starts *int) []Action {
	var actions []Action
	for f.standard() < up.standard || f.total() < up.total() {
		preemptible := f.standard() >= up.standard
		if server, ok := f.undrainCandidate(preemptible); ok {
			actions = append(actions, Action{Kind: Undrain, Model: f.model.Name, Server: server})
			f.undrain(server)
			continue
		}
		if *starts <= 0 || f.total() >= f.model.MaxServers {
			return actions
		}
		zone, ok := s.pickZone(now, f, o, preemptible)
		if !ok {
			return actions
		}
		*starts--
		actions = append(actions, Action{Kind: Start, Model: f.model.Name, Zone: zone, Preemptible: preemptible})
		f.add(zone, preemptible)
	}
	return actions
}

// scaleDown drains one server once demand has been low for both the policy's delay and
// the start time of a server.
func (s *Scaler) scaleDown(now time.Time, f fleet, down need) []Action {
	name := f.model.Name
	since, ok := s.lowSince[name]
	if !ok {
		s.lowSince[name] = now
		return nil
	}
	if now.Sub(since) < max(s.policy.ScaleDownDelay, f.model.StartTime) {
		return nil
	}
	server, ok := f.drainCandidate(f.standard() > down.standard)
	if !ok {
		return nil
	}
	return []Action{{Kind: Drain, Model: name, Server: server}}
}

// returnServers returns idle servers that have been drained, and drains the servers of
// zones that have been drained for longer than ZoneRetention.
func (s *Scaler) returnServers(now time.Time, f fleet, o Observation) []Action {
	var actions []Action
	for _, server := range f.servers {
		since, draining := o.Draining[server.Name]
		if !draining {
			if s.retentionExpired(now, server.Zone) {
				actions = append(actions, Action{Kind: Drain, Model: f.model.Name, Server: server.Name})
			}
			continue
		}
		busy, known := o.Busy[server.Name]
		if known && busy == 0 && now.Sub(since) >= s.policy.MinDrainTime && !f.returning(server.Name) {
			actions = append(actions, Action{Kind: Return, Model: f.model.Name, Server: server.Name})
		}
	}
	return actions
}

// retentionExpired reports whether a zone has been drained for at least ZoneRetention.
func (s *Scaler) retentionExpired(now time.Time, zone string) bool {
	since, drained := s.drainedAt[zone]
	return drained && now.Sub(since) >= s.policy.ZoneRetention
}

// preemptibleZones returns the zones in which preemptible servers may be started now.
func (s *Scaler) preemptibleZones(now time.Time, o Observation) []string {
	var names []string
	for _, z := range o.Zones {
		at, reclaimed := s.reclaimedAt[z.Name]
		if !z.Drained && !s.inRefusalBackoff(now, z.Name) && (!reclaimed || now.Sub(at) >= s.policy.ReclaimBackoff) {
			names = append(names, z.Name)
		}
	}
	return names
}

// pickZone returns the zone with the fewest servers of the kind; among equals, the one
// with the lowest price.
func (s *Scaler) pickZone(now time.Time, f fleet, o Observation, preemptible bool) (string, bool) {
	allowed := s.preemptibleZones(now, o)
	best, found := Zone{}, false
	for _, z := range o.Zones {
		if z.Drained || s.inRefusalBackoff(now, z.Name) || preemptible && !slices.Contains(allowed, z.Name) {
			continue
		}
		if !found || f.prefersZone(z, best, preemptible) {
			best, found = z, true
		}
	}
	return best.Name, found
}
