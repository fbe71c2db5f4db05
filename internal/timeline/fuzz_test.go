package timeline

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"testing"
)

// FuzzReadJSON checks that ReadJSON either rejects malformed input or returns events
// that survive a round trip and that every writer and Stats accept.
func FuzzReadJSON(f *testing.F) {
	var valid bytes.Buffer
	if err := WriteJSON(&valid, sampleEvents()); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	for _, text := range []string{"", "{}", "[]", "null", `{"time":"0001-01-01T00:00:00Z"}`, `{"kind":"request.received","tier":-1}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		events, err := ReadJSON(bytes.NewReader(text))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := WriteJSON(&again, events); err != nil {
			t.Fatal(err)
		}
		back, err := ReadJSON(&again)
		if err != nil || len(back) != len(events) || len(events) > 0 && !reflect.DeepEqual(back, events) {
			t.Fatalf("round trip: got events %v, error %v", back, err)
		}
		var trace bytes.Buffer
		if err := WriteChrome(&trace, events); err != nil || !json.Valid(trace.Bytes()) {
			t.Fatalf("invalid Chrome trace: %v", err)
		}
		if err := WriteText(io.Discard, events); err != nil {
			t.Fatal(err)
		}
		Stats(events)
		OfRequest(events, "r1")
	})
}
