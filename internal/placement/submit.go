package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const (
	// noServerTimeout is how long a request waits for a pool without any usable
	// server.
	noServerTimeout = 2 * time.Second
	// minRetryAfter is the shortest delay that a refusal proposes to the
	// caller.
	minRetryAfter = time.Second
)

// Submit adds a new request. The outcome is reported to the listener, at the
// latest by the first Tick after the class's queue limit.
func (e *Engine) Submit(now time.Time, r *traffic.Request, l Listener) *Job {
	j := &Job{request: r, listener: l}
	if e.stopped {
		l.Refused(r.Gate.Refuse(result.InstanceDraining, "the instance stops"))
		return j
	}
	p := e.pools[r.Pool]
	if p == nil {
		l.Refused(r.Gate.Refuse(result.NoBackendServer, "%q is not configured", r.Pool))
		return j
	}
	if down := e.unavailableDependency(p, 0); down != "" {
		l.Refused(r.Gate.Refuse(result.DependencyDown, "%q depends on %q, which has no backend server", r.Pool, down).
			WithRetryAfter(minRetryAfter))
		return j
	}
	j.pool = p
	j.class = p.classes[r.Class.Name]
	if j.class == nil {
		l.Refused(r.Gate.Refuse(result.UnknownClass, "class %q is not configured", r.Class.Name))
		return j
	}
	e.enqueue(now, j)
	return j
}

// maxDependencyDepth bounds the recursion over dependencies in case of a cycle,
// which the validation of configurations rejects.
const maxDependencyDepth = 16

// unavailableDependency returns the name of the first pool on which p depends,
// directly or indirectly, that has no usable server. It returns "" if there is
// none. A plain service without configured servers does not count as
// unavailable.
func (e *Engine) unavailableDependency(p *pool, depth int) string {
	if depth > maxDependencyDepth {
		return ""
	}
	for _, name := range p.servers.DependsOn {
		d := e.pools[name]
		if d == nil {
			return name
		}
		if !d.servers.Available() && (!d.servers.Plain || len(d.servers.Candidates) > 0) {
			return name
		}
		if down := e.unavailableDependency(d, depth+1); down != "" {
			return down
		}
	}
	return ""
}

func (e *Engine) enqueue(now time.Time, j *Job) {
	p, r := j.pool, j.request
	p.lastRequest[j.tier()] = now
	p.refresh(now, e.store.Members)
	j.cost = j.class.expectedCost(r.InputTokens)
	j.waitDeadline = e.waitDeadline(now, j)
	j.entry = admission.Entry[*Job]{
		Value:        j,
		Class:        j.class.spec.Name,
		Organisation: r.Organisation,
		Weight:       e.weight(r.Organisation),
		Cost:         j.cost,
		Arrived:      r.Arrived,
	}
	victim, err := p.queue.Push(&j.entry)
	if err != nil {
		j.listener.Refused(r.Gate.Refuse(result.UnknownClass, "%v", err))
		return
	}
	if victim != nil {
		e.shed(now, victim.Value)
	}
	e.dispatch(now, p)
	if !j.entry.Waiting() || e.refusePaused(now, j) {
		return
	}
	if e.hopeless(now, j, p.predictWait(now, j)) {
		e.refuse(now, j, result.DeadlineHopeless, "the expected wait exceeds the target of class %q", j.class.spec.Name)
		return
	}
	e.recorder.Record(timeline.Event{
		Kind: timeline.RequestQueued, Request: r.ID, Organisation: r.Organisation,
		Service: j.pool.name, Class: j.class.spec.Name, Tier: j.tier(),
	})
	e.preempt(now, p)
}

func (e *Engine) weight(organisation string) float64 {
	if o := e.config.Organisation(organisation); o != nil && o.Weight > 0 {
		return o.Weight
	}
	return 1
}

// waitDeadline returns when the wait of a new job times out.
func (e *Engine) waitDeadline(now time.Time, j *Job) time.Time {
	deadline := j.request.Arrived.Add(j.class.queueLimit())
	if !j.pool.servers.Available() {
		deadline = earlier(deadline, now.Add(noServerTimeout))
	}
	if !j.request.Deadline.IsZero() {
		deadline = earlier(deadline, j.request.Deadline)
	}
	return deadline
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// hopeless reports whether a waiting job will probably miss a target of its
// class if it waits for the given further time. The only waiting job of a class
// is never hopeless: it probes whether the prediction still holds.
func (e *Engine) hopeless(now time.Time, j *Job, wait time.Duration) bool {
	if e.options.NoEarlyRefusal || j.admitted || j.pool.queue.ClassLen(j.class.spec.Name) <= 1 {
		return false
	}
	return j.class.missesTarget(now, now.Sub(j.request.Arrived)+wait)
}

// shed refuses the job that a full queue has dropped.
func (e *Engine) shed(now time.Time, j *Job) {
	lowest := max(j.pool.queue.LowestTier(), j.tier())
	e.recorder.Record(timeline.Event{
		Kind: timeline.RequestShed, Request: j.request.ID, Organisation: j.request.Organisation,
		Service: j.pool.name, Class: j.class.spec.Name, Tier: j.tier(), OtherTier: lowest, Code: result.Shed,
	})
	e.refuse(now, j, result.Shed, "the queue of %q is full", j.pool.name)
}

// refuse ends a job's wait with a refusal.
func (e *Engine) refuse(now time.Time, j *Job, code result.Code, format string, args ...any) {
	wait := j.pool.predictWait(now, j)
	if end, all := j.pool.firstPauseEnd(now); all {
		wait = max(wait, end.Sub(now))
	}
	j.pool.queue.Remove(&j.entry)
	refusal := j.request.Gate.Refuse(code, format, args...)
	j.listener.Refused(refusal.WithRetryAfter(e.retryAfter(wait)))
}

// retryAfter adds random jitter so that callers refused at the same time do not
// retry at the same time.
func (e *Engine) retryAfter(wait time.Duration) time.Duration {
	base := max(wait, minRetryAfter)
	return base + time.Duration(e.random.Float64()*float64(base))
}

// expire refuses the jobs whose wait has expired or has become hopeless.
func (e *Engine) expire(now time.Time, p *pool) {
	for _, j := range p.waitingJobs() {
		e.expireJob(now, j)
	}
}

// expireJob refuses a waiting job whose wait has expired or has become
// hopeless. It reports whether the job no longer waits.
func (e *Engine) expireJob(now time.Time, j *Job) bool {
	switch {
	case !j.entry.Waiting():
		return true
	case !now.Before(j.waitDeadline) && !j.pool.servers.Available():
		e.refuse(now, j, result.NoBackendServer, "%q has no backend server", j.pool.name)
	case !now.Before(j.waitDeadline):
		e.refuse(now, j, result.QueueTimeout, "class %q waits no longer than %v", j.class.spec.Name, j.class.queueLimit())
	case e.refusePaused(now, j):
	case e.hopeless(now, j, 0):
		e.refuse(now, j, result.DeadlineHopeless, "the target of class %q has passed", j.class.spec.Name)
	default:
		return false
	}
	return true
}

// deadlineOf returns the time by which the answer must be complete.
func deadlineOf(r *traffic.Request) time.Time {
	if r.Deadline.IsZero() {
		return r.Arrived.Add(config.DefaultDeadline)
	}
	return r.Deadline
}
