package balance

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// choice is an eligible server with its estimated cost in milliseconds.
type choice struct {
	server *server
	cost   float64
}

// chooseOnSide returns the eligible server on the pool's side with the lowest cost, nil
// when there is none. Suspect servers are used only when every usable server is suspect.
func (b *Balancer) chooseOnSide(now boottime.Instant, p *pool, q *Query) *server {
	b.updateTightSet(now, p)
	affinity := b.affinityServer(now, p, q)
	var best, fallback choice
	for _, s := range p.servers {
		if !b.eligible(now, p, s, q) {
			continue
		}
		c := choice{server: s, cost: b.options.Scorer.Cost(q, b.candidate(now, p, s, q, affinity))}
		if s.suspect(now) {
			fallback = cheaper(fallback, c)
			continue
		}
		best = cheaper(best, c)
	}
	if best.server == nil && p.allSuspect(now, q) {
		return fallback.server
	}
	return best.server
}

func cheaper(a, b choice) choice {
	if a.server == nil || b.cost < a.cost {
		return b
	}
	return a
}

// eligible reports whether the server can accept the request now.
func (b *Balancer) eligible(now boottime.Instant, p *pool, s *server, q *Query) bool {
	if !s.usableFor(q) || s.paused(now) || now.Before(s.fullUntil) || s.inFlight >= b.inFlightLimit(p, s) {
		return false
	}
	if q.tried(s) || !p.versions.permits(s, q) {
		return false
	}
	return b.mayAdd(now, p, s)
}

// affinityServer returns the server that all instances prefer for requests with the
// same prefix, so that its cache is used. It is the server with the highest
// rendezvous weight, among usable servers that are neither cold nor suspect and whose
// own rate limit leaves room for this instance. If that one started much later than the runner-up, it is the runner-up, which
// probably still caches the prefix.
func (b *Balancer) affinityServer(now boottime.Instant, p *pool, q *Query) *server {
	key, ok := q.affinityKey()
	if !ok || !p.engine {
		return nil
	}
	set := p.tightSet.forAffinity(q)
	var first, second *server
	var highest, next uint64
	for _, s := range p.servers {
		if !s.usableFor(q) || !p.versions.permits(s, q) || s.cold(now) || s.suspect(now) || !set.allows(s) || !b.mayAdd(now, p, s) {
			continue
		}
		switch w := rendezvous(key, s.ID); {
		case first == nil || w > highest:
			second, next = first, highest
			first, highest = s, w
		case second == nil || w > next:
			second, next = s, w
		}
	}
	if second != nil && first.youngerThan(second) {
		return second
	}
	return first
}

// minAgeGap is the difference between the start times of two servers from which
// affinity stays with the older one.
const minAgeGap = 10 * time.Second

func (s *server) youngerThan(other *server) bool {
	return s.StartedMillis-other.StartedMillis > minAgeGap.Milliseconds()
}
