package scheduler

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/placement"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// outcome ends one wait: a target or a refusal.
type outcome struct {
	target  traffic.Target
	refusal *result.Error
}

// ticket implements traffic.Ticket for callers and placement.Listener for the
// engine, which calls it under the scheduler's lock.
type ticket struct {
	scheduler     *Scheduler
	request       *traffic.Request
	job           *placement.Job
	first         traffic.Target
	outcome       chan outcome // buffered; holds at most the outcome of the current wait
	preempted     chan struct{}
	preemptClosed bool // preempted is closed; guarded by the scheduler's lock
}

var (
	_ traffic.Ticket     = (*ticket)(nil)
	_ placement.Listener = (*ticket)(nil)
)

// Started implements placement.Listener.
func (t *ticket) Started(target traffic.Target) { t.outcome <- outcome{target: target} }

// Refused implements placement.Listener.
func (t *ticket) Refused(refusal *result.Error) { t.outcome <- outcome{refusal: refusal} }

// Preempt implements placement.Listener.
func (t *ticket) Preempt() {
	if t.preemptClosed {
		return
	}
	t.preemptClosed = true
	close(t.preempted)
}

// wait returns the outcome of the current wait. If ctx ends first, it abandons
// the wait and returns a refusal.
func (t *ticket) wait(ctx context.Context) (traffic.Target, *result.Error) {
	select {
	case o := <-t.outcome:
		return o.target, o.refusal
	default:
	}
	select {
	case o := <-t.outcome:
		return o.target, o.refusal
	case <-ctx.Done():
	}
	t.scheduler.do(t.abandon)
	return traffic.Target{}, t.request.Gate.Refuse(result.CallerGone, "the caller left while the request waited")
}

// abandon ends the current wait and releases a target that was assigned at the
// same moment. The caller holds the scheduler's lock.
func (t *ticket) abandon(now time.Time) {
	t.scheduler.engine.Abandon(now, t.job)
	select {
	case o := <-t.outcome:
		if o.refusal == nil {
			t.scheduler.engine.Release(now, t.job, o.target)
		}
	default:
	}
}

// First implements traffic.Targets.
func (t *ticket) First() traffic.Target { return t.first }

// Next implements traffic.Targets.
func (t *ticket) Next(ctx context.Context, failed traffic.Failure) (traffic.Target, *result.Error) {
	t.scheduler.do(func(now time.Time) {
		t.scheduler.engine.Retry(now, t.job, failed)
	})
	return t.wait(ctx)
}

// Hedge implements traffic.Targets.
func (t *ticket) Hedge(running traffic.Target) (traffic.Target, bool) {
	var target traffic.Target
	var ok bool
	t.scheduler.do(func(now time.Time) {
		target, ok = t.scheduler.engine.Hedge(now, t.job, running)
	})
	return target, ok
}

// Observe implements traffic.Targets.
func (t *ticket) Observe(o traffic.Observation) {
	t.scheduler.do(func(now time.Time) {
		t.scheduler.engine.Observe(now, t.job, o)
	})
}

// Stated implements traffic.Targets.
func (t *ticket) Stated(s traffic.Statement) {
	t.scheduler.do(func(now time.Time) {
		t.scheduler.engine.Stated(now, s)
	})
}

// Wanted implements traffic.Targets.
func (t *ticket) Wanted(target traffic.Target) bool {
	wanted := false
	t.scheduler.do(func(now time.Time) {
		wanted = t.scheduler.engine.Wanted(now, target)
	})
	return wanted
}

// Preempted implements traffic.Targets.
func (t *ticket) Preempted() <-chan struct{} { return t.preempted }

// Done implements traffic.Ticket.
func (t *ticket) Done() {
	t.scheduler.do(func(now time.Time) {
		t.scheduler.engine.Finish(now, t.job)
	})
}
