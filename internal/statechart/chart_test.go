package statechart

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

const doorText = `
chart: door
doc: A door.
initial: closed
events:
  - {name: push, doc: d}
  - {name: lock, doc: d}
  - {name: burn, doc: d}
guards:
  - {name: strong, doc: d}
actions:
  - {name: creak, doc: d}
states:
  - name: open
    doc: d
    on: [{event: push, to: closed, do: [creak]}, {event: burn, to: ash}]
    reject: [lock]
  - name: closed
    doc: d
    on:
      - {event: push, if: strong, to: open, do: [creak]}
      - {event: push, do: [creak]}
      - {event: lock, to: closed}
      - {event: burn, to: ash}
  - {name: ash, doc: d, final: true, ignore: [push, lock, burn]}
`

type facts struct{ strength int }

func (f facts) strong() bool { return f.strength > 5 }

var doorCode = Code[facts]{
	Guards:  map[string]func(facts) bool{"strong": facts.strong},
	Actions: []string{"creak"},
}

func TestLoadRejects(t *testing.T) {
	cases := []struct{ name, old, new, message string }{
		{"unreachable state", "if: strong, to: open", "if: strong, to: ash", `state "open" cannot be reached`},
		{"trap state", "[{event: push, to: closed, do: [creak]}, {event: burn, to: ash}]\n    reject: [lock]", "[{event: push, do: [creak]}]\n    reject: [lock, burn]", `state "open" cannot reach a final state`},
		{"unknown initial", "initial: closed", "initial: shut", `state "shut" is not declared`},
		{"unknown state", "burn, to: ash}]", "burn, to: dust}]", `state "dust" is not declared`},
		{"unknown guard", "if: strong", "if: weak", `guard "weak" is not declared`},
		{"unknown action", "to: open, do: [creak]", "to: open, do: [squeak]", `action "squeak" is not declared`},
		{"unknown event", "reject: [lock]", "reject: [lock, knock]", `event "knock" is not declared`},
		{"unhandled event", "reject: [lock]", "reject: []", `neither handles nor ignores nor rejects event "lock"`},
		{"event handled twice", "reject: [lock]", "reject: [lock, push]", `event "push" is already handled`},
		{"two unguarded", "if: strong, ", "", "two transitions with the same guard"},
		{"no unguarded last", "      - {event: push, do: [creak]}\n", "", "needs a last transition without a guard"},
		{"unguarded first", "      - {event: push, do: [creak]}\n", "      - {event: push, if: strong, do: [creak]}\n", "two transitions with the same guard"},
		{"unused event", "{name: lock, doc: d}", "{name: lock, doc: d}\n  - {name: knock, doc: d}", `"knock" is declared but not used`},
		{"final with transition", "final: true, ignore: [push, lock, burn]", "final: true, on: [{event: push, to: open}], ignore: [lock, burn]", "cannot have transitions"},
		{"transition without effect", "{event: push, do: [creak]}", "{event: push}", "neither a next state nor actions"},
		{"name twice", "{name: lock, doc: d}", "{name: push, doc: d}", `"push" is declared twice`},
		{"undocumented", "{name: lock, doc: d}", "{name: lock}", "required"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(doorText, c.old, c.new, 1)
			_, err := Load("door.yaml", []byte(text))
			var faults *yamlfault.FaultsError
			if text == doorText || !errors.As(err, &faults) || !strings.Contains(err.Error(), c.message) {
				t.Fatalf("got %v, want %q", err, c.message)
			}
		})
	}
}

func TestBindRejectsMismatch(t *testing.T) {
	chart := MustLoad("door.yaml", []byte(doorText))
	codes := map[string]Code[facts]{
		`code of chart "door" has no guard "strong"`: {Actions: doorCode.Actions},
		`chart "door" has no guard "weak"`:           {Guards: map[string]func(facts) bool{"strong": facts.strong, "weak": facts.strong}, Actions: doorCode.Actions},
		`code of chart "door" has no action "creak"`: {Guards: doorCode.Guards},
		`chart "door" has no action "squeak"`:        {Guards: doorCode.Guards, Actions: []string{"creak", "squeak"}},
	}
	for want, code := range codes {
		if _, err := Bind(chart, code); err == nil || err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

func TestFire(t *testing.T) {
	is := is.New(t)
	door := MustBind(MustLoad("door.yaml", []byte(doorText)), doorCode)
	ring := timeline.NewRing("test", 16, nil)
	m := door.Machine("front", ring)
	is.Equal(m.StateName(), "closed") // the zero State is the initial state

	tr, err := m.Fire(door.Event("push"), facts{strength: 1})
	is.NoErr(err)
	is.True(!tr.Entered && !tr.Ignored)
	is.Equal(tr.Actions, []Action{door.Action("creak")})
	_, err = m.Fire(door.Event("lock"), facts{})
	is.NoErr(err)
	_, err = m.Fire(door.Event("push"), facts{strength: 9})
	is.NoErr(err)
	is.Equal(m.State(), door.State("open"))

	_, err = m.Fire(door.Event("lock"), facts{})
	var rejected *RejectedError
	is.True(errors.As(err, &rejected))
	is.Equal(*rejected, RejectedError{"door", "front", "open", "lock"})
	is.Equal(m.StateName(), "open") // a rejected event does not change the state

	_, err = m.Fire(door.Event("burn"), facts{})
	is.NoErr(err)
	tr, err = m.Fire(door.Event("push"), facts{strength: 9})
	is.NoErr(err)
	is.True(tr.Ignored)

	var steps []string
	events, _ := ring.Snapshot()
	for _, e := range events {
		is.Equal(e.Kind, timeline.StateEntered)
		is.Equal(e.Subject, "front")
		steps = append(steps, e.From+" "+e.Detail+" "+e.State)
	}
	is.Equal(steps, []string{"closed lock closed", "closed push open", "open burn ash"})
}

func TestFireDoesNotAllocate(t *testing.T) {
	door := MustBind(MustLoad("door.yaml", []byte(doorText)), doorCode)
	push := door.Event("push")
	m := door.Machine("front", timeline.NewRing("test", 16, nil))
	if n := testing.AllocsPerRun(1000, func() { m.Fire(push, facts{strength: 9}) }); n != 0 {
		t.Errorf("Fire allocates %v times per event", n)
	}
}

func BenchmarkFire(b *testing.B) {
	door := MustBind(MustLoad("door.yaml", []byte(doorText)), doorCode)
	push := door.Event("push")
	m := door.Machine("front", nil)
	b.ReportAllocs()
	for b.Loop() {
		m.Fire(push, facts{strength: 9})
	}
}
