package usage

import (
	"errors"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
)

// noFacts is the input of the chart's guards. The chart has none.
type noFacts struct{}

var chart = statechart.MustBind(charts.UsageWindow, statechart.Code[noFacts]{
	Actions: []string{"freeze", "read_back", "report", "mark_done"},
})

var (
	eventEnded      = chart.Event("ended")
	eventFrozen     = chart.Event("frozen")
	eventUnanswered = chart.Event("unanswered")
	eventReported   = chart.Event("reported")
	eventStale      = chart.Event("stale")
	eventLeaseLost  = chart.Event("lease_lost")

	stateReporting = chart.State("reporting")
	stateReported  = chart.State("reported")
	stateHandedOn  = chart.State("handed_on")

	actionFreeze   = chart.Action("freeze")
	actionReport   = chart.Action("report")
	actionMarkDone = chart.Action("mark_done")
)

// windowMachines holds the state machines of the windows that a closer works on.
type windowMachines struct {
	options Options
	byName  map[string]*statechart.Machine[noFacts]
}

func newWindowMachines(o Options) windowMachines {
	return windowMachines{options: o, byName: make(map[string]*statechart.Machine[noFacts])}
}

// fire sends an event to a window's machine and reports whether the action want is to be
// executed. A window in a final state is dropped; its rows hold all that is needed.
func (w *windowMachines) fire(window string, e statechart.Event, want statechart.Action) bool {
	m := w.byName[window]
	if m == nil {
		machine := chart.Machine(window, w.options.Recorder)
		m = &machine
		w.byName[window] = m
	}
	t, err := m.Fire(e, noFacts{})
	if err != nil {
		w.options.Logger.Error("state machine of a usage window rejected an event", "error", err)
		return false
	}
	if t.To == stateReported || t.To == stateHandedOn {
		delete(w.byName, window)
	}
	return slices.Contains(t.Actions, want)
}

// startReport moves the machine of a frozen window to the reporting state, whichever
// holder froze it. It reports whether the window may be reported.
func (w *windowMachines) startReport(window string) bool {
	if m := w.byName[window]; m != nil && m.State() == stateReporting {
		return true
	}
	w.fire(window, eventEnded, actionFreeze)
	return w.fire(window, eventFrozen, actionReport)
}

// fail records the error of a call for a window.
func (w *windowMachines) fail(window string, err error) {
	var conflict *platform.ConflictError
	var stale *platform.StaleTokenError
	if errors.As(err, &conflict) || errors.As(err, &stale) {
		w.fire(window, eventStale, actionReport)
		return
	}
	w.fire(window, eventUnanswered, actionReport)
}

// loseAll ends the work on all windows because the tenure has ended.
func (w *windowMachines) loseAll() {
	for window := range w.byName {
		w.fire(window, eventLeaseLost, actionReport)
	}
}
