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
	// noServerWait is how long a request waits for a pool without any server.
	noServerWait = 2 * time.Second
	// retryAfterLeast is the shortest delay that a refusal asks for.
	retryAfterLeast = time.Second
)

// Submit takes a new request. The listener hears the outcome, at the latest when
// the class's queue limit is over and Tick is called.
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
	if down := e.dependencyDown(p, 0); down != "" {
		l.Refused(r.Gate.Refuse(result.DependencyDown, "%q depends on %q, which has no backend server", r.Pool, down).
			WithRetryAfter(retryAfterLeast))
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

// maxDependencyDepth stops a walk over dependencies that a configuration should
// not contain.
const maxDependencyDepth = 16

// dependencyDown returns the first pool that p depends on and that has no server.
func (e *Engine) dependencyDown(p *pool, depth int) string {
	if depth > maxDependencyDepth {
		return ""
	}
	for _, name := range p.servers.DependsOn {
		d := e.pools[name]
		if d == nil {
			return name
		}
		if !d.servers.Up() && (!d.servers.Plain || len(d.servers.Candidates) > 0) {
			return name
		}
		if down := e.dependencyDown(d, depth+1); down != "" {
			return down
		}
	}
	return ""
}

func (e *Engine) enqueue(now time.Time, j *Job) {
	p, r := j.pool, j.request
	p.seen[j.tier()] = now
	p.refresh(now, e.store.Members)
	j.cost = j.class.expectedCost(r.InputTokens)
	j.expires = e.waitEnds(now, j)
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
	e.pump(now, p)
	if !j.entry.Waiting() {
		return
	}
	if e.hopeless(now, j, p.wait(now, j)) {
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

func (e *Engine) waitEnds(now time.Time, j *Job) time.Time {
	ends := j.request.Arrived.Add(j.class.queueLimit())
	if !j.pool.servers.Up() {
		ends = earlier(ends, now.Add(noServerWait))
	}
	if !j.request.Deadline.IsZero() {
		ends = earlier(ends, j.request.Deadline)
	}
	return ends
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// hopeless reports whether a waiting job will miss its class's target if it
// waits that much longer. The only waiting job of a class is never hopeless: it
// probes whether the prediction still holds.
func (e *Engine) hopeless(now time.Time, j *Job, wait time.Duration) bool {
	if e.options.NoEarlyRefusal || j.admitted || j.pool.queue.ClassLen(j.class.spec.Name) <= 1 {
		return false
	}
	return j.class.late(now, now.Sub(j.request.Arrived)+wait)
}

// shed refuses the victim of a full queue, which was removed already.
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
	wait := j.pool.wait(now, j)
	j.pool.queue.Remove(&j.entry)
	refusal := j.request.Gate.Refuse(code, format, args...)
	j.listener.Refused(refusal.WithRetryAfter(e.retryAfter(wait)))
}

// retryAfter spreads the callers of a refused crowd over time.
func (e *Engine) retryAfter(wait time.Duration) time.Duration {
	base := max(wait, retryAfterLeast)
	return base + time.Duration(e.random.Float64()*float64(base))
}

// expire refuses the jobs whose wait is over or has become hopeless.
func (e *Engine) expire(now time.Time, p *pool) {
	for _, j := range p.waitingJobs() {
		e.expireJob(now, j)
	}
}

// expireJob refuses a waiting job whose time is over and reports whether it did.
func (e *Engine) expireJob(now time.Time, j *Job) bool {
	switch {
	case !j.entry.Waiting():
		return true
	case !now.Before(j.expires) && !j.pool.servers.Up():
		e.refuse(now, j, result.NoBackendServer, "%q has no backend server", j.pool.name)
	case !now.Before(j.expires):
		e.refuse(now, j, result.QueueTimeout, "class %q waits no longer than %v", j.class.spec.Name, j.class.queueLimit())
	case e.hopeless(now, j, 0):
		e.refuse(now, j, result.DeadlineHopeless, "the target of class %q has passed", j.class.spec.Name)
	default:
		return false
	}
	return true
}

// deadlineOf returns when the caller's answer must be complete.
func deadlineOf(r *traffic.Request) time.Time {
	if r.Deadline.IsZero() {
		return r.Arrived.Add(config.DefaultDeadline)
	}
	return r.Deadline
}
