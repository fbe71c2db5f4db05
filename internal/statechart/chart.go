// Package statechart interprets state charts that are written in YAML files.
//
// A chart declares its events, guards, actions and states. Load parses and checks a
// chart. Bind connects its guards and actions to Go code and resolves every name to
// an index, so that firing an event does not allocate:
//
//	var chart = statechart.MustBind(charts.Lease, statechart.Code[facts]{
//		Guards:  map[string]func(facts) bool{"time_left": facts.timeLeft},
//		Actions: []string{"stop_duty"},
//	})
//
//	var (
//		renewed  = chart.Event("renewed")
//		held     = chart.State("held")
//		stopDuty = chart.Action("stop_duty")
//	)
//
//	m := chart.Machine(dutyName, recorder)
//	t, err := m.Fire(renewed, facts{...})
//	for _, action := range t.Actions { ... }
//	if m.State() == held { ... }
//
// Definition.Next computes one transition as a pure function of state, event and
// facts. Machine.Fire also holds the current state and records
// timeline.StateEntered for every transition with a next state.
package statechart

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// maxNames bounds the states, events and actions of one chart, because their indices
// are stored in one byte.
const maxNames = 255

// Chart is a checked chart that is not bound to code yet. It is immutable and safe for
// concurrent use.
type Chart struct{ file file }

// Load decodes and checks a chart. If the chart has faults, it returns a
// *yamlfault.FaultsError that lists all of them: undeclared names, names that are
// declared but not used, unreachable states, states that cannot reach a final state,
// ambiguous transitions, and events that a state neither handles nor ignores nor
// rejects.
func Load(fileName string, text []byte) (*Chart, error) {
	c := new(Chart)
	doc := yamlfault.Decode(fileName, text, &c.file)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	newChecker(doc, &c.file).run()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// MustLoad is like Load but panics if the chart has faults. It is meant for embedded
// charts.
func MustLoad(fileName string, text []byte) *Chart {
	c, err := Load(fileName, text)
	if err != nil {
		panic(fmt.Sprintf("load state chart: %v", err))
	}
	return c
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.file.Name }

// States returns the names of the states in the order of their declaration.
func (c *Chart) States() []string { return declaredNames(stateDeclarations(c.file.States)) }

// Events returns the names of the events in the order of their declaration.
func (c *Chart) Events() []string { return declaredNames(c.file.Events) }

// Guards returns the names of the guards in the order of their declaration.
func (c *Chart) Guards() []string { return declaredNames(c.file.Guards) }

// Actions returns the names of the actions in the order of their declaration.
func (c *Chart) Actions() []string { return declaredNames(c.file.Actions) }
