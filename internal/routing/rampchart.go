package routing

import (
	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
)

// rampFacts are the inputs of the guards of the server chart.
type rampFacts struct{ cold, warm, limit int }

func (f rampFacts) fullStep() bool { return 2*f.limit >= f.warm }

func (f rampFacts) aboveCold() bool { return f.limit/2 > f.cold }

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

// fire advances the state machine and executes the transition's actions. The
// chart accepts every event in every state.
func (r *Ramp) fire(e statechart.Event) {
	t, err := rampChart.Next(r.state, e, rampFacts{cold: r.cold, warm: r.warm, limit: r.limit})
	if err != nil {
		return
	}
	r.state = t.To
	for _, a := range t.Actions {
		r.apply(a)
	}
}

func (r *Ramp) apply(a statechart.Action) {
	switch a {
	case actionResetLoad:
		r.limit = r.cold
	case actionRaiseLoad:
		r.limit = min(2*r.limit, r.warm)
	case actionHalveLoad:
		r.limit /= 2
	case actionFillLoad:
		r.limit = r.warm
	}
}
