package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/routing"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// pump starts waiting jobs while servers have free slots.
func (e *Engine) pump(now time.Time, p *pool) {
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

// fits reports whether a server can take the job now and remembers which. It
// also reports true for a job that it refused, which then waits no more.
func (e *Engine) fits(now time.Time, j *Job, due bool) bool {
	if e.expireJob(now, j) {
		return true
	}
	j.floor = due
	q := e.query(now, j)
	if !due {
		e.keepReserve(now, j, &q)
	}
	p := j.pool
	if q.CheapAllowed && p.cheapCount > 0 && !q.SteadyKept && p.use.steadyFree > 0 {
		p.capCheap(j.tier(), &q)
	}
	j.chosen = e.pick(j, &q)
	return j.chosen != nil
}

// capCheap bars an attempt that could run on a steady server from zones whose
// cheap work would find no room elsewhere. While no steady server is free the
// other choice is to wait, and a lower tier would take the cheap slot.
func (p *pool) capCheap(tier int, q *routing.Query) {
	p.cheapFull = append(p.cheapFull[:0], make([]bool, len(p.use.cheap))...)
	p.use.fillCheapFull(tier, p.cheapFull)
	q.CheapFull = p.cheapFull
}

// keepReserve bars an attempt from the last free slots, which the pool keeps for
// higher tiers. Slots of cheap servers are kept only for those that may use them.
func (e *Engine) keepReserve(now time.Time, j *Job, q *routing.Query) {
	if e.options.Queue.FIFO {
		return
	}
	p, u := j.pool, &j.pool.use
	q.SteadyKept = u.steadyFree <= admission.Reserve(u.steadySlots, p.tiersAbove(now, j.tier(), false))
	if q.CheapAllowed && p.cheapCount > 0 {
		kept := admission.Reserve(u.cheapSlots, p.tiersAbove(now, j.tier(), true))
		q.CheapAllowed = u.allCheapFree() > kept
	}
}

// pick chooses a server for the job's next attempt, nil when none is free. A
// retry goes to a server already used only when no other can take it at all.
func (e *Engine) pick(j *Job, q *routing.Query) *routing.Candidate {
	p := j.pool
	if q.SteadyKept && !(q.CheapAllowed && p.cheapCount > 0) {
		return nil
	}
	if c := e.router.Pick(q, p.servers, p.prefixes); c != nil || len(q.Tried) == 0 {
		return c
	}
	if e.router.Any(q, p.servers) {
		return nil
	}
	q.Tried = nil
	return e.router.Pick(q, p.servers, p.prefixes)
}

func (e *Engine) query(now time.Time, j *Job) routing.Query {
	r := j.request
	q := routing.Query{
		Now:          now,
		Zone:         e.options.Zone,
		Region:       e.region(),
		Tier:         j.tier(),
		CheapAllowed: j.class.spec.Cheap && r.Idempotent,
		Prefixes:     r.Prefixes,
		InputTokens:  r.InputTokens,
		FirstToken:   time.Duration(j.class.spec.FirstToken),
		Between:      time.Duration(j.class.spec.BetweenTokens),
		Tried:        j.tried,
		Members:      e.store.Members,
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

// start gives the chosen server to a job that left the queue.
func (e *Engine) start(now time.Time, j *Job) {
	target := e.hold(now, j, j.chosen)
	if !j.admitted {
		j.admitted = true
		j.class.running++
		j.class.budget.Attempt()
		j.pool.starts[j.tier()].Add(now)
		j.pool.running[j.tier()].add(j)
		e.recorder.Record(timeline.Event{
			Kind: timeline.RequestAdmitted, Request: j.request.ID, Organisation: j.request.Organisation,
			Service: j.pool.name, Class: j.class.spec.Name, Tier: j.tier(), Duration: now.Sub(j.request.Arrived),
		})
	}
	j.listener.Started(target)
}

// hold takes a slot of a server for the job.
func (e *Engine) hold(now time.Time, j *Job, c *routing.Candidate) traffic.Target {
	target := traffic.Target{
		Server:  c.Name,
		Address: c.Address,
		Zone:    c.Zone,
		Epoch:   c.Live.Epoch(),
		Cold:    c.Live.Cold(),
		Cheap:   c.Cheap,
	}
	c.Live.Started(now)
	j.held = append(j.held, held{target: target, candidate: c, started: now})
	j.attempts++
	j.chosen = nil
	j.pool.free--
	j.pool.use.add(c, j.tier(), 1)
	e.hint(now, j, c)
	return target
}

// hintEnds is the number of the shortest and of the longest prefixes that a start
// notes for its server.
const hintEnds = 4

// hint notes that the server will soon hold the request's prefixes.
func (e *Engine) hint(now time.Time, j *Job, c *routing.Candidate) {
	prefixes := j.request.Prefixes
	for i, prefix := range prefixes {
		if i < hintEnds || i >= len(prefixes)-hintEnds {
			j.pool.prefixes.Add(now, c.Live, prefix)
		}
	}
}
