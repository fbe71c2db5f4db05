package timeline

import (
	"sync"
	"sync/atomic"
	"time"
)

// DefaultRingSize is the number of events that a process keeps by default.
const DefaultRingSize = 32768

// Ring keeps the newest events of one process.
type Ring struct {
	instance string
	now      func() time.Time

	mu     sync.Mutex
	events []Event
	next   uint64 // sequence of the next event

	tap atomic.Pointer[func(Event)]
}

// NewRing returns a ring for the named process that keeps size events;
// zero means DefaultRingSize. A nil clock means time.Now.
func NewRing(instance string, size int, now func() time.Time) *Ring {
	if size <= 0 {
		size = DefaultRingSize
	}
	if now == nil {
		now = time.Now
	}
	return &Ring{instance: instance, now: now, events: make([]Event, 0, size)}
}

// Tap has f called after each event is kept, in the goroutine that records it.
// Tests use it to act at a step. A nil f ends that.
func (r *Ring) Tap(f func(Event)) {
	if f == nil {
		r.tap.Store(nil)
		return
	}
	r.tap.Store(&f)
}

// Record implements Recorder. It overwrites the oldest event when full.
func (r *Ring) Record(e Event) {
	e = r.keep(e)
	if f := r.tap.Load(); f != nil {
		(*f)(e)
	}
}

func (r *Ring) keep(e Event) Event {
	e.Instance = r.instance
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Time.IsZero() {
		e.Time = r.now()
	}
	e.Sequence = r.next
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
	} else {
		r.events[r.next%uint64(cap(r.events))] = e
	}
	r.next++
	return e
}

// Snapshot returns the kept events, oldest first, and how many older ones were
// overwritten.
func (r *Ring) Snapshot() (events []Event, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := uint64(len(r.events))
	lost = r.next - n
	events = make([]Event, 0, n)
	for seq := lost; seq < r.next; seq++ {
		events = append(events, r.events[seq%uint64(cap(r.events))])
	}
	return events, lost
}
