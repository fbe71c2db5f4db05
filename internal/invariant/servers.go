package invariant

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// coldServer is what the time line has shown about one backend server's limit.
type coldServer struct {
	limit    int64 // 0: none
	since    time.Time
	surprise bool // it was in use before the limit fell
	used     bool
	inFlight map[string]string // attempt id to instance
	reports  bool              // backend.received tells the true number in flight
}

// checkColdLimit reads server.limit (Count: requests that the backend server
// bears; 0 when warm) and backend.received (Count: now in flight). Without the
// latter it counts attempt.sent less attempt.answered, attempt.failed and
// attempt.discarded over all instances. A backend server that was in use and
// turns cold is judged after ColdNotice.
func checkColdLimit(h *history, report reportFunc) {
	servers := make(map[string]*coldServer)
	for _, e := range h.events {
		if e.Kind == timeline.InstanceStopped || e.Kind == timeline.InstanceStarted {
			forgetInstance(servers, e.Instance)
		}
		if e.Server == "" {
			continue
		}
		s, ok := servers[e.Server]
		if !ok {
			s = &coldServer{inFlight: make(map[string]string)}
			servers[e.Server] = s
		}
		s.add(h, e, report)
	}
}

func forgetInstance(servers map[string]*coldServer, instance string) {
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
		lowered := e.Count > 0 && (s.limit == 0 || e.Count < s.limit)
		s.surprise = lowered && s.used
		s.limit = e.Count
		s.since = e.Time
	case timeline.BackendReceived:
		s.used = true
		s.reports = true
		s.judge(h, e, e.Count, report)
	case timeline.AttemptSent:
		s.used = true
		s.inFlight[e.Attempt] = e.Instance
		if !s.reports {
			s.judge(h, e, int64(len(s.inFlight)), report)
		}
	case timeline.AttemptAnswered, timeline.AttemptFailed, timeline.AttemptDiscarded:
		delete(s.inFlight, e.Attempt)
	}
}

func (s *coldServer) judge(h *history, e timeline.Event, inFlight int64, report reportFunc) {
	if s.limit == 0 || inFlight <= s.limit {
		return
	}
	if s.surprise && !h.surelyAfter(e.Time, s.since.Add(h.ColdNotice)) {
		return
	}
	report(e, "backend server %q bears %d requests and has %d", e.Server, s.limit, inFlight)
}

// outage is the time since when an availability zone is out.
type outage struct {
	since   time.Time // zero while the zone is in
	version uint64
}

// checkZoneOut reads zone.out and zone.in (Zone, Version) and attempt.sent (Zone).
func checkZoneOut(h *history, report reportFunc) {
	zones := make(map[string]*outage)
	for _, e := range h.events {
		switch e.Kind {
		case timeline.ZoneOut, timeline.ZoneIn:
			changeZone(zones, e)
		case timeline.AttemptSent:
			o, ok := zones[e.Zone]
			if !ok || o.since.IsZero() {
				continue
			}
			if h.surelyAfter(e.Time, o.since.Add(h.ZoneBound)) {
				report(e, "attempt %q went to zone %q, out for %v", e.Attempt, e.Zone, e.Time.Sub(o.since))
			}
		}
	}
}

// changeZone applies a change; an older version than one seen changes nothing.
func changeZone(zones map[string]*outage, e timeline.Event) {
	o, ok := zones[e.Zone]
	if !ok {
		o = &outage{}
		zones[e.Zone] = o
	}
	if e.Version < o.version {
		return
	}
	o.version = e.Version
	if e.Kind == timeline.ZoneIn {
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

// departure is who first recorded that a backend server leaves, and when.
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
			changeDeparture(leaving, e)
		case timeline.AttemptSent:
			d, ok := leaving[e.Server]
			if ok && h.surelyAfter(e.Time, d.since.Add(h.LeavingBound)) {
				report(e, "attempt %q went to backend server %q, leaving for %v", e.Attempt, e.Server, e.Time.Sub(d.since))
			}
		}
	}
}

func changeDeparture(leaving map[string]departure, e timeline.Event) {
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
