package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// preemptAfterShare is the fraction of its target for the time to first token
// that a job waits before it preempts a job of a lower tier.
const preemptAfterShare = 0.5

// preempt requests running jobs of lower tiers to release their slots for the
// first job of each queue that would otherwise miss its target. Each waiting
// job preempts at most one other job.
func (e *Engine) preempt(now time.Time, p *pool) {
	if p.free > 0 || e.options.Queue.FIFO {
		return
	}
	for _, c := range p.byTier {
		if c.spec.FirstToken <= 0 {
			continue
		}
		entry := p.queue.Head(c.spec.Name)
		if entry == nil || entry.Value.hasPreempted {
			continue
		}
		j := entry.Value
		delay := time.Duration(preemptAfterShare * float64(c.spec.FirstToken))
		if now.Sub(j.request.Arrived) < delay {
			continue
		}
		if victim := p.victimFor(j); victim != nil {
			j.hasPreempted = true
			e.requestPreemption(victim, j)
		}
	}
}

// victimFor returns the running job to be preempted for j, or nil if there is
// none: the newest job of the lowest tier, so that the least work is lost. Only
// idempotent model requests can be resumed on another server. Jobs that were
// started for the guaranteed minimum share of their class are not preempted.
func (p *pool) victimFor(j *Job) *Job {
	for tier := config.TierCount; tier > j.tier(); tier-- {
		for v := p.running[tier].newest; v != nil; v = v.older {
			if v.request.Idempotent && !v.request.Plain && !v.startedByFloor && !v.preempting && len(v.held) > 0 {
				return v
			}
		}
	}
	return nil
}

func (e *Engine) requestPreemption(victim, j *Job) {
	victim.preempting = true
	e.recorder.Record(timeline.Event{
		Kind: timeline.RequestPreempted, Request: victim.request.ID, Organisation: victim.request.Organisation,
		Service: victim.pool.name, Class: victim.class.spec.Name, Tier: victim.tier(), OtherTier: j.tier(),
		Server: victim.held[0].target.Server,
	})
	victim.listener.Preempt()
}
