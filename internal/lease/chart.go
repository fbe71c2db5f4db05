package lease

import (
	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// noFacts is the input of the chart's guards. The chart has none.
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

// eventSink buffers the events of the machines until the Manager records them.
type eventSink struct{ c *core }

// Record implements timeline.Recorder.
func (s eventSink) Record(e timeline.Event) { s.c.events = append(s.c.events, e) }

// newMachines returns one state machine per duty.
func (c *core) newMachines() map[string]*statechart.Machine[noFacts] {
	machines := make(map[string]*statechart.Machine[noFacts], len(c.duties))
	for _, duty := range c.duties {
		m := chart.Machine(duty, eventSink{c})
		machines[duty] = &m
	}
	return machines
}

// state returns the state of a duty's machine.
func (c *core) state(duty string) statechart.State { return c.machines[duty].State() }

// fire sends an event to a duty's machine and returns the actions to execute. A rejected
// event is a bug in this package and is kept for the log.
func (c *core) fire(duty string, e statechart.Event) []statechart.Action {
	t, err := c.machines[duty].Fire(e, noFacts{})
	if err != nil {
		c.faults = append(c.faults, err)
	}
	return t.Actions
}
