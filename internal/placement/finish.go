package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routing"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// Observe releases the slot of an attempt and records its outcome. A target
// that the job does not hold is ignored.
func (e *Engine) Observe(now time.Time, j *Job, o traffic.Observation) {
	i := j.heldIndex(o.Target)
	if i < 0 {
		return
	}
	h := j.held[i]
	e.release(now, j, i)
	e.recordObservation(now, j, h, o)
	e.dispatch(now, j.pool)
}

// recordObservation updates the state of the server and of the class.
func (e *Engine) recordObservation(now time.Time, j *Job, h heldTarget, o traffic.Observation) {
	l := h.candidate.Live
	e.recordStateChange(l, func() {
		l.ObserveEpoch(now, o.Epoch)
		if h.target.Epoch == l.Epoch() || o.Complete {
			l.Observe(now, j.pool.outcome(now, j, o))
		}
	})
	if !o.Complete {
		j.class.recordTruncated(now, j.request.Deadline, now.Sub(h.started))
		return
	}
	if o.FirstToken > 0 {
		j.class.firstTokens.Observe(now, o.FirstToken)
	}
	j.class.durations.Observe(now, now.Sub(h.started))
	j.class.recordOutput(o.OutputTokens)
	used := float64(o.OutputTokens) + inputTokenCost*float64(j.request.InputTokens)
	j.pool.queue.AdjustCost(j.class.spec.Name, j.request.Organisation, used-j.cost)
}

// targetMargin is the fraction of a target above which an answer counts as
// slow, so that the concurrency limit adapts before targets are missed.
const targetMargin = 0.85

// outcome converts an observation to what it shows of the server. Requests of
// all classes share a server's batch. The time between tokens is therefore
// compared with the strictest target of the classes that recently used the
// pool, whichever class the answer belongs to.
func (p *pool) outcome(now time.Time, j *Job, o traffic.Observation) routing.Outcome {
	out := routing.Outcome{
		Complete:      o.Complete,
		FirstToken:    o.FirstToken,
		InputTokens:   j.request.InputTokens,
		TokenInterval: o.BetweenMean,
		Slow:          exceedsMargin(o.FirstToken, time.Duration(j.class.spec.FirstToken)),
		SlowStream:    exceedsMargin(o.BetweenMean, p.strictestTokenInterval(now)),
	}
	if o.Failure != nil {
		out.Failed = serverFault(o.Failure)
		out.Crashed = o.Failure.Crashed
		out.Unreachable = o.Failure.Code == result.ConnectFailed
	}
	return out
}

// exceedsMargin reports whether a duration exceeds the safe fraction of a
// target. A target of zero means none.
func exceedsMargin(d, target time.Duration) bool {
	return target > 0 && float64(d) > targetMargin*float64(target)
}

// strictestTokenInterval returns the shortest target for the time between
// tokens among the classes whose tiers recently had requests in this pool. Zero
// means that there is none.
func (p *pool) strictestTokenInterval(now time.Time) time.Duration {
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

// serverFault reports whether a failure is attributed to the backend server. A
// timeout on a reused connection is attributed to the connection alone, and a refusal
// with a pause to nobody.
func serverFault(f *traffic.Failure) bool {
	if f.Paused || f.Reused && f.Code == result.AttemptTimeout {
		return false
	}
	switch f.Code {
	case result.ConnectFailed, result.AttemptTimeout, result.StreamBroken,
		result.AnswerCrossed, result.BackendServerError:
		return true
	}
	return false
}

// release releases a held target.
func (e *Engine) release(now time.Time, j *Job, i int) {
	h := j.held[i]
	j.held = append(j.held[:i], j.held[i+1:]...)
	h.candidate.Live.EndAttempt(h.trial)
	p := j.pool
	p.free++
	p.use.add(h.candidate, j.tier(), -1)
	p.recordHold(now.Sub(h.started))
}

// recordHold adds the time for which an attempt held its slot to the mean.
func (p *pool) recordHold(d time.Duration) {
	if p.meanHold == 0 {
		p.meanHold = d
		return
	}
	p.meanHold += time.Duration(meanHoldWeight * float64(d-p.meanHold))
}

// Release releases a target without recording an outcome for its server.
func (e *Engine) Release(now time.Time, j *Job, t traffic.Target) {
	if i := j.heldIndex(t); i >= 0 {
		e.release(now, j, i)
		e.dispatch(now, j.pool)
	}
}

// Abandon ends a job's wait without an outcome. It has no effect on a job that
// is not waiting.
func (e *Engine) Abandon(now time.Time, j *Job) {
	if j.pool == nil || !j.entry.Waiting() {
		return
	}
	j.pool.queue.Remove(&j.entry)
	e.dispatch(now, j.pool)
}

// Finish ends a job and releases everything it holds. It is idempotent.
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
	e.dispatch(now, j.pool)
}
