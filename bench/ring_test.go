package main

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// maxRingHeapBytes is the timeline's share of a node's memory budget for control.
const maxRingHeapBytes = 32 << 20

// TestTimelineMemory fills a ring of the default size with events of typical size and
// checks that it stays within its memory budget.
func TestTimelineMemory(t *testing.T) {
	before := heapBytes()
	ring := timeline.NewRing("instance-001", 0, nil)
	for i := range 2 * timeline.DefaultRingSize {
		ring.Record(timeline.Event{
			Kind: timeline.AttemptSent, Request: fmt.Sprintf("01a23f54-dff8-7813-88d4-%012d", i),
			Attempt: fmt.Sprintf("01a23f54-dff8-7813-88d5-%012d", i), Organisation: "organisation-17", Server: "server-00017",
		})
	}
	used := int64(heapBytes()) - int64(before)
	t.Logf("%d events: %.1f MiB", timeline.DefaultRingSize, float64(used)/(1<<20))
	if used > maxRingHeapBytes {
		t.Errorf("a full ring uses %d bytes, want at most %d", used, int64(maxRingHeapBytes))
	}
	runtime.KeepAlive(ring)
}
