package balanceexp

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/enginesim"
)

const (
	// mostAttempts is the number of servers that may run one request.
	mostAttempts = 2
	// firstWait is the share of the aim that a request may wait for a server.
	firstWait = 0.5
	// laterWait is the share of the time left when it is sent again.
	laterWait = 0.25
	// callerReturns is when a caller comes back after a refusal, and how often.
	callerReturns  = 300 * time.Millisecond
	usualReturns   = 1
	repeatingTimes = 5
	// greyAnswer is the time after which a failing server fails.
	greyAnswer = 50 * time.Millisecond
	greyShare  = 0.5
)

// call is one request on its way through an instance.
type call struct {
	*arrival
	world    *world
	balancer *balance.Balancer
	query    balance.Query
	ticket   *balance.Ticket
	place    *balance.Assignment
	request  *enginesim.Request
	server   *server

	attempts int
	returns  int // refusals after which the caller came back
	made     int // answer tokens that the caller has
	first    time.Duration
	last     time.Duration // of the last event
	slowest  time.Duration // longest pause
	turn     int           // rises with each wait, so that late timers do nothing
	done     bool
}

// arrive takes a request of a caller.
func (w *world) arrive(a *arrival) {
	w.result.asked(a)
	c := &call{arrival: a, world: w, balancer: w.balancers[a.instance]}
	c.query = balance.Query{
		Service: service, Priority: a.kind.Priority, Organisation: a.organisation, OutputTokens: a.kind.Output,
	}
	for _, p := range a.parts {
		c.query.Parts = append(c.query.Parts, balance.Part{ID: p.ID, Tokens: p.Tokens})
		c.query.PromptTokens += p.Tokens
	}
	w.after(a.at+a.kind.Deadline, c.expire)
	c.enter()
}

// enter begins at an instance.
func (c *call) enter() {
	c.balancer.Request(service)
	c.submit(time.Duration(firstWait * float64(c.kind.Aim)))
}

// submit asks for a server's place.
func (c *call) submit(patience time.Duration) {
	c.turn++
	turn := c.turn
	c.ticket = c.balancer.Submit(&c.query, func(p *balance.Assignment) {
		c.world.placed = append(c.world.placed, func() { c.send(p, turn) })
	})
	c.world.after(c.world.now+patience, func() {
		if c.turn == turn && c.place == nil && !c.done {
			c.insist()
		}
	})
}

// insist ends the wait for a server.
func (c *call) insist() {
	place, err := c.ticket.AssignNow()
	if err != nil {
		c.turn++
		c.refuse()
		return
	}
	c.send(place, c.turn)
}

// send sends the request to the server of a place.
func (c *call) send(p *balance.Assignment, turn int) {
	if c.turn != turn || c.done {
		p.End(balance.Abandoned)
		return
	}
	w := c.world
	c.place = p
	c.server = w.byID[p.Server]
	if c.attempts > 0 {
		w.result.Repeated++
	}
	if c.server.gone {
		w.after(w.now+hop, func() { c.unreached(turn) })
		return
	}
	c.attempts++
	if c.server.grey && w.random.Float64() < greyShare {
		w.after(w.now+greyAnswer, func() { c.failedAt(turn) })
		return
	}
	c.request = &enginesim.Request{Parts: c.parts, Output: max(c.output-c.made, 1), Event: c.event}
	c.server.calls[c.request] = c
	c.server.engine.Add(w.now+hop, c.request)
	w.watch(c.server)
}

func (c *call) unreached(turn int) {
	if c.turn == turn && !c.done {
		c.broken(balance.Unreached)
	}
}

func (c *call) failedAt(turn int) {
	if c.turn == turn && !c.done {
		c.broken(balance.Failed)
	}
}

// event takes an event of the answer.
func (c *call) event(at time.Duration, last bool) {
	if c.first == 0 {
		c.first = at - c.at
	} else {
		c.slowest = max(c.slowest, at-c.last)
	}
	c.last = at
	c.made = min(c.made+engine.Stride, c.output)
	c.world.placed = append(c.world.placed, func() { c.progress(last) })
}

// progress tells the balancer what an event shows.
func (c *call) progress(last bool) {
	if c.done {
		return
	}
	c.place.ReadPrompt()
	if !last {
		return
	}
	c.end(balance.Answered)
	c.done = true
	inAim := c.first <= c.kind.Aim && c.slowest <= c.kind.Pause
	c.world.result.answered(c.arrival, c.first, inAim)
}

// end frees the place.
func (c *call) end(o balance.Outcome) {
	if c.request != nil {
		delete(c.server.calls, c.request)
		c.request = nil
	}
	c.place.End(o)
	c.place = nil
}

// broken goes on after an attempt that failed, if that is allowed.
func (c *call) broken(o balance.Outcome) {
	if c.done {
		return
	}
	server := c.place.Server
	c.end(o)
	c.query.Tried = append(c.query.Tried, server)
	left := c.at + c.kind.Deadline - c.world.now
	resumable := c.made == 0 || c.kind.Resumable
	if c.attempts >= mostAttempts || !resumable || !c.balancer.MayRepeat(service) {
		c.done = true
		c.world.result.failed(c.arrival)
		return
	}
	c.submit(time.Duration(laterWait * float64(left)))
}

// refuse answers the caller, who may come back.
func (c *call) refuse() {
	w := c.world
	wait, most := callerReturns, usualReturns
	if w.random.Float64() < w.experiment.Day.Repeats && w.experiment.Day.during(w.now) {
		wait, most = hop, repeatingTimes
	}
	if c.returns >= most || c.made > 0 || w.now+wait >= c.at+c.kind.Deadline {
		c.done = true
		w.result.refused(c.arrival)
		return
	}
	c.returns++
	c.turn++
	w.after(w.now+wait, func() {
		if !c.done {
			c.enter()
		}
	})
}

// expire ends a request at its deadline.
func (c *call) expire() {
	if c.done {
		return
	}
	c.done = true
	c.turn++
	if c.place == nil {
		c.ticket.Cancel()
		c.world.result.refused(c.arrival)
		return
	}
	if c.request != nil {
		c.server.engine.Remove(c.request)
		c.world.watch(c.server)
	}
	c.end(balance.Abandoned)
	c.world.result.failed(c.arrival)
}
