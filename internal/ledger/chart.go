package ledger

import (
	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
)

// facts is the input of the chart's guards. The chart has no guards.
type facts struct{}

var chart = statechart.MustBind(charts.Record, statechart.Code[facts]{
	Actions: []string{"write_record", "read_back", "store_answer", "store_unknown", "release"},
})

var (
	eventInsert      = chart.Event("insert")
	eventInserted    = chart.Event("inserted")
	eventExists      = chart.Event("exists")
	eventUnanswered  = chart.Event("unanswered")
	eventUnavailable = chart.Event("unavailable")
	eventSent        = chart.Event("sent")
	eventNotRun      = chart.Event("not_run")
	eventAnswered    = chart.Event("answered")
	eventLost        = chart.Event("lost")

	stateInserting = chart.State("inserting")
	stateUncertain = chart.State("uncertain")
	stateOwned     = chart.State("owned")
	stateRefused   = chart.State("refused")
)

// fire fires an event at the record's state machine. An event that the chart
// rejects is a bug in this package; it is logged and the state does not change.
func (o *Owned) fire(e statechart.Event) {
	if _, err := o.machine.Fire(e, facts{}); err != nil {
		o.ledger.options.Logger.Error("idempotency record state machine rejected an event", "error", err)
	}
}

func (o *Owned) is(states ...statechart.State) bool {
	for _, s := range states {
		if o.machine.State() == s {
			return true
		}
	}
	return false
}
