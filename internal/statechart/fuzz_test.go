package statechart

import "testing"

// FuzzLoad checks that Load never panics. In an accepted chart every event in every
// state must lead to a declared state, and an ignored event must keep the state.
func FuzzLoad(f *testing.F) {
	f.Add(doorText)
	f.Add("chart: a\ninitial: b\nstates: [{name: b, doc: d}]\n")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Load("fuzz.yaml", []byte(text))
		if err != nil {
			return
		}
		code := Code[bool]{Guards: map[string]func(bool) bool{}, Actions: c.Actions()}
		for _, name := range c.Guards() {
			code.Guards[name] = func(holds bool) bool { return holds }
		}
		d, err := Bind(c, code)
		if err != nil {
			t.Fatalf("Bind failed for a checked chart: %v", err)
		}
		for s := range c.States() {
			for e := range c.Events() {
				for _, holds := range []bool{false, true} {
					tr, err := d.Next(State(s), Event(e), holds)
					if err == nil && (int(tr.To) >= len(c.States()) || tr.Ignored && tr.To != tr.From) {
						t.Fatalf("state %d on event %d gives %+v", s, e, tr)
					}
				}
			}
		}
		c.Markdown()
	})
}
