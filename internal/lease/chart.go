package lease

import (
	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// noFacts is what the guards of the chart see: it has none.
type noFacts struct{}

var chart = statechart.MustBind(charts.Lease, statechart.Code[noFacts]{
	Actions: []string{"take_over", "read_back", "start_duty", "stop_duty", "clear_row"},
})

var (
	eventWanted     = chart.Event("wanted")
	eventUnwanted   = chart.Event("unwanted")
	eventVacant     = chart.Event("vacant")
	eventAcquired   = chart.Event("acquired")
	eventTaken      = chart.Event("taken")
	eventRenewed    = chart.Event("renewed")
	eventUnanswered = chart.Event("unanswered")
	eventExpired    = chart.Event("expired")
	eventReleased   = chart.Event("released")

	stateWaiting   = chart.State("waiting")
	stateAcquiring = chart.State("acquiring")

	actionTakeOver  = chart.Action("take_over")
	actionStartDuty = chart.Action("start_duty")
	actionClearRow  = chart.Action("clear_row")
)

// eventSink keeps what the machines record until the Manager records it.
type eventSink struct{ c *core }

// Record implements timeline.Recorder.
func (s eventSink) Record(e timeline.Event) { s.c.events = append(s.c.events, e) }

// machines returns one machine per duty.
func (c *core) newMachines() map[string]*statechart.Machine[noFacts] {
	machines := make(map[string]*statechart.Machine[noFacts], len(c.duties))
	for _, duty := range c.duties {
		m := chart.Machine(duty, eventSink{c})
		machines[duty] = &m
	}
	return machines
}

// state returns a duty's state.
func (c *core) state(duty string) statechart.State { return c.machines[duty].State() }

// fire moves a duty's machine on and returns the actions to carry out. A
// rejected event is a fault of this package and is kept for the log.
func (c *core) fire(duty string, e statechart.Event) []statechart.Action {
	t, err := c.machines[duty].Fire(e, noFacts{})
	if err != nil {
		c.faults = append(c.faults, err)
	}
	return t.Actions
}
