package balance

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// LeavesAt returns when the assigned server stops, according to its row. The result is
// false if the server does not leave or has not stated when.
func (a *Assignment) LeavesAt() (boottime.Instant, bool) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	at := a.server.LeavesAt
	return at, !at.IsZero()
}

// retriesKept is the number of retries that planned continuations leave to requests whose
// attempts fail.
const retriesKept = 1

// TryContinuation consumes one retry from the limit of the query's service, to end a stream
// on a leaving server and continue it on another one. It returns false, and the stream
// should go on where it is, if the limit leaves no more than retriesKept or no other server
// that is not suspect can take the request now.
func (b *Balancer) TryContinuation(q *Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	p := b.pool(q.Service)
	if p.retryWindow.Remaining(time.Duration(now)) < 1+retriesKept {
		return false
	}
	if s := b.choose(now, p, q); s == nil || s.suspect(now) {
		return false
	}
	p.retryWindow.Take(time.Duration(now))
	p.retriesAllowed++
	return true
}
