package routing

import (
	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
)

// rampFacts are what the guards of the server chart read.
type rampFacts struct{ cold, warm, total int }

func (f rampFacts) fullStep() bool { return 2*f.total >= f.warm }

func (f rampFacts) aboveCold() bool { return f.total/2 > f.cold }

var rampChart = statechart.MustBind(charts.Server, statechart.Code[rampFacts]{
	Guards: map[string]func(rampFacts) bool{
		"full_step":  rampFacts.fullStep,
		"above_cold": rampFacts.aboveCold,
	},
	Actions: []string{"reset_load", "raise_load", "halve_load", "fill_load"},
})

var (
	eventRestarted    = rampChart.Event("restarted")
	eventReportedCold = rampChart.Event("reported_cold")
	eventReportedWarm = rampChart.Event("reported_warm")
	eventStepPassed   = rampChart.Event("step_passed")
	eventFailed       = rampChart.Event("failed")
	eventGone         = rampChart.Event("gone")

	actionResetLoad = rampChart.Action("reset_load")
	actionRaiseLoad = rampChart.Action("raise_load")
	actionHalveLoad = rampChart.Action("halve_load")
	actionFillLoad  = rampChart.Action("fill_load")

	stateCold = rampChart.State("cold")
	stateWarm = rampChart.State("warm")
)

// fire moves the ramp on and carries out the chart's actions. The chart rejects
// no event.
func (r *Ramp) fire(e statechart.Event) {
	t, err := rampChart.Next(r.state, e, rampFacts{cold: r.cold, warm: r.warm, total: r.total})
	if err != nil {
		return
	}
	r.state = t.To
	for _, a := range t.Actions {
		r.do(a)
	}
}

func (r *Ramp) do(a statechart.Action) {
	switch a {
	case actionResetLoad:
		r.total = r.cold
	case actionRaiseLoad:
		r.total = min(2*r.total, r.warm)
	case actionHalveLoad:
		r.total /= 2
	case actionFillLoad:
		r.total = r.warm
	}
}
