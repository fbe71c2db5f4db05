package statechart

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Transition is the outcome of one event.
type Transition struct {
	From, To State
	// Actions are to be carried out by the caller, in order. They must not be changed.
	Actions []Action
	// Entered is true when the transition names a next state, which may be From.
	Entered bool
	// Ignored is true when the state lists the event as ignored.
	Ignored bool
}

// RejectedError reports an event that must not arrive in a state.
type RejectedError struct{ Chart, Subject, State, Event string }

// Error implements the error interface.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s %q in state %q rejects event %q", e.Chart, e.Subject, e.State, e.Event)
}

// Next returns what the event does in the state. It changes nothing. A rejected
// event yields a *RejectedError and a transition that stays in from.
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
		if b.stays {
			return Transition{From: from, To: from, Actions: b.actions}, nil
		}
		return Transition{From: from, To: b.to, Actions: b.actions, Entered: true}, nil
	}
	stay.Ignored = true
	return stay, nil
}

// Machine is the current state of one subject. It is not safe for concurrent use.
type Machine[C any] struct {
	definition *Definition[C]
	subject    string
	recorder   timeline.Recorder
	state      State
}

// Machine returns a machine in the initial state. The subject names what the
// machine follows, such as a request id; a nil recorder records nothing.
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

// Fire moves the machine on by one event. It records timeline.StateEntered when
// the transition names a next state. On an error the state is unchanged.
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
