package statechart

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Transition is the result of one event.
type Transition struct {
	From, To State
	// Actions must be executed by the caller, in order. The slice is shared and must
	// not be modified.
	Actions []Action
	// Entered is true if the transition has a next state, which may equal From.
	Entered bool
	// Ignored is true if the state ignores the event.
	Ignored bool
}

// RejectedError reports an event that must not occur in a state.
type RejectedError struct{ Chart, Subject, State, Event string }

// Error implements the error interface.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s %q in state %q rejects event %q", e.Chart, e.Subject, e.State, e.Event)
}

// Next returns the transition for the event in the state, without side effects. If
// the state rejects the event, Next returns a *RejectedError and a transition that
// stays in from.
func (d *Definition[C]) Next(from State, e Event, facts C) (Transition, error) {
	stay := Transition{From: from, To: from}
	if int(from) >= len(d.states) || int(e) >= len(d.events) {
		return stay, fmt.Errorf("chart %q has no state %d or no event %d", d.name, from, e)
	}
	c := &d.cells[from][e]
	if c.rejected {
		return stay, &RejectedError{Chart: d.name, State: d.states[from], Event: d.events[e]}
	}
	for i := range c.branches {
		b := &c.branches[i]
		if b.guard != nil && !b.guard(facts) {
			continue
		}
		if b.keepsState {
			return Transition{From: from, To: from, Actions: b.actions}, nil
		}
		return Transition{From: from, To: b.to, Actions: b.actions, Entered: true}, nil
	}
	stay.Ignored = true
	return stay, nil
}

// Machine holds the current state of one subject, such as a request. It is not safe for
// concurrent use.
type Machine[C any] struct {
	definition *Definition[C]
	subject    string
	recorder   timeline.Recorder
	state      State
}

// Machine returns a machine in the initial state. The subject identifies the machine
// in recorded events, such as a request id. If r is nil, no events are recorded.
func (d *Definition[C]) Machine(subject string, r timeline.Recorder) Machine[C] {
	if r == nil {
		r = timeline.Discard
	}
	return Machine[C]{definition: d, subject: subject, recorder: r}
}

// State returns the current state.
func (m *Machine[C]) State() State { return m.state }

// StateName returns the name of the current state.
func (m *Machine[C]) StateName() string { return m.definition.StateName(m.state) }

// Fire applies one event and returns its transition. It records
// timeline.StateEntered if the transition has a next state. If Fire returns an error,
// the state is unchanged.
func (m *Machine[C]) Fire(e Event, facts C) (Transition, error) {
	t, err := m.definition.Next(m.state, e, facts)
	if err != nil {
		if rejected, ok := err.(*RejectedError); ok {
			rejected.Subject = m.subject
		}
		return t, err
	}
	if t.Entered {
		m.state = t.To
		m.recorder.Record(timeline.Event{
			Kind: timeline.StateEntered, Chart: m.definition.name, Subject: m.subject,
			From: m.definition.states[t.From], State: m.definition.states[t.To],
			Detail: m.definition.events[e],
		})
	}
	return t, nil
}
