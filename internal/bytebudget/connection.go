package bytebudget

import "time"

// HoldConnection returns a holder for what a client's connection holds beside bodies and
// answers. All connections together may use the given percentage of the budget. To make room
// for one, and before any other holder is evicted, the connection is evicted that has held
// most for longest (bytes times time) without a complete request; those on which a request may
// just be arriving are the last. A connection with a running
// request is never evicted, and connections never evict other holders. listener identifies
// the connection's listener for EvictConnection and must be comparable and not nil. evict
// must not block and must close the connection.
func (b *Budget) HoldConnection(percent int64, listener any, evict func()) *Holder {
	return &Holder{budget: b, limit: b.limit * percent / 100, evict: evict, listener: listener}
}

func (b *Budget) growConnection(h *Holder, n int64, now time.Time, evicted *[]*Holder) bool {
	for b.limit > 0 && (b.connections+n > h.limit || b.used+n > b.limit) {
		victim := b.heaviestWaiting(nil, now)
		if victim == nil || victim == h {
			return false
		}
		b.evict(victim, evicted)
	}
	switch {
	case h.held == 0:
		h.since, h.begun, h.idle = now, now, true
	case h.idle:
		h.begun, h.idle = now, false
	}
	b.add(h, n, now)
	b.connections += n
	if !h.running {
		b.waiting[h] = struct{}{}
	}
	return true
}

// arriving reports whether a request may just be arriving on the connection. A client cannot
// extend this by sending a head slowly.
func (h *Holder) arriving(now time.Time) bool { return now.Sub(h.begun) < arrivalTime }

// SetUnread sets a function that reports whether the connection has received bytes that were
// not read yet. If so when the connection would be evicted, a request counts as arriving on it.
// It must not block, and SetUnread must be called before Grow.
func (h *Holder) SetUnread(unread func() bool) { h.unread = unread }

// heaviestWaiting returns the connection that has held most for longest without a complete
// request, among those of the listener unless it is nil, or nil. It prefers connections on
// which no request is arriving.
func (b *Budget) heaviestWaiting(listener any, now time.Time) *Holder {
	for {
		h := b.heaviestUnchecked(listener, now)
		if h == nil || h.arriving(now) || h.unread == nil || !h.unread() {
			return h
		}
		h.begun, h.idle = now, false
	}
}

func (b *Budget) heaviestUnchecked(listener any, now time.Time) *Holder {
	var heaviest *Holder
	var most float64
	var mostArrives bool
	for h := range b.waiting {
		if listener != nil && h.listener != listener {
			continue
		}
		weight := float64(h.held) * float64(max(now.Sub(h.since), time.Millisecond))
		arriving := h.arriving(now)
		if heaviest == nil || mostArrives && !arriving || mostArrives == arriving && weight > most {
			heaviest, most, mostArrives = h, weight, arriving
		}
	}
	return heaviest
}

// EvictConnection evicts the listener's connection that Grow would evict first. It returns
// false if requests run on all of them.
func (b *Budget) EvictConnection(listener any) bool {
	b.mu.Lock()
	heaviest := b.heaviestWaiting(listener, b.now())
	var evicted []*Holder
	if heaviest != nil {
		b.evict(heaviest, &evicted)
	}
	b.mu.Unlock()
	for _, e := range evicted {
		e.evict()
	}
	return heaviest != nil
}

// BeginRequest keeps the connection from being evicted until EndRequests. It returns false
// if it was evicted before.
func (h *Holder) BeginRequest() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.running = true
	delete(h.budget.waiting, h)
	return !h.gone
}

// EndRequests states that no request runs on the connection any more.
func (h *Holder) EndRequests() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.running = false
	h.since = b.now()
	h.begun, h.idle = h.since, true
	if h.held > 0 {
		b.waiting[h] = struct{}{}
	}
}

// Connections returns the bytes that all connections hold.
func (b *Budget) Connections() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.connections
}

// HoldHead returns a holder for the complete head of a request while it is served. All heads
// together may use the given percentage of the budget. It is never evicted.
func (b *Budget) HoldHead(percent int64) *Holder {
	return &Holder{budget: b, limit: b.limit, headLimit: b.limit * percent / 100, head: true}
}
