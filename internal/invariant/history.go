package invariant

import (
	"sort"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// history indexes a merged timeline for the checks.
type history struct {
	Options
	events     []timeline.Event
	requests   map[string]*request
	attempts   map[string]*attempt
	leases     map[string][]*leasePeriod   // by duty
	admissions map[string][]timeline.Event // request.admitted by pool
	last       time.Time                   // time of the last event
}

// request collects the events of one request.
type request struct {
	id       string
	received *timeline.Event
	queued   *timeline.Event
	key      *timeline.Event  // key.accepted
	ends     []timeline.Event // answered, refused or failed
	sent     []*attempt
}

// attempt collects the events of one attempt.
type attempt struct {
	id        string
	started   *timeline.Event
	sent      *timeline.Event
	answered  *timeline.Event
	end       *timeline.Event // first of answered, failed and discarded
	discarded bool
	crossed   bool // the answer has the id of another attempt
}

// first returns the event with the attempt's fields, or nil if there is none.
func (a *attempt) first() *timeline.Event {
	if a.sent != nil {
		return a.sent
	}
	return a.started
}

func newHistory(events []timeline.Event, o Options) *history {
	h := &history{
		Options:    o,
		events:     events,
		requests:   make(map[string]*request),
		attempts:   make(map[string]*attempt),
		leases:     make(map[string][]*leasePeriod),
		admissions: make(map[string][]timeline.Event),
	}
	for i := range events {
		h.add(&events[i])
	}
	return h
}

func (h *history) add(e *timeline.Event) {
	h.last = e.Time
	h.addLease(e)
	h.addAttempt(e)
	h.addRequest(e)
}

func (h *history) addRequest(e *timeline.Event) {
	if e.Request == "" {
		return
	}
	r := h.request(e.Request)
	switch e.Kind {
	case timeline.RequestReceived:
		r.received = e
	case timeline.RequestQueued:
		r.queued = e
	case timeline.RequestAdmitted:
		h.admissions[e.Service] = append(h.admissions[e.Service], *e)
	case timeline.KeyAccepted:
		r.key = e
	case timeline.RequestAnswered, timeline.RequestRefused, timeline.RequestFailed:
		r.ends = append(r.ends, *e)
	case timeline.AttemptSent:
		r.sent = append(r.sent, h.attempt(e.Attempt))
	}
}

func (h *history) addAttempt(e *timeline.Event) {
	switch e.Kind {
	case timeline.AttemptStarted:
		h.attempt(e.Attempt).started = e
	case timeline.AttemptSent:
		a := h.attempt(e.Attempt)
		a.sent = e
		a.end = nil // an attempt that failed before it was sent may be sent to another server
	case timeline.AttemptAnswered:
		a := h.attempt(e.Attempt)
		a.answered = e
		a.setEnd(e)
	case timeline.AttemptFailed, timeline.AttemptDeclined:
		h.attempt(e.Attempt).setEnd(e)
	case timeline.BackendMisattributed:
		h.attempt(e.Attempt).crossed = true
	case timeline.AttemptDiscarded:
		a := h.attempt(e.Attempt)
		a.discarded = true
		a.setEnd(e)
	}
}

func (a *attempt) setEnd(e *timeline.Event) {
	if a.end == nil {
		a.end = e
	}
}

func (h *history) request(id string) *request { return entry(h.requests, id, request{id: id}) }

func (h *history) attempt(id string) *attempt { return entry(h.attempts, id, attempt{id: id}) }

// entry returns the entry of m with this id, which it adds as a copy of added if there is
// none.
func entry[T any](m map[string]*T, id string, added T) *T {
	if e, ok := m[id]; ok {
		return e
	}
	e := new(T)
	*e = added
	m[id] = e
	return e
}

// requestOf returns the request of an attempt, or nil if it is unknown.
func (h *history) requestOf(attemptID string) *request {
	a, ok := h.attempts[attemptID]
	if !ok || a.first() == nil {
		return nil
	}
	return h.requests[a.first().Request]
}

// admittedBetween returns the admissions of a pool that are definitely after from
// and definitely before to.
func (h *history) admittedBetween(pool string, from, to time.Time) []timeline.Event {
	starts := h.admissions[pool]
	low := sort.Search(len(starts), func(i int) bool { return h.definitelyAfter(starts[i].Time, from) })
	high := sort.Search(len(starts), func(i int) bool { return !h.definitelyAfter(to, starts[i].Time) })
	if low >= high {
		return nil
	}
	return starts[low:high]
}

// floor returns the minimum share of dispatches of a class.
func (h *history) floor(class string) float64 {
	if f, ok := h.Floors[class]; ok && f > 0 {
		return f
	}
	return minimumFloor
}

// definitelyAfter reports whether t is after the limit for any clock difference
// within ClockSkew.
func (h *history) definitelyAfter(t, limit time.Time) bool {
	return t.After(limit.Add(h.ClockSkew))
}
