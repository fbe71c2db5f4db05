// Package statechart interprets state charts that are written in YAML files.
//
// A chart declares its events, guards, actions and states. Load checks it on
// its own; Bind ties its guards and actions to code and resolves every name to
// an index, so that firing an event allocates nothing:
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
// Definition.Next is the same step as a pure function of state, event and
// facts. Machine.Fire keeps the state and records timeline.StateEntered for
// every transition that names a next state.
package statechart

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// maxNames bounds the states, events and actions of one chart: their indices
// fit into one byte.
const maxNames = 255

// Chart is a checked chart that is not tied to code yet.
type Chart struct{ file file }

// Load decodes and checks a chart. It returns a *yamlfault.FaultsError that
// lists every fault: unknown names, names that are declared and not used,
// unreachable states, states that reach no final state, ambiguous transitions,
// and events that a state neither handles nor ignores nor rejects.
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

// MustLoad is like Load but panics on a fault. It is for embedded charts.
func MustLoad(fileName string, text []byte) *Chart {
	c, err := Load(fileName, text)
	if err != nil {
		panic(fmt.Sprintf("load state chart: %v", err))
	}
	return c
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.file.Name }

// States returns the names of the states in the order of the file.
func (c *Chart) States() []string { return declared(stateDeclarations(c.file.States)) }

// Events returns the names of the events in the order of the file.
func (c *Chart) Events() []string { return declared(c.file.Events) }

// Guards returns the names of the guards in the order of the file.
func (c *Chart) Guards() []string { return declared(c.file.Guards) }

// Actions returns the names of the actions in the order of the file.
func (c *Chart) Actions() []string { return declared(c.file.Actions) }
