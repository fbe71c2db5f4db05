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

// Code is the Go side of a chart: its guards and the actions that the package
// implements. C is the type of the facts that guards evaluate. Guards must not have
// side effects.
type Code[C any] struct {
	// Guards maps the name of each guard of the chart to its condition.
	Guards map[string]func(C) bool
	// Actions lists the names of the actions that the package executes.
	Actions []string
}

// Definition is a chart that is bound to code. It is immutable and safe for
// concurrent use.
type Definition[C any] struct {
	name                    string
	states, events, actions []string
	cells                   [][]cell[C] // transition table, indexed by state and event
}

// cell is the reaction of one state to one event.
type cell[C any] struct {
	rejected bool
	branches []branch[C] // tried in order; empty means that the event is ignored
}

// branch is one transition of a cell.
type branch[C any] struct {
	guard      func(C) bool // if nil, the branch is always taken
	to         State
	keepsState bool
	actions    []Action
}

// Bind binds the chart to code. It returns an error if a guard or action is declared
// in the chart but missing in the code, or the other way round. In the result the
// initial state has index zero.
func Bind[C any](c *Chart, code Code[C]) (*Definition[C], error) {
	if err := checkCode(c, code); err != nil {
		return nil, err
	}
	d := &Definition[C]{name: c.file.Name, events: declaredNames(c.file.Events), actions: declaredNames(c.file.Actions)}
	states := slices.Clone(c.file.States)
	initial := slices.IndexFunc(states, func(s state) bool { return s.Name == c.file.Initial })
	states[0], states[initial] = states[initial], states[0]
	d.states = declaredNames(stateDeclarations(states))
	for _, s := range states {
		d.cells = append(d.cells, d.buildRow(s, code))
	}
	return d, nil
}

// MustBind is like Bind but panics if chart and code do not match. It is meant for
// package variables.
func MustBind[C any](c *Chart, code Code[C]) *Definition[C] {
	d, err := Bind(c, code)
	if err != nil {
		panic(err)
	}
	return d
}

func checkCode[C any](c *Chart, code Code[C]) error {
	guards, actions := declaredNames(c.file.Guards), declaredNames(c.file.Actions)
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

func declaredNames(list []declaration) []string {
	names := make([]string, 0, len(list))
	for _, d := range list {
		names = append(names, d.Name)
	}
	return names
}

func (d *Definition[C]) buildRow(s state, code Code[C]) []cell[C] {
	row := make([]cell[C], len(d.events))
	for _, name := range s.Reject {
		row[d.Event(name)].rejected = true
	}
	for _, t := range s.On {
		b := branch[C]{guard: code.Guards[t.If], keepsState: t.To == ""}
		if !b.keepsState {
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

// State returns the state with the name. It panics if the chart does not declare it.
func (d *Definition[C]) State(name string) State { return State(d.mustIndex("state", d.states, name)) }

// Event returns the event with the name. It panics if the chart does not declare it.
func (d *Definition[C]) Event(name string) Event { return Event(d.mustIndex("event", d.events, name)) }

// Action returns the action with the name. It panics if the chart does not declare it.
func (d *Definition[C]) Action(name string) Action {
	return Action(d.mustIndex("action", d.actions, name))
}

func (d *Definition[C]) mustIndex(kind string, list []string, name string) int {
	i := slices.Index(list, name)
	if i < 0 {
		panic(fmt.Sprintf("chart %q has no %s %q", d.name, kind, name))
	}
	return i
}

// Name returns the chart's name.
func (d *Definition[C]) Name() string { return d.name }

// StateName returns the name of a state, or an empty string if it does not exist.
func (d *Definition[C]) StateName(s State) string { return nameAt(d.states, int(s)) }

// EventName returns the name of an event, or an empty string if it does not exist.
func (d *Definition[C]) EventName(e Event) string { return nameAt(d.events, int(e)) }

// ActionName returns the name of an action, or an empty string if it does not exist.
func (d *Definition[C]) ActionName(a Action) string { return nameAt(d.actions, int(a)) }

func nameAt(list []string, i int) string {
	if i >= len(list) {
		return ""
	}
	return list[i]
}
