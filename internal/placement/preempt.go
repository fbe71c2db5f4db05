package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// preemptShare is the part of its target that a job waits before it takes the
// slot of a lower tier.
const preemptShare = 0.5

// preempt asks running work of lower tiers to give way to heads of queues that
// would otherwise miss their targets. Each waiting job takes at most one slot.
func (e *Engine) preempt(now time.Time, p *pool) {
	if p.free > 0 || e.options.Queue.FIFO {
		return
	}
	for _, c := range p.byTier {
		if c.spec.FirstToken <= 0 {
			continue
		}
		entry := p.queue.Head(c.spec.Name)
		if entry == nil || entry.Value.asked {
			continue
		}
		j := entry.Value
		patience := time.Duration(preemptShare * float64(c.spec.FirstToken))
		if now.Sub(j.request.Arrived) < patience {
			continue
		}
		if victim := p.preemptible(j); victim != nil {
			j.asked = true
			e.giveWay(victim, j)
		}
	}
}

// preemptible returns the running job that gives way to j: of the lowest tier,
// the newest, so that the least work is lost. Only idempotent model requests can
// be resumed elsewhere; work that runs by its class's floor stays.
func (p *pool) preemptible(j *Job) *Job {
	for tier := config.Tiers; tier > j.tier(); tier-- {
		for v := p.running[tier].newest; v != nil; v = v.older {
			if v.request.Idempotent && !v.request.Plain && !v.floor && !v.preempting && len(v.held) > 0 {
				return v
			}
		}
	}
	return nil
}

func (e *Engine) giveWay(victim, j *Job) {
	victim.preempting = true
	e.recorder.Record(timeline.Event{
		Kind: timeline.RequestPreempted, Request: victim.request.ID, Organisation: victim.request.Organisation,
		Service: victim.pool.name, Class: victim.class.spec.Name, Tier: victim.tier(), OtherTier: j.tier(),
		Server: victim.held[0].target.Server,
	})
	victim.listener.Preempt()
}
