package invariant

import (
	"bytes"
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// FuzzCheck feeds the checks whatever can be read as a saved time line.
func FuzzCheck(f *testing.F) {
	for _, lines := range timeLines {
		for _, events := range lines.doctored {
			var saved bytes.Buffer
			if err := timeline.WriteJSON(&saved, number(events)); err != nil {
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
