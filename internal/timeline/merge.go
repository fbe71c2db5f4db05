package timeline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// Merge orders the events of several processes by time, instance and sequence.
func Merge(rings ...[]Event) []Event {
	merged := slices.Concat(rings...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(
			a.Time.Compare(b.Time),
			cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Sequence, b.Sequence),
		)
	})
	return merged
}

// WriteJSON writes one event per line.
func WriteJSON(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return fmt.Errorf("encode event %d of %s: %w", e.Sequence, e.Instance, err)
		}
	}
	return nil
}

const maxLineBytes = 1 << 20

// ReadJSON reads events in the format of WriteJSON. Unlike ReadLog, it fails at the
// first malformed line.
func ReadJSON(r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("decode event in line %d: %w", len(events)+1, err)
		}
		events = append(events, e)
	}
	return events, lines.Err()
}
