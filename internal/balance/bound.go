package balance

import (
	"maps"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// A query is bound if it goes on with a run of which the caller holds a part. Only servers of
// the software version that began the run may take it, since the parts that two versions write
// do not fit together.

// takes reports whether the server's version may run the query.
func (q *Query) takes(s *server) bool { return !q.Bound || s.Version == q.BoundVersion }

// usableFor reports whether the server accepts new work, and its version may run the query.
func (s *server) usableFor(q *Query) bool { return q.takes(s) && s.usable() }

// bars reports whether a rollout keeps all bound queries from their version: it was found bad,
// or may have been.
func (p *pool) bars(now boottime.Instant, q *Query) bool {
	v := &p.versions
	if !q.Bound || !v.active {
		return false
	}
	return v.barred[q.BoundVersion] || q.BoundVersion == v.rule.Order.To && p.blocked(now)
}

// lists reports whether a server of the version that a bound query needs is listed and does
// not leave, so that it may take the query later.
func (p *pool) lists(q *Query) bool {
	for _, s := range p.servers {
		if q.takes(s) && !s.leaving() {
			return true
		}
	}
	return false
}

// lacksServer reports whether the wait of a bound query is in vain: no server of its version
// is left that it was not sent to yet.
func (p *pool) lacksServer(now boottime.Instant, q *Query) bool {
	if !q.Bound {
		return false
	}
	if p.bars(now, q) {
		return true
	}
	for _, s := range p.servers {
		if s.usableFor(q) && !q.tried(s) {
			return false
		}
	}
	return true
}

// queueFor returns the queue in which a query waits. Bound queries wait by version, so that one
// whose servers are full does not hold up those that have others.
func (p *pool) queueFor(q *Query) *admission.Queue[*waiter] {
	if !q.Bound {
		return p.waiting
	}
	queue := p.bound[q.BoundVersion]
	if queue == nil {
		queue = newQueue()
		p.bound[q.BoundVersion] = queue
	}
	return queue
}

// dispatchBound assigns waiting bound queries. They come before the others, since they have
// fewer servers to go to.
func (b *Balancer) dispatchBound(now boottime.Instant, p *pool) {
	if len(p.bound) == 0 {
		return
	}
	for _, version := range slices.Sorted(maps.Keys(p.bound)) {
		queue := p.bound[version]
		b.dispatchQueue(now, p, queue)
		if queue.Len() == 0 {
			delete(p.bound, version)
		}
	}
}

// waitingRequests returns the number of queries that wait.
func (p *pool) waitingRequests() int {
	n := p.waiting.Len()
	for _, queue := range p.bound {
		n += queue.Len()
	}
	return n
}

// Successor returns the version and the start, in Unix milliseconds, of another process than the
// assigned one that the directory now lists under the server's id. A start of zero is unknown.
// ok is false if it lists none.
func (a *Assignment) Successor() (version string, startedMillis int64, ok bool) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return a.successor()
}

func (a *Assignment) successor() (version string, startedMillis int64, ok bool) {
	listed := a.balancer.servers[a.Server]
	if listed == nil || listed.Version == a.Version && listed.StartedMillis == a.StartedMillis {
		return "", 0, false
	}
	return listed.Version, listed.StartedMillis, true
}
