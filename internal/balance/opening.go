package balance

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/sharedlimit"
)

// paused reports whether the server gets no request now because of a pause that it asked
// for. After the pause, one request at a time is its trial until an answer comes, so that
// the requests that wait for the end do not arrive together.
func (s *server) paused(now boottime.Instant) bool {
	return s.stated.Paused(now) || s.stated.OnTrial() && s.trialRunning
}

// opening returns when this instance may send to the server again, if that has stated that
// it wants no request of this instance now, by a pause or a rate limit. The result is false
// if it has not.
func (b *Balancer) opening(now boottime.Instant, s *server) (boottime.Instant, bool) {
	if s.stated.Paused(now) {
		return s.stated.PausedUntil(), true
	}
	rate := s.stated.RateLimit(now)
	if rate == 0 {
		return 0, false
	}
	limit := sharedlimit.PerSecond(rate)
	share := b.namedShare(s, limit)
	if share == 0 {
		return now.Add(b.nextRanking(limit)), true
	}
	at := s.sends.AllowedAt(now, limit.Window, share)
	return at, now.Before(at)
}

// openings are the times at which the servers that could run a request take one again.
type openings struct {
	// all is true when each usable server wants no request now or was tried already, and
	// at least one of them wants none.
	all bool
	// first is the earliest opening, firstUntried that of a server that was not tried.
	// Zero means that there is none.
	first, firstUntried boottime.Instant
}

func (b *Balancer) openings(now boottime.Instant, p *pool, q *Query) openings {
	var found openings
	for _, s := range p.servers {
		if !s.usableFor(q) {
			continue
		}
		tried := q.tried(s)
		at, closed := b.opening(now, s)
		if !closed {
			if !tried {
				return openings{}
			}
			continue
		}
		found.first = earlier(found.first, at)
		if !tried {
			found.firstUntried = earlier(found.firstUntried, at)
		}
	}
	found.all = !found.first.IsZero()
	return found
}

// earlier returns the earlier of two instants, of which a is ignored if it is zero.
func earlier(a, b boottime.Instant) boottime.Instant {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// outlast reports whether no server that the request may use wants one after the given
// wait.
func (o openings) outlast(now boottime.Instant, wait time.Duration) bool {
	return o.all && (o.firstUntried.IsZero() || now.Add(wait).Before(o.firstUntried))
}

// retryAfter returns the time until the first opening. It is zero unless no server wants
// a request now.
func (o openings) retryAfter(now boottime.Instant) time.Duration {
	if !o.all {
		return 0
	}
	return o.first.Sub(now)
}
