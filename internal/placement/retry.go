package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// maxAttempts bounds the number of attempts per request.
const maxAttempts = 4

// Retry requests another target after a failed attempt. The outcome is reported
// to the listener. An attempt that was sent consumes the class's retry budget.
// One that was not sent cost the backend servers nothing, so it only counts
// towards maxAttempts.
func (e *Engine) Retry(now time.Time, j *Job, failed traffic.Failure) {
	r := j.request
	if refusal := e.mayRetry(now, j, failed); refusal != nil {
		j.listener.Refused(refusal)
		return
	}
	j.tried = append(j.tried, failed.Target.Server)
	j.waitDeadline = deadlineOf(r)
	j.entry = admission.Entry[*Job]{
		Value:        j,
		Class:        j.class.spec.Name,
		Organisation: r.Organisation,
		Arrived:      r.Arrived,
		Urgent:       true,
	}
	if _, err := j.pool.queue.Push(&j.entry); err != nil {
		j.listener.Refused(r.Gate.Refuse(result.UnknownClass, "%v", err))
		return
	}
	j.pool.refresh(now, e.store.Members)
	e.dispatch(now, j.pool)
}

// mayRetry returns the refusal if the job may not have another attempt, or nil
// if it may.
func (e *Engine) mayRetry(now time.Time, j *Job, failed traffic.Failure) *result.Error {
	r := j.request
	switch {
	case j.pool == nil || e.stopped || e.pools[j.pool.name] != j.pool:
		return r.Gate.Refuse(failed.Code, "attempt on %q failed and no other is possible", failed.Target.Server)
	case failed.Sent && !r.Idempotent:
		return result.MayHaveRun(result.OutcomeUnknown, "the answer of %q was lost", failed.Target.Server)
	case j.attempts >= maxAttempts:
		return r.Gate.Refuse(failed.Code, "%d attempts failed, the last on %q", j.attempts, failed.Target.Server)
	case !now.Before(deadlineOf(r)):
		return r.Gate.Refuse(failed.Code, "the deadline passed after an attempt on %q", failed.Target.Server)
	case failed.Sent && !e.options.NoRetryBudget && !j.class.budget.Take(now):
		return r.Gate.Refuse(result.RetryBudgetSpent, "class %q has no retries left", j.class.spec.Name).
			WithRetryAfter(e.retryAfter(0))
	}
	return nil
}

// Hedge returns a second target to run in parallel with an attempt. It requires
// an empty queue, a free slot and a retry from the class's budget.
func (e *Engine) Hedge(now time.Time, j *Job, running traffic.Target) (traffic.Target, bool) {
	p := j.pool
	if p == nil || !j.request.Idempotent || j.attempts >= maxAttempts || p.queue.Len() > 0 {
		return traffic.Target{}, false
	}
	p.refresh(now, e.store.Members)
	if p.free <= 0 {
		return traffic.Target{}, false
	}
	q := e.query(now, j)
	e.applyReserve(now, j, &q)
	q.Tried = append([]string{running.Server}, j.tried...)
	c := e.router.Pick(&q, p.servers, p.prefixes)
	if c == nil || !j.class.budget.Take(now) {
		return traffic.Target{}, false
	}
	return e.hold(now, j, c), true
}
