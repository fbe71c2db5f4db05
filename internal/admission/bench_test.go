package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmission measures one arrival and one start on a queue of constant
// length.
func BenchmarkAdmission(b *testing.B) {
	for _, organisations := range []int{10, 200, 2000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			q, entries := benchQueue(organisations)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				e := q.Next(fitsAlways)
				*e = Entry[int]{Class: e.Class, Organisation: entries[n%len(entries)].Organisation, Arrived: epoch}
				_, _ = q.Push(e)
				n++
			}
		})
	}
}

// benchQueue returns a queue with seven tiers and two waiting entries per
// organisation.
func benchQueue(organisations int) (*Queue[int], []*Entry[int]) {
	q := NewQueue[int](Options{Limit: 10 * organisations})
	var classes []Class
	for tier := 1; tier <= maxTier; tier++ {
		classes = append(classes, Class{Name: fmt.Sprint(tier), Tier: tier, Floor: 0.02})
	}
	q.SetClasses(classes)
	var entries []*Entry[int]
	for n := range 2 * organisations {
		e := entry(classes[n%len(classes)].Name, fmt.Sprint("o", n%organisations), n)
		_, _ = q.Push(e)
		entries = append(entries, e)
	}
	return q, entries
}

// TestAdmissionDoesNotAllocate guards against garbage on the hot path: a decision
// for known organisations must allocate at most once.
func TestAdmissionDoesNotAllocate(t *testing.T) {
	q, _ := benchQueue(200)
	allocations := testing.AllocsPerRun(1000, func() {
		e := q.Next(fitsAlways)
		*e = Entry[int]{Class: e.Class, Organisation: e.Organisation, Arrived: epoch.Add(time.Second)}
		_, _ = q.Push(e)
	})
	if allocations > 1 {
		t.Errorf("%v allocations per decision", allocations)
	}
}
