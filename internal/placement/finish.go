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
			l.Observe(now, shown(j, o))
		}
	})
	if !o.Whole {
		return
	}
	if o.FirstToken > 0 {
		j.class.firstToken.Add(now, o.FirstToken)
	}
	j.class.whole.Add(now, now.Sub(h.started))
	j.class.answered(o.OutputTokens)
	used := float64(o.OutputTokens) + inputCost*float64(j.request.InputTokens)
	j.pool.queue.Correct(j.class.spec.Name, j.request.Organisation, used-j.cost)
}

func shown(j *Job, o traffic.Observation) routing.Shown {
	spec := j.class.spec
	s := routing.Shown{
		Good:       o.Whole,
		FirstToken: o.FirstToken,
		Between:    o.BetweenMean,
		Slow: spec.FirstToken > 0 && o.FirstToken > time.Duration(spec.FirstToken) ||
			spec.BetweenTokens > 0 && o.BetweenMean > time.Duration(spec.BetweenTokens),
	}
	if o.Failure != nil {
		s.Failed = serverFault(o.Failure.Code)
		s.Crashed = o.Failure.Crashed
	}
	return s
}

// serverFault reports whether a failure tells against the backend server.
func serverFault(code result.Code) bool {
	switch code {
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
