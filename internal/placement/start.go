package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/routing"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// dispatch starts waiting jobs while servers have free slots.
func (e *Engine) dispatch(now time.Time, p *pool) {
	fits := func(entry *admission.Entry[*Job], due bool) bool {
		return e.fits(now, entry.Value, due)
	}
	for p.free > 0 {
		entry := p.queue.Next(fits)
		if entry == nil {
			return
		}
		e.start(now, entry.Value)
	}
}

// fits reports whether a server can accept the job now, and stores that server
// in j.chosen. It also returns true for a job whose wait has expired; that job
// has been refused and is no longer in the queue. due means that the job is
// needed for the guaranteed minimum share of its class; reserved slots are then
// available to it.
func (e *Engine) fits(now time.Time, j *Job, due bool) bool {
	if e.expireJob(now, j) {
		return true
	}
	j.startedByFloor = due
	q := e.query(now, j)
	if !due {
		e.applyReserve(now, j, &q)
	}
	p := j.pool
	if q.PreemptibleAllowed && p.preemptibleCount > 0 && !q.OnDemandReserved && p.use.onDemandFree > 0 {
		p.capPreemptible(j.tier(), &q)
	}
	j.chosen = e.pick(j, &q)
	return j.chosen != nil
}

// capPreemptible excludes zones whose preemptible load could not be absorbed by
// the remaining servers from an attempt that could also run on an on-demand
// server. It must not be called while no on-demand server is free: the job
// could then only wait, and a lower tier would get the preemptible slot.
func (p *pool) capPreemptible(tier int, q *routing.Query) {
	p.preemptibleFull = append(p.preemptibleFull[:0], make([]bool, len(p.use.preemptible))...)
	p.use.markPreemptibleFull(tier, p.preemptibleFull)
	q.PreemptibleFull = p.preemptibleFull
}

// applyReserve excludes the last free slots, which the pool reserves for higher
// tiers, from an attempt. Slots of preemptible servers are reserved only for
// tiers that may use them.
func (e *Engine) applyReserve(now time.Time, j *Job, q *routing.Query) {
	if e.options.Queue.FIFO {
		return
	}
	p, u := j.pool, &j.pool.use
	q.OnDemandReserved = u.onDemandFree <= admission.Reserve(u.onDemandSlots, p.tiersAbove(now, j.tier(), false))
	if q.PreemptibleAllowed && p.preemptibleCount > 0 {
		reserved := admission.Reserve(u.preemptibleSlots, p.tiersAbove(now, j.tier(), true))
		q.PreemptibleAllowed = u.totalPreemptibleFree() > reserved
	}
}

// pick chooses a server for the job's next attempt, or nil if none is free. A
// retry goes to a server that was already tried only if no other server could
// accept it even with a free slot.
func (e *Engine) pick(j *Job, q *routing.Query) *routing.Candidate {
	p := j.pool
	if q.OnDemandReserved && !(q.PreemptibleAllowed && p.preemptibleCount > 0) {
		return nil
	}
	if c := e.router.Pick(q, p.servers, p.prefixes); c != nil || len(q.Tried) == 0 {
		return c
	}
	if e.router.AnyEligible(q, p.servers) {
		return nil
	}
	q.Tried = nil
	return e.router.Pick(q, p.servers, p.prefixes)
}

func (e *Engine) query(now time.Time, j *Job) routing.Query {
	r := j.request
	q := routing.Query{
		Now:                now,
		Zone:               e.options.Zone,
		Region:             e.region(),
		Tier:               j.tier(),
		PreemptibleAllowed: j.class.spec.AllowPreemptible && r.Idempotent,
		Prefixes:           r.Prefixes,
		InputTokens:        r.InputTokens,
		FirstToken:         time.Duration(j.class.spec.FirstToken),
		TokenInterval:      time.Duration(j.class.spec.BetweenTokens),
		Tried:              j.tried,
		Members:            e.store.Members,
	}
	return q
}

func (e *Engine) region() string {
	for i := range e.config.Config.Zones {
		if z := &e.config.Config.Zones[i]; z.Name == e.options.Zone {
			return z.Region
		}
	}
	return ""
}

// start assigns the chosen server to a job that left the queue.
func (e *Engine) start(now time.Time, j *Job) {
	target := e.hold(now, j, j.chosen)
	if !j.admitted {
		j.admitted = true
		j.class.running++
		j.class.budget.CountAttempt()
		j.pool.starts[j.tier()].Add(now)
		j.pool.running[j.tier()].add(j)
		e.recorder.Record(timeline.Event{
			Kind: timeline.RequestAdmitted, Request: j.request.ID, Organisation: j.request.Organisation,
			Service: j.pool.name, Class: j.class.spec.Name, Tier: j.tier(), Duration: now.Sub(j.request.Arrived),
		})
	}
	j.listener.Started(target)
}

// hold occupies a slot of a server for the job.
func (e *Engine) hold(now time.Time, j *Job, c *routing.Candidate) traffic.Target {
	target := traffic.Target{
		Server:      c.Name,
		Address:     c.Address,
		Zone:        c.Zone,
		Epoch:       c.Live.Epoch(),
		Cold:        c.Live.Cold(),
		Preemptible: c.Preemptible,
	}
	trial := c.Live.StartAttempt(now)
	j.held = append(j.held, heldTarget{target: target, candidate: c, started: now, trial: trial})
	j.attempts++
	j.chosen = nil
	j.pool.free--
	j.pool.use.add(c, j.tier(), 1)
	e.addPrefixHints(now, j, c)
	return target
}

// hintedPerEnd is the number of the shortest and of the longest prefixes for
// which a start adds hints.
const hintedPerEnd = 4

// addPrefixHints records that the server will soon have the request's prefixes
// cached.
func (e *Engine) addPrefixHints(now time.Time, j *Job, c *routing.Candidate) {
	prefixes := j.request.Prefixes
	for i, prefix := range prefixes {
		if i < hintedPerEnd || i >= len(prefixes)-hintedPerEnd {
			j.pool.prefixes.Add(now, c.Live, prefix)
		}
	}
}
