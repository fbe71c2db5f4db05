package balance

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// paused reports whether the server gets no request now because of a pause that it asked
// for. After the pause, one request at a time is its trial until an answer comes, so that
// the requests that wait for the end do not arrive together.
func (s *server) paused(now boottime.Instant) bool {
	return s.stated.Paused(now) || s.stated.OnTrial() && s.trialRunning
}

// pauses are the pauses of all servers that could run a request.
type pauses struct {
	// all is true when each usable server is paused or was tried already, and at least
	// one is paused.
	all bool
	// firstEnd is the earliest end of a pause, firstUntriedEnd that of a server that was
	// not tried. Zero means that there is none.
	firstEnd, firstUntriedEnd boottime.Instant
}

func (p *pool) pauses(now boottime.Instant, q *Query) pauses {
	var found pauses
	for _, s := range p.servers {
		if !s.usable() {
			continue
		}
		tried := slices.Contains(q.Tried, s.ID)
		if !s.stated.Paused(now) {
			if !tried {
				return pauses{}
			}
			continue
		}
		end := s.stated.PausedUntil()
		found.firstEnd = earlier(found.firstEnd, end)
		if !tried {
			found.firstUntriedEnd = earlier(found.firstUntriedEnd, end)
		}
	}
	found.all = !found.firstEnd.IsZero()
	return found
}

// earlier returns the earlier of two instants, of which a is ignored if it is zero.
func earlier(a, b boottime.Instant) boottime.Instant {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// outlast reports whether no server that the request may use is out of its pause after the
// given wait.
func (p pauses) outlast(now boottime.Instant, wait time.Duration) bool {
	return p.all && (p.firstUntriedEnd.IsZero() || now.Add(wait).Before(p.firstUntriedEnd))
}

// retryAfter returns the time until the first pause ends. It is zero unless all servers
// are paused.
func (p pauses) retryAfter(now boottime.Instant) time.Duration {
	if !p.all {
		return 0
	}
	return p.firstEnd.Sub(now)
}
