package timeline

import (
	"sync"
	"sync/atomic"
	"time"
)

// DefaultRingSize is the number of events that a process keeps by default.
const DefaultRingSize = 32768

// Ring is a Recorder that keeps the newest events of one process in a ring buffer.
type Ring struct {
	instance string
	now      func() time.Time

	mu     sync.Mutex
	events []Event
	next   uint64 // sequence of the next event

	tap atomic.Pointer[func(Event)]
}

// NewRing returns a ring for the named process that keeps size events;
// zero means DefaultRingSize. If now is nil, time.Now is used.
func NewRing(instance string, size int, now func() time.Time) *Ring {
	if size <= 0 {
		size = DefaultRingSize
	}
	if now == nil {
		now = time.Now
	}
	return &Ring{instance: instance, now: now, events: make([]Event, 0, size)}
}

// SetHook registers f to be called after each event is stored, in the goroutine that
// records it. Tests use it to act at a certain event. If f is nil, the current
// function is removed.
func (r *Ring) SetHook(f func(Event)) {
	if f == nil {
		r.tap.Store(nil)
		return
	}
	r.tap.Store(&f)
}

// Record implements Recorder. When the ring is full, the oldest event is overwritten.
func (r *Ring) Record(e Event) {
	e = r.store(e)
	if f := r.tap.Load(); f != nil {
		(*f)(e)
	}
}

func (r *Ring) store(e Event) Event {
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

// Snapshot returns the stored events, oldest first, and the number of older events
// that were overwritten.
func (r *Ring) Snapshot() (events []Event, overwritten uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := uint64(len(r.events))
	overwritten = r.next - n
	events = make([]Event, 0, n)
	for seq := overwritten; seq < r.next; seq++ {
		events = append(events, r.events[seq%uint64(cap(r.events))])
	}
	return events, overwritten
}
