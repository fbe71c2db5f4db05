package entry

import (
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// noFacts says that the request's chart has no guards.
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

// life follows one request through the request chart. It is safe for
// concurrent use: hedged attempts report at the same time.
type life struct {
	mu      sync.Mutex
	machine statechart.Machine[noFacts]
}

func newLife(id string) life {
	return life{machine: requestChart.Machine(id, nil)}
}

func (l *life) fire(e statechart.Event) (statechart.Transition, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Fire(e, noFacts{})
}

// fire moves the request on and carries out the chart's actions. It reports
// false when the chart rejects the event.
func (x *exchange) fire(e statechart.Event) bool {
	t, err := x.life.fire(e)
	if err != nil {
		x.server.o.Logger.Error("event rejected by the request chart", "request", x.id, "error", err)
		return false
	}
	x.recordState(t)
	for _, action := range t.Actions {
		switch action {
		case actionFreeSlot:
			x.ticket.Done()
		case actionMeter:
			x.bill(x.out)
		}
	}
	return true
}

// recordState records the states that have no kind of event of their own.
func (x *exchange) recordState(t statechart.Transition) {
	if !t.Entered || t.To != stateWaiting && t.To != stateRetrying {
		return
	}
	x.server.o.Recorder.Record(timeline.Event{
		Kind: timeline.StateEntered, Chart: requestChart.Name(), Subject: x.id, Request: x.id,
		From: requestChart.StateName(t.From), State: requestChart.StateName(t.To),
	})
}

// end fires the end of a request that is not answered. A claim of not run that
// the chart rejects, because something was sent, is taken back.
func (x *exchange) end(e *result.Error) *result.Error {
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

// progress passes the dispatcher's reports on to the request's chart.
type progress struct{ x *exchange }

// Sent implements dispatch.Progress.
func (p progress) Sent() { p.x.fire(eventSent) }

// Streaming implements dispatch.Progress.
func (p progress) Streaming() { p.x.fire(eventStreaming) }

// AttemptFailed implements dispatch.Progress.
func (p progress) AttemptFailed() { p.x.fire(eventAttemptFailed) }
