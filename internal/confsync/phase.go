package confsync

import (
	"github.com/hawthornwick/hawthornwick/internal/charts"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// facts are what the guards of the chart of the configuration read.
type facts struct {
	higher       bool // a higher version than before came into force
	highestKnown bool // no proof names a version above the one in force
}

var phaseChart = statechart.MustBind(charts.Configuration, statechart.Code[facts]{
	Guards: map[string]func(facts) bool{
		"higher":        func(f facts) bool { return f.higher },
		"highest_known": func(f facts) bool { return f.highestKnown },
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

// fire moves the chart on and carries out its actions. The snapshot itself was
// replaced before the event, and Fresh follows from the proofs at any moment;
// the chart says what else is due. The caller holds the lock.
func (s *Store) fire(e statechart.Event, higher bool) {
	t, err := s.phase.Fire(e, facts{higher: higher, highestKnown: s.unmet.version <= s.inForce()})
	if err != nil {
		s.options.Logger.Error("chart of the configuration", "error", err)
		return
	}
	for _, action := range t.Actions {
		s.act(action)
	}
}

func (s *Store) act(a statechart.Action) {
	switch a {
	case actionFetch:
		s.requestPoll()
	case actionStopNewWork:
		s.options.Recorder.Record(timeline.Event{
			Time: s.options.Now(), Kind: timeline.InstanceStale, Version: s.inForce(),
		})
		s.options.Logger.Warn("configuration may be old; no new work is taken", "version", s.inForce())
	case actionResumeWork:
		s.options.Logger.Info("configuration is current", "version", s.inForce())
	}
}
