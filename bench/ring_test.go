package main

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// maxRingHeap is what the time line may take of a node's memory for control.
const maxRingHeap = 32 << 20 // bytes

// TestTimelineStaysWithinItsMemory fills a ring of the default size with events
// of the length that requests record.
func TestTimelineStaysWithinItsMemory(t *testing.T) {
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
	if used > maxRingHeap {
		t.Errorf("a full ring takes %d bytes, more than %d", used, int64(maxRingHeap))
	}
	runtime.KeepAlive(ring)
}
