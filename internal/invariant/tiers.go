package invariant

import (
	"math"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const minimumFloor = config.DefaultFloor

// checkTierOrder reads request.shed and request.preempted, which name the other
// tier involved, and request.queued, request.admitted and request.shed of one
// pool (Service) over all instances. Between the time a request was queued and
// the time it was shed, no lower class may have started more than its floor.
func checkTierOrder(h *history, report reportFunc) {
	for _, e := range h.events {
		switch e.Kind {
		case timeline.RequestPreempted:
			checkPreemption(e, report)
		case timeline.RequestShed:
			checkShedVictim(e, report)
			checkShedAcrossInstances(h, e, report)
		}
	}
}

func checkPreemption(e timeline.Event, report reportFunc) {
	if e.OtherTier == 0 {
		report(e, "preemption of request %q names no tier that took the slot", e.Request)
		return
	}
	if e.OtherTier >= e.Tier {
		report(e, "request %q of tier %d was preempted for tier %d", e.Request, e.Tier, e.OtherTier)
	}
}

func checkShedVictim(e timeline.Event, report reportFunc) {
	if e.OtherTier > e.Tier {
		report(e, "request %q of tier %d was shed while tier %d waited", e.Request, e.Tier, e.OtherTier)
	}
}

// checkShedAcrossInstances reports a shed request if a lower class started more
// than its floor on any instances while the request waited.
func checkShedAcrossInstances(h *history, shed timeline.Event, report reportFunc) {
	r, ok := h.requests[shed.Request]
	if !ok || r.queued == nil || shed.Service == "" {
		return
	}
	started := make(map[string]int)
	tiers := make(map[string]int)
	instances := make(map[string]bool)
	starts := h.admittedBetween(shed.Service, r.queued.Time, shed.Time)
	for _, e := range starts {
		started[e.Class]++
		tiers[e.Class] = e.Tier
		instances[e.Instance] = true
	}
	for class, n := range started {
		// Each instance may still owe the class one earlier dispatch.
		allowed := int(math.Ceil(h.floor(class)*float64(len(starts)))) + len(instances)
		if tiers[class] > shed.Tier && n > allowed {
			report(shed, "request %q of tier %d was shed while class %q of tier %d started %d of %d requests",
				shed.Request, shed.Tier, class, tiers[class], n, len(starts))
		}
	}
}

const (
	// starvationSlack is added to the number of classes of a pool, each of which
	// may hold one credit: one further credit, and the missed dispatch.
	starvationSlack = 2
	// minOverloadRefusals is the number of refusals that indicate sustained demand.
	minOverloadRefusals = 3
)

// classInPool is one class that competes for one pool on one instance.
type classInPool struct{ instance, pool, class string }

// demand is the unserved demand of one class since its last dispatch.
type demand struct {
	waiting              map[string]bool // request ids
	bypassed             int             // dispatches of other classes while it waited
	refused              int             // refusals for overload
	bypassedSinceRefusal int             // dispatches of other classes since the first refusal
	reported             bool
}

// checkNoStarvation reads request.queued, request.admitted, request.refused and
// the ends of requests with Class and Service. A class that waits through N
// starts of its pool on an instance gets at least floor*N - (classes+1) of them,
// so at most (classes+starvationSlack)/floor requests of other classes may start
// without one of its own, while it waits or is refused for overload.
func checkNoStarvation(h *history, report reportFunc) {
	demands := make(map[classInPool]*demand)
	keys := make(map[string]classInPool) // by request id
	for _, e := range h.events {
		switch e.Kind {
		case timeline.RequestQueued:
			key := classInPool{e.Instance, e.Service, e.Class}
			keys[e.Request] = key
			demandOf(demands, key).waiting[e.Request] = true
		case timeline.RequestAdmitted:
			key := classInPool{e.Instance, e.Service, e.Class}
			demands[key] = &demand{waiting: removeWaiting(demands[key], e.Request)}
			countBypassed(h, demands, key, e, report)
		case timeline.RequestRefused, timeline.RequestFailed, timeline.RequestAnswered:
			key, ok := keys[e.Request]
			if !ok {
				continue
			}
			d := demandOf(demands, key)
			delete(d.waiting, e.Request)
			if isOverload(e.Code) {
				d.refused++
			}
		}
	}
}

func isOverload(c result.Code) bool {
	return c == result.Shed || c == result.DeadlineHopeless || c == result.QueueTimeout
}

func demandOf(demands map[classInPool]*demand, key classInPool) *demand {
	d, ok := demands[key]
	if !ok {
		d = &demand{waiting: make(map[string]bool)}
		demands[key] = d
	}
	return d
}

// removeWaiting removes a request from the waiting requests of d and returns the rest.
func removeWaiting(d *demand, id string) map[string]bool {
	if d == nil {
		return make(map[string]bool)
	}
	delete(d.waiting, id)
	return d.waiting
}

// countBypassed counts a dispatch for every other class with demand for the pool,
// and reports classes that exceed the starvation limit.
func countBypassed(h *history, demands map[classInPool]*demand, started classInPool, e timeline.Event, report reportFunc) {
	classes := 0
	for key := range demands {
		if key.instance == started.instance && key.pool == started.pool {
			classes++
		}
	}
	for key, d := range demands {
		if key.instance != started.instance || key.pool != started.pool || key.class == started.class {
			continue
		}
		if len(d.waiting) > 0 {
			d.bypassed++
		} else {
			d.bypassed = 0
		}
		if d.refused > 0 {
			d.bypassedSinceRefusal++
		}
		limit := int(math.Ceil(float64(classes+starvationSlack) / h.floor(key.class)))
		starved := d.bypassed > limit || (d.refused >= minOverloadRefusals && d.bypassedSinceRefusal > limit)
		if starved && !d.reported {
			d.reported = true
			report(e, "class %q got none of %d dispatches of pool %q on %s", key.class, max(d.bypassed, d.bypassedSinceRefusal), key.pool, key.instance)
		}
	}
}
