package invariant

import (
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	// stateForced marks a stop that was forced by an operator.
	stateForced = "forced"
	// stateReturn marks an order.sent that returns a backend server.
	stateReturn = "return"
)

// checkGracefulStop reads instance.drains, instance.stopped (Count: requests cut
// off; State "forced" if an operator forced the stop), the ends of requests, and
// order.sent with State "return" and Server. After instance.drains, all requests
// received by the instance end before it stops. A backend server is returned only
// when no attempt is running on it.
func checkGracefulStop(h *history, report reportFunc) {
	draining := make(map[string]bool)
	open := make(map[string]map[string]bool) // requests by instance
	for _, e := range h.events {
		switch e.Kind {
		case timeline.InstanceStarted:
			draining[e.Instance] = false
			open[e.Instance] = nil
		case timeline.InstanceDraining:
			draining[e.Instance] = true
		case timeline.RequestReceived:
			if open[e.Instance] == nil {
				open[e.Instance] = make(map[string]bool)
			}
			open[e.Instance][e.Request] = true
		case timeline.RequestAnswered, timeline.RequestRefused, timeline.RequestFailed:
			delete(open[e.Instance], e.Request)
			if e.Code == result.InstanceDraining && !e.NotRun {
				report(e, "request %q was cut off by the stop of %s", e.Request, e.Instance)
			}
		case timeline.InstanceStopped:
			checkStop(e, draining[e.Instance], len(open[e.Instance]), report)
		case timeline.OrderSent:
			checkReturn(h, e, report)
		}
	}
}

func checkStop(e timeline.Event, drained bool, open int, report reportFunc) {
	if e.State == stateForced {
		return
	}
	if e.Count > 0 {
		report(e, "%s stopped and cancelled %d requests", e.Instance, e.Count)
		return
	}
	if drained && open > 0 {
		report(e, "%s stopped with %d requests open", e.Instance, open)
	}
}

func checkReturn(h *history, order timeline.Event, report reportFunc) {
	if order.State != stateReturn || order.Server == "" {
		return
	}
	for _, a := range h.attempts {
		if a.sent == nil || a.sent.Server != order.Server || !h.definitelyAfter(order.Time, a.sent.Time) {
			continue
		}
		if a.end == nil || h.definitelyAfter(a.end.Time, order.Time) {
			report(order, "backend server %q was returned while attempt %q ran", order.Server, a.id)
		}
	}
}
