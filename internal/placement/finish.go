package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routing"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// Observe frees the slot of an attempt and takes what it showed. A target that
// the job does not hold is ignored.
func (e *Engine) Observe(now time.Time, j *Job, o traffic.Observation) {
	i := j.holding(o.Target)
	if i < 0 {
		return
	}
	h := j.held[i]
	e.release(now, j, i)
	e.learn(now, j, h, o)
	e.pump(now, j.pool)
}

// learn updates what is known of the server and of the class.
func (e *Engine) learn(now time.Time, j *Job, h held, o traffic.Observation) {
	l := h.candidate.Live
	e.watch(l, func() {
		l.SeeEpoch(now, o.Epoch)
		if h.target.Epoch == l.Epoch() || o.Whole {
			l.Observe(now, j.pool.shown(now, j, o))
		}
	})
	if !o.Whole {
		j.class.cutOff(now, j.request.Deadline, now.Sub(h.started))
		return
	}
	if o.FirstToken > 0 {
		j.class.firstToken.Add(now, o.FirstToken)
	}
	j.class.whole.Add(now, now.Sub(h.started))
	j.class.answered(o.OutputTokens)
	used := float64(o.OutputTokens) + inputCost*float64(j.request.InputTokens)
	j.pool.queue.Learn(j.class.spec.Name, j.request.Organisation, used-j.cost)
}

// targetMargin is the part of a target beyond which an answer counts as slow, so
// that the concurrency limit settles before targets are missed.
const targetMargin = 0.85

// shown judges an answer. Requests of all classes share a server's batch, so the
// time between tokens is held against the strictest target of the classes that
// recently used the pool, whichever class the answer is of.
func (p *pool) shown(now time.Time, j *Job, o traffic.Observation) routing.Shown {
	s := routing.Shown{
		Good:       o.Whole,
		FirstToken: o.FirstToken,
		Input:      j.request.InputTokens,
		Between:    o.BetweenMean,
		Slow:       beyond(o.FirstToken, time.Duration(j.class.spec.FirstToken)),
		SlowStream: beyond(o.BetweenMean, p.strictestBetween(now)),
	}
	if o.Failure != nil {
		s.Failed = serverFault(o.Failure)
		s.Crashed = o.Failure.Crashed
		s.Dead = o.Failure.Code == result.ConnectFailed
	}
	return s
}

// beyond reports whether a time exceeds the safe part of a target; zero is none.
func beyond(d, target time.Duration) bool {
	return target > 0 && float64(d) > targetMargin*float64(target)
}

// strictestBetween is the shortest target between tokens of the classes whose
// tiers recently had requests here; zero when there is none.
func (p *pool) strictestBetween(now time.Time) time.Duration {
	strictest := time.Duration(0)
	for _, c := range p.byTier {
		between := time.Duration(c.spec.BetweenTokens)
		if between <= 0 || !p.active(now, c.spec.Tier) {
			continue
		}
		if strictest == 0 || between < strictest {
			strictest = between
		}
	}
	return strictest
}

// serverFault reports whether a failure tells against the backend server. A
// connection that went silent after earlier use tells against itself alone.
func serverFault(f *traffic.Failure) bool {
	if f.Reused && f.Code == result.AttemptTimeout {
		return false
	}
	switch f.Code {
	case result.ConnectFailed, result.AttemptTimeout, result.StreamBroken,
		result.AnswerCrossed, result.BackendServerError:
		return true
	}
	return false
}

// release frees a held target.
func (e *Engine) release(now time.Time, j *Job, i int) {
	h := j.held[i]
	j.held = append(j.held[:i], j.held[i+1:]...)
	h.candidate.Live.Ended()
	p := j.pool
	p.free++
	p.use.add(h.candidate, j.tier(), -1)
	p.held(now.Sub(h.started))
}

// held takes the time for which an attempt held its slot.
func (p *pool) held(d time.Duration) {
	if p.holding == 0 {
		p.holding = d
		return
	}
	p.holding += time.Duration(holdingWeight * float64(d-p.holding))
}

// Release frees a target without telling anything about its server.
func (e *Engine) Release(now time.Time, j *Job, t traffic.Target) {
	if i := j.holding(t); i >= 0 {
		e.release(now, j, i)
		e.pump(now, j.pool)
	}
}

// Abandon ends a job's wait without an outcome. It does nothing for one that does
// not wait.
func (e *Engine) Abandon(now time.Time, j *Job) {
	if j.pool == nil || !j.entry.Waiting() {
		return
	}
	j.pool.queue.Remove(&j.entry)
	e.pump(now, j.pool)
}

// Finish ends a job and frees everything it holds. It is idempotent.
func (e *Engine) Finish(now time.Time, j *Job) {
	if j.pool == nil {
		return
	}
	j.pool.queue.Remove(&j.entry)
	for len(j.held) > 0 {
		e.release(now, j, 0)
	}
	if j.admitted {
		j.admitted = false
		j.class.running--
		j.pool.running[j.tier()].remove(j)
	}
	e.pump(now, j.pool)
}
