package balance

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/config"
)

// pumpInterval is how often waiting requests are tried again without an event.
const pumpInterval = 20 * time.Millisecond

// waiter is a request that waits for a server.
type waiter struct {
	query *Query
	ready func(*Assignment) // called once, with the balancer's lock held
}

// NoServerError reports that no server could take a request in time.
type NoServerError struct {
	Service string
	Waited  time.Duration
	// Down is true when no server of the service takes work at all.
	Down bool
}

// Error implements the error interface.
func (e *NoServerError) Error() string {
	if e.Down {
		return fmt.Sprintf("service %q has no backend server", e.Service)
	}
	return fmt.Sprintf("no backend server of %q had room for %v", e.Service, e.Waited)
}

func tierOf(priority int) int { return min(max(priority, 0)+1, config.Tiers) }

// newQueue returns a queue with a class for each priority.
func newQueue() *admission.Queue[*waiter] {
	q := admission.NewQueue[*waiter](admission.Options{})
	classes := make([]admission.Class, config.Tiers)
	for i := range classes {
		classes[i] = admission.Class{Name: tierName(i), Tier: i + 1, Floor: config.MinimumFloor}
	}
	q.SetClasses(classes)
	return q
}

// Acquire returns a server's place, waiting for one as long as the query allows.
// It returns a *NoServerError, or the error of ctx.
func (b *Balancer) Acquire(ctx context.Context, q *Query) (*Assignment, error) {
	ready := make(chan *Assignment, 1)
	ticket := b.Submit(q, func(a *Assignment) { ready <- a })
	select {
	case a := <-ready:
		return a, nil
	default:
	}
	b.arm()
	return b.wait(ctx, ticket, ready)
}

// Ticket is a request that was submitted.
type Ticket struct {
	balancer *Balancer
	pool     *pool
	query    *Query
	entry    *admission.Entry[*waiter] // nil when it did not have to wait
	since    boottime.Instant
}

// Submit asks for a server's place and returns at once. ready gets the place, at
// once or later; it must neither block nor call the balancer. Pump tries those
// that wait again, and Withdraw ends the wait.
func (b *Balancer) Submit(q *Query, ready func(*Assignment)) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	p := b.pool(q.Service)
	t := &Ticket{balancer: b, pool: p, query: q, since: now}
	if p.waiting.Len() == 0 {
		if s := b.chooseNow(now, p, q); s != nil {
			ready(b.assign(now, p, s, q))
			return t
		}
	}
	t.entry = b.enqueue(p, &waiter{query: q, ready: ready}, now)
	b.pump(now, p)
	return t
}

// Withdraw ends the wait of a request.
func (t *Ticket) Withdraw() {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	t.leave()
}

func (t *Ticket) leave() {
	if t.entry != nil {
		t.pool.waiting.Remove(t.entry)
	}
}

// Insist ends the wait of a request whose patience is over and that got no place.
// One that was held back gets its place now; otherwise the error says why there
// is none.
func (t *Ticket) Insist() (*Assignment, error) {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	t.leave()
	now := b.now()
	if s := b.choose(now, t.pool, t.query); s != nil {
		return b.assign(now, t.pool, s, t.query), nil
	}
	return nil, &NoServerError{Service: t.pool.name, Waited: now.Sub(t.since), Down: t.pool.down()}
}

// Pump starts waiting requests for which there is a server now.
func (b *Balancer) Pump() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pumpAll()
}

func (b *Balancer) enqueue(p *pool, w *waiter, now boottime.Instant) *admission.Entry[*waiter] {
	entry := &admission.Entry[*waiter]{
		Value: w, Class: tierName(w.query.Priority), Organisation: w.query.Organisation,
		Cost: float64(w.query.PromptTokens + w.query.OutputTokens), Arrived: time.Unix(0, int64(now)),
	}
	// A victim hears nothing here: its own patience ends its wait.
	if _, err := p.waiting.Push(entry); err != nil {
		panic(fmt.Sprintf("balance: %v", err))
	}
	return entry
}

// wait waits for the place of a submitted request.
func (b *Balancer) wait(ctx context.Context, t *Ticket, ready <-chan *Assignment) (*Assignment, error) {
	timer := time.NewTimer(t.query.Patience)
	defer timer.Stop()
	select {
	case a := <-ready:
		return a, nil
	case <-ctx.Done():
		t.Withdraw()
		select {
		case a := <-ready: // came in the same moment
			a.End(Abandoned)
		default:
		}
		return nil, context.Cause(ctx)
	case <-timer.C:
	}
	t.Withdraw()
	select {
	case a := <-ready: // came in the same moment
		return a, nil
	default:
		return t.Insist()
	}
}

func (p *pool) down() bool {
	for _, s := range p.servers {
		if s.usable() {
			return false
		}
	}
	return true
}

// assign takes a place of the server for the query.
func (b *Balancer) assign(now boottime.Instant, p *pool, s *server, q *Query) *Assignment {
	home, inFlight, others := b.home(now, p, q) == s, s.inFlight, s.others.at(now)
	cold := s.cold(now)
	if cold {
		s.noteColdSend(now)
	}
	missing := max(q.PromptTokens-s.cachedTokens(now, q.Parts), 0)
	s.noteParts(now, q.Parts)
	if p.engine {
		b.keepSent(s, q.Parts)
	}
	s.inFlight++
	s.prefill += missing
	p.work.prompt += missing
	p.work.output += q.OutputTokens
	return &Assignment{
		Server: s.ID, Address: s.Address, Zone: s.Zone, Cold: cold, Home: home, InFlight: inFlight, Others: others,
		balancer: b, server: s, pool: p, prefill: missing, given: now,
		expected: firstEventMillis + float64(s.prefill+others.Unread)/prefillTokensPerMilli,
	}
}

// pump starts waiting requests for which there is a server.
func (b *Balancer) pump(now boottime.Instant, p *pool) {
	for p.waiting.Len() > 0 {
		var found *server
		entry := p.waiting.Next(func(e *admission.Entry[*waiter], _ bool) bool {
			found = b.chooseNow(now, p, e.Value.query)
			return found != nil
		})
		if entry == nil {
			return
		}
		entry.Value.ready(b.assign(now, p, found, entry.Value.query))
	}
}

func (b *Balancer) pumpAll() {
	now := b.now()
	for _, p := range b.pools {
		b.pump(now, p)
	}
}

// arm keeps trying while requests wait.
func (b *Balancer) arm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.armLocked()
}

func (b *Balancer) armLocked() {
	if b.ticking || b.waitingRequests() == 0 {
		return
	}
	b.ticking = true
	time.AfterFunc(pumpInterval, b.tick)
}

func (b *Balancer) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ticking = false
	b.pumpAll()
	b.armLocked()
}

func (b *Balancer) waitingRequests() int {
	n := 0
	for _, p := range b.pools {
		n += p.waiting.Len()
	}
	return n
}
