package entry

import (
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// noFacts is the guard input of the request chart, which has no guards.
type noFacts struct{}

var requestChart = statechart.MustBind(charts.Request, statechart.Code[noFacts]{
	Actions: []string{"free_slot", "meter"},
})

var (
	eventQueued        = requestChart.Event("queued")
	eventAdmitted      = requestChart.Event("admitted")
	eventDuplicate     = requestChart.Event("duplicate")
	eventRefused       = requestChart.Event("refused")
	eventSent          = requestChart.Event("sent")
	eventStreaming     = requestChart.Event("streaming")
	eventAttemptFailed = requestChart.Event("attempt_failed")
	eventAnswered      = requestChart.Event("answered")
	eventFailed        = requestChart.Event("failed")

	actionFreeSlot = requestChart.Action("free_slot")
	actionMeter    = requestChart.Action("meter")

	stateWaiting  = requestChart.State("waiting")
	stateRetrying = requestChart.State("retrying")
)

// lifecycle is the state machine of one request. It is safe for concurrent use,
// because hedged attempts report concurrently.
type lifecycle struct {
	mu      sync.Mutex
	machine statechart.Machine[noFacts]
}

func newLifecycle(id string) lifecycle {
	return lifecycle{machine: requestChart.Machine(id, nil)}
}

func (l *lifecycle) fire(e statechart.Event) (statechart.Transition, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Fire(e, noFacts{})
}

// fire applies an event to the request's state machine and executes the resulting
// actions. It returns false if the chart rejects the event.
func (x *exchange) fire(e statechart.Event) bool {
	t, err := x.lifecycle.fire(e)
	if err != nil {
		x.server.o.Logger.Error("request chart rejected event; state unchanged", "request", x.id, "error", err)
		return false
	}
	x.recordState(t)
	for _, action := range t.Actions {
		switch action {
		case actionFreeSlot:
			x.ticket.Done()
		case actionMeter:
			x.meterUsage(x.out)
		}
	}
	return true
}

// recordState records entry into states that have no event kind of their own.
func (x *exchange) recordState(t statechart.Transition) {
	if !t.Entered || t.To != stateWaiting && t.To != stateRetrying {
		return
	}
	x.server.o.Recorder.Record(timeline.Event{
		Kind: timeline.StateEntered, Chart: requestChart.Name(), Subject: x.id, Request: x.id,
		From: requestChart.StateName(t.From), State: requestChart.StateName(t.To),
	})
}

// fireEnd fires the final event of a request that is not answered. If the chart
// rejects the refused event because something was sent, the result is replaced by
// one that says "may have run".
func (x *exchange) fireEnd(e *result.Error) *result.Error {
	if !e.NotRun() {
		x.fire(eventFailed)
		return e
	}
	if x.fire(eventRefused) {
		return e
	}
	x.fire(eventFailed)
	return result.MayHaveRun(result.Internal, "%s", e.Message)
}

// progress forwards the dispatcher's reports to the request's state machine.
type progress struct{ x *exchange }

// Sent implements dispatch.Progress.
func (p progress) Sent() { p.x.fire(eventSent) }

// Streaming implements dispatch.Progress.
func (p progress) Streaming() { p.x.fire(eventStreaming) }

// AttemptFailed implements dispatch.Progress.
func (p progress) AttemptFailed() { p.x.fire(eventAttemptFailed) }
