package engine

import (
	"context"
	"slices"
	"sync"
)

// slots limits the requests that run at the same time. Slots are granted by
// priority, 1 first, and in order of arrival within a priority.
type slots struct {
	mu      sync.Mutex
	free    int
	waiters []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n} }

// acquire waits for a slot. It returns ctx.Err() if ctx ends first.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w := s.enqueue(priority)
	if w == nil {
		return nil
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// enqueue acquires a free slot and returns nil, or returns a queued waiter.
func (s *slots) enqueue(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free > 0 {
		s.free--
		return nil
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	at := slices.IndexFunc(s.waiters, func(o *waiter) bool { return o.priority > priority })
	if at < 0 {
		at = len(s.waiters)
	}
	s.waiters = slices.Insert(s.waiters, at, w)
	return w
}

func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.waiters, w); at >= 0 {
		s.waiters = slices.Delete(s.waiters, at, at+1)
		return
	}
	s.releaseLocked() // the slot was granted in the meantime
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if len(s.waiters) == 0 {
		s.free++
		return
	}
	close(s.waiters[0].granted)
	s.waiters = s.waiters[1:]
}

func (s *slots) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}
