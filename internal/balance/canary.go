package balance

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/rollout"
)

// side is the set of versions from which a server is chosen.
type side int

const (
	oldVersions side = iota
	newVersion
)

// versions filters the servers of a pool by version while an order for a rollout is in
// force. The zero value permits all servers.
type versions struct {
	active     bool
	rule       rollout.Rule
	validUntil boottime.Instant
	credit     rollout.Credit
	subset     map[string]bool // servers for canary requests; nil means all of the version
	barred     map[string]bool // versions of earlier orders that were not complete
	side       side            // of the decision in progress
	requests   uint64          // to the service since the order was seen
	sentNew    uint64          // to servers of the new version
}

// isNew reports whether the server has the version that traffic moves to.
func (v *versions) isNew(s *server) bool { return v.active && s.Version == v.rule.Order.To }

// permits reports whether the server is on the side of the decision in progress. A bound query
// may use the side of its version at any time.
func (v *versions) permits(s *server, q *Query) bool {
	if !v.active {
		return true
	}
	if v.barred[s.Version] {
		return false
	}
	if s.Version != v.rule.Order.To {
		return q.Bound || v.side == oldVersions
	}
	return (q.Bound || v.side == newVersion) && (v.subset == nil || v.subset[s.ID])
}

// blocked reports whether the new version gets no requests now. A rule that was not
// renewed in time blocks it too, since the version may have been found bad while this
// process was suspended. If the version had all traffic and no old server is left, these
// were stopped because the rollout is complete.
func (p *pool) blocked(now boottime.Instant) bool {
	v := &p.versions
	switch {
	case v.rule.Blocked:
		return true
	case v.rule.Phase == rollout.Complete:
		return false
	case !v.rule.Stale && now.Before(v.validUntil):
		return false
	}
	return !v.rule.Only || p.hasUsable(oldVersions)
}

// maySend reports whether a request may still be sent to a server that it was assigned
// to. Old servers are stopped without draining when the rollout is complete, but a bound
// request has no others.
func (p *pool) maySend(now boottime.Instant, s *server, bound bool) bool {
	v := &p.versions
	switch {
	case !v.active:
		return true
	case v.isNew(s):
		return !p.blocked(now)
	case v.barred[s.Version]:
		return false
	}
	return bound || !v.shifted() || !p.hasUsable(newVersion)
}

// shifted reports whether all traffic has shifted to the new version, and this version was
// not found bad since. Old servers may then be stopped at any time.
func (v *versions) shifted() bool { return v.rule.Only && !v.rule.Blocked }

// stops reports whether the platform stops the server, or may do so, because of the
// rollout.
func (v *versions) stops(s *server) bool {
	return v.active && v.isNew(s) != (v.rule.Phase == rollout.Complete)
}

// countRequest counts a request to the service.
func (p *pool) countRequest(now boottime.Instant) {
	v := &p.versions
	if !v.active {
		return
	}
	v.requests++
	fraction := v.rule.Fraction
	if p.blocked(now) {
		fraction = 0
	}
	v.credit.Count(fraction, v.rule.Share)
}

// spend counts a request that is assigned to a server.
func (v *versions) spend(s *server) {
	if !v.isNew(s) {
		return
	}
	v.sentNew++
	v.credit.Spend()
}

// choose returns the server for a request, nil when there is none. While a rollout
// progresses, a request goes to the new version only if the credit allows, or if that
// version gets all traffic. A retry goes to an old server, as long as these get requests.
// Once all traffic has shifted, requests wait while the rule is stale or has expired. Bound
// queries go to their version, unless the rollout bars it.
func (b *Balancer) choose(now boottime.Instant, p *pool, q *Query) *server {
	if b.reserved(now, p, q) || p.bars(now, q) {
		return nil
	}
	v := &p.versions
	if !v.active || q.Bound {
		return b.chooseOnSide(now, p, q)
	}
	switch {
	case p.blocked(now):
		if v.shifted() && p.hasUsable(newVersion) {
			return nil // old servers may have been stopped, and the new version found bad
		}
		v.side = oldVersions
		return b.chooseOnSide(now, p, q)
	case v.rule.Only:
		v.side = newVersion
		if !p.hasUsable(newVersion) {
			// They still run, or were started after the rollout with a version of their own.
			v.side = oldVersions
		}
		return b.chooseOnSide(now, p, q)
	case v.credit.Allows() && len(q.Tried) == 0:
		v.side = newVersion
		if s := b.chooseOnSide(now, p, q); s != nil {
			return s
		}
	}
	v.side = oldVersions
	return b.chooseOnSide(now, p, q)
}

// hasUsable reports whether a server of the side takes requests.
func (p *pool) hasUsable(of side) bool {
	for _, s := range p.servers {
		if s.usable() && !p.versions.barred[s.Version] && p.versions.isNew(s) == (of == newVersion) {
			return true
		}
	}
	return false
}

// SetRollout sets the rule of the order in force for a service. The new version gets no
// requests after the given time unless the rule is renewed. Waiting requests are assigned
// anew.
func (b *Balancer) SetRollout(r rollout.Rule, valid time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	p := b.pool(r.Order.Service)
	v := &p.versions
	if !v.active || v.rule.Order.Revision != r.Order.Revision {
		*v = versions{active: true, credit: rollout.NewCredit(rand.Float64()), barred: v.barredFor(r.Order)}
	}
	v.rule, v.validUntil = r, now.Add(valid)
	v.subset = nil
	if r.Phase == rollout.Progressing && r.Fraction < 1 {
		v.subset = rollout.Subset(r.Order, p.newServers(), r.Fraction)
	}
	b.dispatch(now, p)
}

// barredFor returns the versions that get no requests under the next order, although they
// are not the one that it names: those of orders that did not complete, since they may be
// bad.
func (v *versions) barredFor(next rollout.Order) map[string]bool {
	barred := map[string]bool{}
	maps.Copy(barred, v.barred)
	if v.active && v.rule.Phase != rollout.Complete {
		barred[v.rule.Order.To] = true
	}
	delete(barred, next.To)
	return barred
}

// newServers returns the IDs of the usable servers of the new version.
func (p *pool) newServers() []string {
	var ids []string
	for _, s := range p.servers {
		if s.usable() && p.versions.isNew(s) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// ClearRollout ends the effect of an order on a service.
func (b *Balancer) ClearRollout(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(service)
	p.versions = versions{}
	b.dispatch(b.now(), p)
}

// RolloutCounts are numbers about the servers of a service with an order in force.
type RolloutCounts struct {
	NewServers int // usable servers of the new version
	OldServers int // listed servers of other versions
	OldFlight  int // this instance's requests on old servers
	Requests   uint64
	SentNew    uint64 // requests assigned to the new version
}

// RolloutCounts returns the numbers of a service; they are zero without an order.
func (b *Balancer) RolloutCounts(service string) RolloutCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(service)
	v := &p.versions
	c := RolloutCounts{Requests: v.requests, SentNew: v.sentNew}
	for _, s := range p.servers {
		switch {
		case !v.active:
		case !v.isNew(s):
			c.OldServers++
			c.OldFlight += s.inFlight
		case s.usable():
			c.NewServers++
		}
	}
	return c
}
