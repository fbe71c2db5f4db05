package instance

import (
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

var lifecycleChart = statechart.MustBind(charts.Instance, statechart.Code[struct{}]{
	Actions: []string{"turn_ready", "turn_unready", "refuse_new", "accept_new", "hand_on", "close"},
})

var (
	eventCurrent = lifecycleChart.Event("current")
	eventStale   = lifecycleChart.Event("stale")
	eventDrain   = lifecycleChart.Event("drain")
	eventLagOver = lifecycleChart.Event("lag_over")
	eventIdle    = lifecycleChart.Event("idle")
	eventForced  = lifecycleChart.Event("forced")

	actionTurnReady   = lifecycleChart.Action("turn_ready")
	actionTurnUnready = lifecycleChart.Action("turn_unready")
	actionHandOn      = lifecycleChart.Action("hand_on")
	actionClose       = lifecycleChart.Action("close")
)

// lifecycle is the state machine of the instance. It is safe for concurrent use.
type lifecycle struct {
	mu      sync.Mutex
	machine statechart.Machine[struct{}]
	ready   bool
	handOn  chan struct{} // closed by action hand_on
	closing chan struct{} // closed by action close
}

func newLifecycle(instance string, r timeline.Recorder) *lifecycle {
	return &lifecycle{
		machine: lifecycleChart.Machine(instance, r),
		handOn:  make(chan struct{}),
		closing: make(chan struct{}),
	}
}

// fire applies an event and executes the resulting actions. The chart accepts
// every event in every state, so an error means a fault in the chart; the state
// is then unchanged.
func (l *lifecycle) fire(e statechart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, err := l.machine.Fire(e, struct{}{})
	if err != nil {
		return
	}
	for _, action := range t.Actions {
		l.do(action)
	}
}

func (l *lifecycle) do(a statechart.Action) {
	switch a {
	case actionTurnReady:
		l.ready = true
	case actionTurnUnready:
		l.ready = false
	case actionHandOn:
		closeIfOpen(l.handOn)
	case actionClose:
		l.ready = false
		closeIfOpen(l.closing)
	}
}

func closeIfOpen(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// state returns the name of the state and whether the instance is ready.
func (l *lifecycle) state() (name string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.StateName(), l.ready
}
