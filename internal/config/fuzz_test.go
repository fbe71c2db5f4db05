package config

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// FuzzDecode checks that Decode never panics and that every rejected text has a
// list of faults. An accepted text must compile, have no difference to itself,
// have floors that sum to less than 1, and refer to existing classes only.
func FuzzDecode(f *testing.F) {
	f.Add(validText)
	for _, name := range []string{"gala-entries.yaml", "drum-returns.yaml"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	for _, text := range []string{"", "#", "- a", "a: &b [*b]", "classes: [{tier: 1e400}]", "services: [{depends-on: [a]}]", "? a\n: b", "<<: {a: b}", "zones: !!set {a}", "a: 'b", "\t", "[[[["} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Decode("fuzz.yaml", []byte(text))
		if err != nil {
			var faults *FaultsError
			if !errors.As(err, &faults) || len(faults.Faults) == 0 {
				t.Fatalf("rejected without faults: %v", err)
			}
			return
		}
		if changes := Diff(c, c); len(changes) > 0 {
			t.Fatalf("differs from itself: %v", changes)
		}
		floors := 0.0
		for i := range c.Classes {
			floors += c.Classes[i].EffectiveFloor()
		}
		if !(floors < 1) {
			t.Fatalf("floors sum to %v", floors)
		}
		s := NewSnapshot(1, text, c, nil, nil)
		for _, service := range c.Services {
			if s.Class(service.Class) == nil {
				t.Fatalf("service %q has unknown class %q", service.Name, service.Class)
			}
		}
	})
}
