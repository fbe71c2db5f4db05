package statechart

import (
	"fmt"
	"slices"
)

// State is the index of a state in its chart. Zero is the initial state.
type State uint8

// Event is the index of an event in its chart.
type Event uint8

// Action is the index of an action in its chart.
type Action uint8

// Code is what a package supplies to a chart. C holds the facts that guards
// read; guards must not change anything.
type Code[C any] struct {
	// Guards are the conditions that the chart names.
	Guards map[string]func(C) bool
	// Actions are the names of the actions that the package carries out.
	Actions []string
}

// Definition is a chart that is tied to code. It is immutable and safe for
// concurrent use.
type Definition[C any] struct {
	name                    string
	states, events, actions []string
	cells                   [][]cell[C] // by state, then event
}

// cell is the reaction of one state to one event.
type cell[C any] struct {
	rejected bool
	branches []branch[C] // tried in order; none means ignored
}

type branch[C any] struct {
	guard   func(C) bool // nil means always
	to      State
	stays   bool
	actions []Action
}

// Bind ties the chart to code. It refuses guards and actions that only one of
// the two sides knows.
func Bind[C any](c *Chart, code Code[C]) (*Definition[C], error) {
	if err := agree(c, code); err != nil {
		return nil, err
	}
	d := &Definition[C]{name: c.file.Name, events: declared(c.file.Events), actions: declared(c.file.Actions)}
	states := slices.Clone(c.file.States)
	initial := slices.IndexFunc(states, func(s state) bool { return s.Name == c.file.Initial })
	states[0], states[initial] = states[initial], states[0]
	d.states = declared(stateDeclarations(states))
	for _, s := range states {
		d.cells = append(d.cells, d.row(s, code))
	}
	return d, nil
}

// MustBind is like Bind but panics when chart and code disagree. It is for
// package variables.
func MustBind[C any](c *Chart, code Code[C]) *Definition[C] {
	d, err := Bind(c, code)
	if err != nil {
		panic(err)
	}
	return d
}

func agree[C any](c *Chart, code Code[C]) error {
	guards, actions := declared(c.file.Guards), declared(c.file.Actions)
	for name := range code.Guards {
		if !slices.Contains(guards, name) {
			return fmt.Errorf("chart %q has no guard %q", c.file.Name, name)
		}
	}
	for _, name := range guards {
		if code.Guards[name] == nil {
			return fmt.Errorf("code of chart %q has no guard %q", c.file.Name, name)
		}
	}
	for _, name := range code.Actions {
		if !slices.Contains(actions, name) {
			return fmt.Errorf("chart %q has no action %q", c.file.Name, name)
		}
	}
	for _, name := range actions {
		if !slices.Contains(code.Actions, name) {
			return fmt.Errorf("code of chart %q has no action %q", c.file.Name, name)
		}
	}
	return nil
}

func declared(list []declaration) []string {
	names := make([]string, 0, len(list))
	for _, d := range list {
		names = append(names, d.Name)
	}
	return names
}

func (d *Definition[C]) row(s state, code Code[C]) []cell[C] {
	row := make([]cell[C], len(d.events))
	for _, name := range s.Reject {
		row[d.Event(name)].rejected = true
	}
	for _, t := range s.On {
		b := branch[C]{guard: code.Guards[t.If], stays: t.To == ""}
		if !b.stays {
			b.to = d.State(t.To)
		}
		for _, name := range t.Do {
			b.actions = append(b.actions, d.Action(name))
		}
		at := &row[d.Event(t.Event)]
		at.branches = append(at.branches, b)
	}
	return row
}

// State returns the state with the name. It panics when the chart has none.
func (d *Definition[C]) State(name string) State { return State(d.index("state", d.states, name)) }

// Event returns the event with the name. It panics when the chart has none.
func (d *Definition[C]) Event(name string) Event { return Event(d.index("event", d.events, name)) }

// Action returns the action with the name. It panics when the chart has none.
func (d *Definition[C]) Action(name string) Action {
	return Action(d.index("action", d.actions, name))
}

func (d *Definition[C]) index(kind string, list []string, name string) int {
	i := slices.Index(list, name)
	if i < 0 {
		panic(fmt.Sprintf("chart %q has no %s %q", d.name, kind, name))
	}
	return i
}

// Name returns the chart's name.
func (d *Definition[C]) Name() string { return d.name }

// StateName returns the name of a state, empty for one that does not exist.
func (d *Definition[C]) StateName(s State) string { return nameAt(d.states, int(s)) }

// EventName returns the name of an event, empty for one that does not exist.
func (d *Definition[C]) EventName(e Event) string { return nameAt(d.events, int(e)) }

// ActionName returns the name of an action, empty for one that does not exist.
func (d *Definition[C]) ActionName(a Action) string { return nameAt(d.actions, int(a)) }

func nameAt(list []string, i int) string {
	if i >= len(list) {
		return ""
	}
	return list[i]
}
