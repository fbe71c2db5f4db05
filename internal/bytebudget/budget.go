// Package bytebudget bounds the bytes that an instance keeps for all requests together, so
// that a few servers or callers cannot make it run out of memory.
package bytebudget

import (
	"sync"
	"time"
)

const (
	// stalledAfter is the time without growth after which a holder may be evicted.
	stalledAfter = time.Second
	// arrivalTime is the time after a connection's acceptance, its last complete request or
	// the first byte of a head in which a request is assumed to be arriving on it. Without
	// it, 300 requests that arrived at once closed 23 of each other's connections.
	arrivalTime = time.Second
)

// Budget is shared by all requests of an instance. It is safe for concurrent use.
type Budget struct {
	limit int64
	now   func() time.Time

	mu      sync.Mutex
	used    int64
	evicted int64
	holders map[*Holder]struct{} // that hold bytes
	// connections and waiting are the bytes of all connections, and those without a running
	// request that hold bytes; see HoldConnection.
	connections int64
	waiting     map[*Holder]struct{}
	heads       int64 // bytes of complete heads; see HoldHead
}

// New returns a budget of limit bytes. Zero means without limit.
func New(limit int64) *Budget {
	return &Budget{limit: limit, now: time.Now, holders: make(map[*Holder]struct{}), waiting: make(map[*Holder]struct{})}
}

// Holder is a share of the budget, of one request for one purpose. Its methods may be called
// by one goroutine at a time.
type Holder struct {
	budget *Budget
	limit  int64
	evict  func()

	held    int64
	grownAt time.Time
	gone    bool // evicted or released

	head      bool // of a complete head
	headLimit int64
	// listener is set for connections only.
	listener any
	unread   func() bool // may be nil; see SetUnread
	running  bool        // a request runs on the connection
	since    time.Time   // of the last complete request, or of the first growth
	begun    time.Time   // of the head that is being read, or since
	idle     bool        // no byte of a head was read since the last complete request
}

// Hold returns a holder without bytes. It may not bring the use of the budget over the given
// percentage. evict is called when others need the bytes of a holder that has not grown for
// a while; it must not block and must make the holder's owner drop them. If it is nil, the
// holder is never evicted.
func (b *Budget) Hold(percent int64, evict func()) *Holder {
	return &Holder{budget: b, limit: b.limit * percent / 100, evict: evict}
}

// Grow adds n bytes to the holder. It returns false if the budget has no room for them, or
// if the holder was evicted; nothing is added then. To make room it evicts the holders that
// have not grown for a while, the largest first. Connections without a running request are
// evicted before them, but not if only new or just used ones are left and no other holder
// can be evicted; see HoldConnection.
func (h *Holder) Grow(n int64) bool {
	b := h.budget
	b.mu.Lock()
	var evicted []*Holder
	grown := b.grow(h, n, &evicted)
	b.mu.Unlock()
	for _, e := range evicted {
		e.evict()
	}
	return grown
}

func (b *Budget) grow(h *Holder, n int64, evicted *[]*Holder) bool {
	if h.gone {
		return false
	}
	now := b.now()
	if h.listener != nil {
		return b.growConnection(h, n, now, evicted)
	}
	if h.head && b.limit > 0 && b.heads+n > h.headLimit {
		return false
	}
	for b.limit > 0 && b.used+n > h.limit {
		victim := b.victimFor(h, now)
		if victim == nil {
			return false
		}
		b.evict(victim, evicted)
	}
	b.add(h, n, now)
	return true
}

// victimFor returns the holder to evict for bytes of h, which is no connection, or nil. A
// connection on which a request may just be arriving is closed only to spare an answer:
// refusing h instead is safe, since its request has not run.
func (b *Budget) victimFor(h *Holder, now time.Time) *Holder {
	waiting := b.heaviestWaiting(nil, now)
	if waiting != nil && !waiting.arriving(now) {
		return waiting
	}
	stalled := b.largestStalled(h, now)
	if stalled != nil && waiting != nil {
		return waiting
	}
	return stalled
}

func (b *Budget) add(h *Holder, n int64, now time.Time) {
	b.used += n
	h.held += n
	if h.head {
		b.heads += n
	}
	h.grownAt = now
	b.holders[h] = struct{}{}
}

func (b *Budget) evict(h *Holder, evicted *[]*Holder) {
	b.remove(h)
	b.evicted++
	*evicted = append(*evicted, h)
}

// largestStalled returns the largest holder besides h that may be evicted, or nil.
func (b *Budget) largestStalled(h *Holder, now time.Time) *Holder {
	var largest *Holder
	for other := range b.holders {
		if other == h || other.evict == nil || other.listener != nil || now.Sub(other.grownAt) < stalledAfter {
			continue
		}
		if largest == nil || other.held > largest.held {
			largest = other
		}
	}
	return largest
}

func (b *Budget) remove(h *Holder) {
	b.subtract(h, h.held)
	h.gone = true
}

// subtract takes n of the holder's bytes off.
func (b *Budget) subtract(h *Holder, n int64) {
	b.used -= n
	h.held -= n
	if h.listener != nil {
		b.connections -= n
	}
	if h.head {
		b.heads -= n
	}
	if h.held == 0 {
		delete(b.holders, h)
		delete(b.waiting, h)
	}
}

// Shrink returns n of the holder's bytes.
func (h *Holder) Shrink(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subtract(h, min(n, h.held))
}

// Release returns the holder's bytes. It may be called more than once, and on nil.
func (h *Holder) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.remove(h)
}

// Usage returns the bytes that are held, and how many holders were evicted so far.
func (b *Budget) Usage() (used, evicted int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.evicted
}
