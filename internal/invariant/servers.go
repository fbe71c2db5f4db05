package invariant

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// coldServer is the limit and load of one backend server at the current event.
type coldServer struct {
	limit        int64 // 0 means none
	since        time.Time
	loweredInUse bool // the server was in use when its limit was lowered
	used         bool
	inFlight     map[string]string // attempt id to instance
	limits       map[string]int64  // by recording instance
	process      string            // process of the backend server; empty if it records no events
}

// checkColdLimit reads server.limit (Count: maximum requests in flight on the
// backend server; 0 if warm) and backend.received (Count: now in flight). A backend
// server that records both is checked against its own limit. For any other, the
// check counts attempt.sent minus attempt.answered, attempt.failed,
// attempt.declined and attempt.discarded over all instances, and compares it with
// the highest limit that an instance has recorded. A backend server that was in
// use when it turned cold is checked after ColdGracePeriod.
func checkColdLimit(h *history, report reportFunc) {
	servers := make(map[string]*coldServer)
	processes := make(map[string]string)
	for _, e := range h.events {
		if e.Kind == timeline.BackendReceived {
			processes[e.Server] = e.Instance
		}
	}
	for _, e := range h.events {
		if e.Kind == timeline.InstanceStopped || e.Kind == timeline.InstanceStarted {
			removeInstance(servers, e.Instance)
		}
		if e.Server == "" {
			continue
		}
		s, ok := servers[e.Server]
		if !ok {
			s = &coldServer{process: processes[e.Server], inFlight: make(map[string]string), limits: make(map[string]int64)}
			servers[e.Server] = s
		}
		s.add(h, e, report)
	}
}

func removeInstance(servers map[string]*coldServer, instance string) {
	for _, s := range servers {
		for attempt, owner := range s.inFlight {
			if owner == instance {
				delete(s.inFlight, attempt)
			}
		}
	}
}

func (s *coldServer) add(h *history, e timeline.Event, report reportFunc) {
	switch e.Kind {
	case timeline.ServerLimit:
		s.setLimit(e)
	case timeline.BackendReceived:
		s.used = true
		s.checkInFlight(h, e, e.Count, report)
	case timeline.AttemptSent:
		s.used = true
		s.inFlight[e.Attempt] = e.Instance
		if s.process == "" {
			s.checkInFlight(h, e, int64(len(s.inFlight)), report)
		}
	case timeline.AttemptAnswered, timeline.AttemptFailed, timeline.AttemptDeclined, timeline.AttemptDiscarded:
		delete(s.inFlight, e.Attempt)
	}
}

func (s *coldServer) setLimit(e timeline.Event) {
	if s.process != "" && s.process != e.Instance {
		return
	}
	s.limits[e.Instance] = e.Count
	limit := highestLimit(s.limits)
	lowered := limit > 0 && (s.limit == 0 || limit < s.limit)
	s.loweredInUse = lowered && s.used
	s.limit = limit
	s.since = e.Time
}

// highestLimit returns the highest limit. It returns 0 (no limit) if an instance
// has recorded that the backend server is warm.
func highestLimit(limits map[string]int64) int64 {
	highest := int64(0)
	for _, limit := range limits {
		if limit == 0 {
			return 0
		}
		highest = max(highest, limit)
	}
	return highest
}

func (s *coldServer) checkInFlight(h *history, e timeline.Event, inFlight int64, report reportFunc) {
	if s.limit == 0 || inFlight <= s.limit {
		return
	}
	if s.loweredInUse && !h.definitelyAfter(e.Time, s.since.Add(h.ColdGracePeriod)) {
		return
	}
	report(e, "backend server %q has a limit of %d requests and %d in flight", e.Server, s.limit, inFlight)
}

// zoneDrain is the drain state of one availability zone.
type zoneDrain struct {
	since   time.Time // zero if the zone is in service
	version uint64
}

// checkZoneOut reads zone.out and zone.in (Zone, Version), attempt.sent (Zone)
// and config.applied. An instance may apply the version that returns a zone to
// service before the committing instance records zone.in.
func checkZoneOut(h *history, report reportFunc) {
	zones := make(map[string]*zoneDrain)
	returns := zoneReturns(h)
	applied := make(map[string]uint64)
	for _, e := range h.events {
		switch e.Kind {
		case timeline.ConfigApplied:
			applied[e.Instance] = e.Version
		case timeline.ZoneDrained, timeline.ZoneRestored:
			applyZoneChange(zones, e)
		case timeline.AttemptSent:
			o, ok := zones[e.Zone]
			if !ok || o.since.IsZero() {
				continue
			}
			if back := returns[e.Zone]; back > o.version && applied[e.Instance] >= back {
				continue
			}
			if h.definitelyAfter(e.Time, o.since.Add(h.ZoneBound)) {
				report(e, "attempt %q was sent to zone %q, which has been drained for %v", e.Attempt, e.Zone, e.Time.Sub(o.since))
			}
		}
	}
}

// zoneReturns returns the newest version that returned each zone to service.
func zoneReturns(h *history) map[string]uint64 {
	returns := make(map[string]uint64)
	for _, e := range h.events {
		if e.Kind == timeline.ZoneRestored {
			returns[e.Zone] = max(returns[e.Zone], e.Version)
		}
	}
	return returns
}

// applyZoneChange applies a zone event. Older versions are ignored.
func applyZoneChange(zones map[string]*zoneDrain, e timeline.Event) {
	o, ok := zones[e.Zone]
	if !ok {
		o = &zoneDrain{}
		zones[e.Zone] = o
	}
	if e.Version < o.version {
		return
	}
	o.version = e.Version
	if e.Kind == timeline.ZoneRestored {
		o.since = time.Time{}
		return
	}
	if o.since.IsZero() {
		o.since = e.Time
	}
}

// States of a backend server that the checks read.
const (
	stateStarting = "starting"
	stateLeaving  = "leaving"
	stateDraining = "draining"
	stateGone     = "gone"
)

// departure records which process first recorded that a backend server is leaving,
// and when.
type departure struct {
	instance string
	since    time.Time
}

// checkLeavingServer reads server.state (Server, State) and attempt.sent. A
// departure ends when the process that recorded it records another state, or
// when any process records a new start.
func checkLeavingServer(h *history, report reportFunc) {
	leaving := make(map[string]departure)
	for _, e := range h.events {
		switch e.Kind {
		case timeline.ServerState:
			applyServerState(leaving, e)
		case timeline.AttemptSent:
			d, ok := leaving[e.Server]
			if ok && h.definitelyAfter(e.Time, d.since.Add(h.LeavingBound)) {
				report(e, "attempt %q was sent to backend server %q, which has been leaving for %v", e.Attempt, e.Server, e.Time.Sub(d.since))
			}
		}
	}
}

func applyServerState(leaving map[string]departure, e timeline.Event) {
	d, known := leaving[e.Server]
	switch e.State {
	case stateLeaving, stateDraining, stateGone:
		if !known {
			leaving[e.Server] = departure{e.Instance, e.Time}
		}
	case stateStarting:
		delete(leaving, e.Server)
	default:
		if known && d.instance == e.Instance {
			delete(leaving, e.Server)
		}
	}
}
