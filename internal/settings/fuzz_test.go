package settings

import (
	"errors"
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// FuzzDecode checks that Decode never panics, that every rejected text has a list of
// faults, and that the required fields of accepted settings are set.
func FuzzDecode(f *testing.F) {
	f.Add(validText)
	for _, text := range []string{"", "instance", "callers: {address: \"[::]:0\"}", "peers: {pinned-keys: [1]}", "drain: {limit: 9223372036854775808ns}"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Decode("fuzz.yaml", []byte(text))
		var faults *yamlfault.FaultsError
		if err != nil {
			if !errors.As(err, &faults) || len(faults.Faults) == 0 || s != nil {
				t.Fatalf("rejected without faults: %v", err)
			}
			return
		}
		if s.Instance == "" || s.Callers.Address == "" || s.Platform.Table == "" || s.Drain.BalancerLag <= 0 {
			t.Fatalf("accepted without required fields: %+v", s)
		}
	})
}
