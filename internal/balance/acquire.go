package balance

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/config"
)

// dispatchInterval is how often waiting requests are retried when no event triggers
// it earlier.
const dispatchInterval = 20 * time.Millisecond

// waiter is a queued request.
type waiter struct {
	query *Query
	ready func(*Assignment) // called once, with the balancer's mutex held
}

// NoServerError reports that no server had a free slot within the maximum wait.
type NoServerError struct {
	Service string
	Waited  time.Duration
	// Down is true when the service has no usable server at all, or none of Version if the
	// query was bound to that.
	Down bool
	// Bound and Version are those of the query. Listed is true when a server that may run it
	// is listed and does not leave.
	Bound   bool
	Version string
	Listed  bool
	// Reserved is true when what the servers' rate limits allow is left to more urgent
	// requests.
	Reserved bool
	// RetryAfter is the time until the first server wants a request of this instance, if
	// all have stated that they want none now. Zero means that some have not.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *NoServerError) Error() string {
	switch {
	case e.Down && e.Bound:
		return fmt.Sprintf("service %q has no usable backend server of software version %q, which began the stream", e.Service, e.Version)
	case e.Down:
		return fmt.Sprintf("service %q has no usable backend server", e.Service)
	case e.Reserved:
		return fmt.Sprintf("what the backend servers of service %q allow now is reserved for more urgent requests", e.Service)
	case e.RetryAfter > 0:
		return fmt.Sprintf("no backend server of service %q wants requests now; the first one does in %v", e.Service, e.RetryAfter)
	}
	return fmt.Sprintf("no backend server of service %q had a free slot within %v", e.Service, e.Waited)
}

func tierOf(priority int) int { return min(max(priority, 0)+1, config.TierCount) }

// newQueue returns a queue with one class for each priority.
func newQueue() *admission.Queue[*waiter] {
	q := admission.NewQueue[*waiter](admission.Options{})
	classes := make([]admission.Class, config.TierCount)
	for i := range classes {
		classes[i] = admission.Class{Name: className(i), Tier: i + 1, Floor: config.DefaultFloor}
	}
	q.SetClasses(classes)
	return q
}

// Acquire returns a slot on a server and waits for one if necessary, at most for
// the query's maximum wait. It returns a *NoServerError when there is none, or the
// cause of ctx's cancellation.
func (b *Balancer) Acquire(ctx context.Context, q *Query) (*Assignment, error) {
	ready := make(chan *Assignment, 1)
	ticket := b.Submit(q, func(a *Assignment) { ready <- a })
	select {
	case a := <-ready:
		return a, nil
	default:
	}
	if ticket.waitsInVain() {
		return ticket.AssignNow()
	}
	b.armTimer()
	return b.wait(ctx, ticket, ready)
}

// Ticket represents a submitted request.
type Ticket struct {
	balancer    *Balancer
	pool        *pool
	query       *Query
	queue       *admission.Queue[*waiter]
	entry       *admission.Entry[*waiter] // nil if the request did not have to wait
	submittedAt boottime.Instant
}

// Submit requests a slot on a server and does not block. ready is called with the
// slot, either during Submit or later; it must not block or call the balancer.
// Dispatch retries waiting requests. Cancel ends the wait.
func (b *Balancer) Submit(q *Query, ready func(*Assignment)) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	p := b.pool(q.Service)
	t := &Ticket{balancer: b, pool: p, query: q, queue: p.queueFor(q), submittedAt: now}
	p.arrivals.add(now, q.Priority)
	p.observeTarget(q)
	if t.queue.Len() == 0 {
		if s := b.chooseUnlessHeld(now, p, q); s != nil {
			ready(b.assign(now, p, s, q))
			return t
		}
	}
	t.entry = enqueue(t.queue, &waiter{query: q, ready: ready}, now)
	b.dispatch(now, p)
	return t
}

// Cancel removes the request from the queue. It has no effect if the request is not
// waiting.
func (t *Ticket) Cancel() {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	t.dequeue()
}

// waitsInVain reports whether no server will want the request within its wait.
func (t *Ticket) waitsInVain() bool {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return t.pool.lacksServer(now, t.query) || b.openings(now, t.pool, t.query).outlast(now, t.query.MaxWait)
}

func (t *Ticket) dequeue() {
	if t.entry != nil {
		t.queue.Remove(t.entry)
	}
}

// AssignNow ends the wait of a request that got no slot within its maximum wait. If
// the request was only held, it gets its slot now. Otherwise a *NoServerError is
// returned.
func (t *Ticket) AssignNow() (*Assignment, error) {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	t.dequeue()
	now := b.now()
	if s := b.choose(now, t.pool, t.query); s != nil {
		return b.assign(now, t.pool, s, t.query), nil
	}
	return nil, &NoServerError{
		Service: t.pool.name, Waited: now.Sub(t.submittedAt), Down: t.pool.hasNoUsableServer(now, t.query),
		Bound: t.query.Bound, Version: t.query.BoundVersion, Listed: t.pool.lists(t.query),
		Reserved:   b.reserved(now, t.pool, t.query),
		RetryAfter: b.openings(now, t.pool, t.query).retryAfter(now),
	}
}

// Dispatch assigns waiting requests to servers that have become available.
func (b *Balancer) Dispatch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dispatchAll()
}

func enqueue(queue *admission.Queue[*waiter], w *waiter, now boottime.Instant) *admission.Entry[*waiter] {
	entry := &admission.Entry[*waiter]{
		Value: w, Class: className(w.query.Priority), Organisation: w.query.Organisation,
		Cost: float64(w.query.PromptTokens + w.query.OutputTokens), Arrived: time.Unix(0, int64(now)),
	}
	// The evicted request is not notified: its wait ends at its own maximum.
	if _, err := queue.Push(entry); err != nil {
		panic(fmt.Sprintf("balance: %v", err))
	}
	return entry
}

// wait blocks until a submitted request gets its slot, or its wait ends.
func (b *Balancer) wait(ctx context.Context, t *Ticket, ready <-chan *Assignment) (*Assignment, error) {
	timer := time.NewTimer(t.query.MaxWait)
	defer timer.Stop()
	select {
	case a := <-ready:
		return a, nil
	case <-ctx.Done():
		t.Cancel()
		select {
		case a := <-ready: // assigned at the same moment
			a.End(Abandoned)
		default:
		}
		return nil, context.Cause(ctx)
	case <-timer.C:
	}
	t.Cancel()
	select {
	case a := <-ready: // assigned at the same moment
		return a, nil
	default:
		return t.AssignNow()
	}
}

// hasNoUsableServer reports whether no server may run the query at all, now or when it has
// capacity.
func (p *pool) hasNoUsableServer(now boottime.Instant, q *Query) bool {
	if p.bars(now, q) {
		return true
	}
	for _, s := range p.servers {
		if s.usableFor(q) {
			return false
		}
	}
	return true
}

// assign reserves a slot on the server for the query.
func (b *Balancer) assign(now boottime.Instant, p *pool, s *server, q *Query) *Assignment {
	onAffinity, inFlight, others := b.affinityServer(now, p, q) == s, s.inFlight, s.others.at(now)
	cold := s.cold(now)
	b.recordSend(now, s)
	p.versions.spend(s)
	uncached := max(q.PromptTokens-s.cachedTokens(now, q.Parts), 0)
	s.recordParts(now, q.Parts)
	if p.engine {
		b.queueSent(s, q.Parts)
	}
	s.inFlight++
	trial := s.stated.OnTrial()
	s.trialRunning = s.trialRunning || trial
	s.pendingPrefill += uncached
	s.sensitivity += loadSensitivity(p, q)
	p.tokens.prompt += uncached
	p.tokens.output += q.OutputTokens
	return &Assignment{
		Server: s.ID, Address: s.Address, Zone: s.Zone, Version: s.Version, StartedMillis: s.StartedMillis, Cold: cold, OnAffinityServer: onAffinity, InFlight: inFlight, Others: others,
		Uncached: uncached, sensitivity: loadSensitivity(p, q), balancer: b, server: s, pool: p, assignedAt: now, trial: trial, bound: q.Bound,
		expectedMillis: minFirstEventMillis + float64(s.pendingPrefill+others.PendingPrefill)/b.prefillRate(now, s),
		PrefillAhead:   s.pendingPrefill - uncached + others.PendingPrefill, Slots: p.slots(s),
	}
}

// dispatch assigns waiting requests of the pool until none fits.
func (b *Balancer) dispatch(now boottime.Instant, p *pool) {
	b.dispatchBound(now, p)
	b.dispatchQueue(now, p, p.waiting)
}

func (b *Balancer) dispatchQueue(now boottime.Instant, p *pool, queue *admission.Queue[*waiter]) {
	for queue.Len() > 0 {
		var found *server
		entry := queue.Next(func(e *admission.Entry[*waiter], _ bool) bool {
			found = b.chooseUnlessHeld(now, p, e.Value.query)
			return found != nil
		})
		if entry == nil {
			return
		}
		entry.Value.ready(b.assign(now, p, found, entry.Value.query))
	}
}

func (b *Balancer) dispatchAll() {
	now := b.now()
	for _, p := range b.pools {
		b.dispatch(now, p)
	}
}

// armTimer schedules the next dispatch if requests are waiting.
func (b *Balancer) armTimer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.armTimerLocked()
}

func (b *Balancer) armTimerLocked() {
	if b.timerArmed || b.waitingRequests() == 0 {
		return
	}
	b.timerArmed = true
	time.AfterFunc(dispatchInterval, b.tick)
}

func (b *Balancer) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timerArmed = false
	b.dispatchAll()
	b.armTimerLocked()
}

func (b *Balancer) waitingRequests() int {
	n := 0
	for _, p := range b.pools {
		n += p.waitingRequests()
	}
	return n
}
