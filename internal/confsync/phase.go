package confsync

import (
	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// guardFacts are the inputs of the guards of the configuration chart.
type guardFacts struct {
	higher       bool // the version in force increased
	highestKnown bool // no proof has a version above the one in force
}

var phaseChart = statechart.MustBind(charts.Configuration, statechart.Code[guardFacts]{
	Guards: map[string]func(guardFacts) bool{
		"higher":        func(f guardFacts) bool { return f.higher },
		"highest_known": func(f guardFacts) bool { return f.highestKnown },
	},
	Actions: []string{"put_in_force", "fetch", "stop_new_work", "resume_work"},
})

var (
	eventSnapshot    = phaseChart.Event("snapshot")
	eventNewerSeen   = phaseChart.Event("newer_seen")
	eventConfirmed   = phaseChart.Event("confirmed")
	eventUnconfirmed = phaseChart.Event("unconfirmed")

	actionFetch       = phaseChart.Action("fetch")
	actionStopNewWork = phaseChart.Action("stop_new_work")
	actionResumeWork  = phaseChart.Action("resume_work")
)

// fire sends an event to the chart and runs the actions of the transition. The
// snapshot was already replaced before the event, and Fresh depends on the
// proofs alone; the chart decides about everything else. The caller holds mu.
func (s *Store) fire(e statechart.Event, higher bool) {
	t, err := s.phase.Fire(e, guardFacts{higher: higher, highestKnown: s.aheadProof.version <= s.inForce()})
	if err != nil {
		s.options.Logger.Error("configuration chart rejected an event", "error", err)
		return
	}
	for _, action := range t.Actions {
		s.runAction(action)
	}
}

func (s *Store) runAction(a statechart.Action) {
	switch a {
	case actionFetch:
		s.requestPoll()
	case actionStopNewWork:
		s.options.Recorder.Record(timeline.Event{
			Time: s.options.Now(), Kind: timeline.InstanceStale, Version: s.inForce(),
		})
		s.options.Logger.Warn("configuration may be out of date; rejecting new work", "version", s.inForce())
	case actionResumeWork:
		s.options.Logger.Info("configuration is up to date; accepting new work", "version", s.inForce())
	}
}
