package invariant

import (
	"bytes"
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// FuzzCheck runs the checks on arbitrary input that decodes as a saved timeline.
// They must not panic.
func FuzzCheck(f *testing.F) {
	for _, lines := range timelines {
		for _, events := range lines.invalid {
			var saved bytes.Buffer
			if err := timeline.WriteJSON(&saved, setSequences(events)); err != nil {
				f.Fatal(err)
			}
			f.Add(saved.Bytes())
		}
	}
	f.Fuzz(func(_ *testing.T, saved []byte) {
		events, err := timeline.ReadJSON(bytes.NewReader(saved))
		if err != nil {
			return
		}
		Check(events, Options{Complete: true})
		Check(events, DefaultOptions())
	})
}
