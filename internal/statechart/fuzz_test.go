package statechart

import "testing"

// FuzzLoad checks that no text makes Load panic, and that every chart it
// accepts reacts to every event in every state without leaving its states.
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
			t.Fatalf("a checked chart cannot be bound: %v", err)
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
