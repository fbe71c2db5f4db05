package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// Stated applies what the head of an answer states about its server.
func (e *Engine) Stated(now time.Time, s traffic.Statement) {
	l := e.store.Live(s.Target.Server)
	if l == nil {
		return
	}
	e.recordStateChange(l, func() {
		for _, event := range l.ObserveStatement(s.Epoch, s.Heard(now)).Events(s.Advisory, s.String()) {
			event.Server, event.Zone = s.Target.Server, s.Target.Zone
			e.recorder.Record(event)
		}
	})
}

// Wanted reports whether the target's server still wants requests.
func (e *Engine) Wanted(now time.Time, t traffic.Target) bool {
	l := e.store.Live(t.Server)
	return l == nil || l.Wanted(now)
}

// firstPauseEnd returns when the first server that is paused wants requests again. The
// result is false if some usable server is not paused.
func (p *pool) firstPauseEnd(now time.Time) (time.Time, bool) {
	var first time.Time
	for _, c := range p.servers.Candidates {
		if !c.Usable() {
			continue
		}
		end, paused := c.Live.PausedUntil(now)
		if !paused {
			return time.Time{}, false
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first, !first.IsZero()
}

// refusePaused refuses a waiting job if the pauses of all servers outlast its wait. It
// reports whether it did.
func (e *Engine) refusePaused(now time.Time, j *Job) bool {
	end, all := j.pool.firstPauseEnd(now)
	if !all || end.Before(j.waitDeadline) {
		return false
	}
	e.refuse(now, j, result.NoBackendServer, "all backend servers of %q have asked for a pause", j.pool.name)
	return true
}
