package balanceexp

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/enginesim"
)

const (
	// maxAttempts is the maximum number of servers that may run one request.
	maxAttempts = 2
	// firstWaitShare is the share of the target for the first event that a request
	// may wait for a server.
	firstWaitShare = 0.5
	// retryWaitShare is the share of the remaining time that a retry may wait for a
	// server.
	retryWaitShare = 0.25
	// callerRetryDelay is the delay before a caller retries a rejected request,
	// defaultCallerRetries how often it does so, and eagerCallerRetries how often
	// callers that retry immediately do.
	callerRetryDelay     = 300 * time.Millisecond
	defaultCallerRetries = 1
	eagerCallerRetries   = 5
	// greyFailureDelay is the time after which a grey server fails a request, and
	// greyFailureRate the share of requests that it fails.
	greyFailureDelay = 50 * time.Millisecond
	greyFailureRate  = 0.5
)

// call is one request in an instance.
type call struct {
	*arrival
	world      *world
	balancer   *balance.Balancer
	query      balance.Query
	ticket     *balance.Ticket
	assignment *balance.Assignment
	request    *enginesim.Request
	server     *server

	attempts        int
	callerRetries   int // rejections after which the caller retried
	emitted         int // output tokens that the caller has received
	firstEventAfter time.Duration
	lastEventAt     time.Duration
	longestPause    time.Duration // longest pause between two events
	generation      int           // increases with each wait, so that timers of earlier waits have no effect
	done            bool
}

// arrive starts a call for a request.
func (w *world) arrive(a *arrival) {
	w.result.recordRequest(a)
	a.instance = w.liveInstance(a.instance)
	c := &call{arrival: a, world: w, balancer: w.balancers[a.instance]}
	c.query = balance.Query{
		Service: service, Priority: a.kind.Priority, Organisation: a.organisation, OutputTokens: a.kind.Output,
	}
	for _, p := range a.parts {
		c.query.Parts = append(c.query.Parts, balance.Part{ID: p.ID, Tokens: p.Tokens})
		c.query.PromptTokens += p.Tokens
	}
	w.runAt(a.at+a.kind.Deadline, c.expire)
	c.start()
}

// start submits the request for the first time, or again after a rejection.
func (c *call) start() {
	c.balancer.CountRequest(service)
	c.submit(time.Duration(firstWaitShare * float64(c.kind.FirstEventTarget)))
}

// submit requests a slot on a server and waits at most maxWait.
func (c *call) submit(maxWait time.Duration) {
	c.generation++
	generation := c.generation
	c.ticket = c.balancer.Submit(&c.query, func(p *balance.Assignment) {
		c.world.deferred = append(c.world.deferred, func() { c.send(p, generation) })
	})
	c.world.runAt(c.world.now+maxWait, func() {
		if c.generation == generation && c.assignment == nil && !c.done {
			c.waitExpired()
		}
	})
}

// waitExpired ends the wait for a server: the request gets a slot after all, or is
// rejected.
func (c *call) waitExpired() {
	assignment, err := c.ticket.AssignNow()
	if err != nil {
		c.generation++
		c.reject()
		return
	}
	c.send(assignment, c.generation)
}

// send sends the request to the assigned server.
func (c *call) send(p *balance.Assignment, generation int) {
	if c.generation != generation || c.done {
		p.End(balance.Abandoned)
		return
	}
	w := c.world
	c.assignment = p
	c.server = w.byID[p.Server]
	if c.attempts > 0 {
		w.result.Retries++
	}
	if c.server.crashed {
		w.runAt(w.now+networkDelay, func() { c.connectFailed(generation) })
		return
	}
	c.attempts++
	w.recordArrival(c.server, c.instance)
	if c.server.grey && w.random.Float64() < greyFailureRate {
		w.runAt(w.now+greyFailureDelay, func() { c.serverFailed(generation) })
		return
	}
	c.request = &enginesim.Request{Parts: c.parts, Output: max(c.output-c.emitted, 1), Event: c.handleEvent}
	c.server.calls[c.request] = c
	c.server.engine.Add(w.now+networkDelay, c.request)
	w.scheduleEngine(c.server)
}

func (c *call) connectFailed(generation int) {
	if c.generation == generation && !c.done {
		c.attemptFailed(balance.Unreached)
	}
}

func (c *call) serverFailed(generation int) {
	if c.generation == generation && !c.done {
		c.attemptFailed(balance.Failed)
	}
}

// handleEvent records an event of the answer. It runs inside the engine's Advance,
// so the balancer is only called afterwards.
func (c *call) handleEvent(at time.Duration, last bool) {
	if c.firstEventAfter == 0 {
		c.firstEventAfter = at - c.at
	} else {
		c.longestPause = max(c.longestPause, at-c.lastEventAt)
	}
	c.lastEventAt = at
	c.emitted = min(c.emitted+engine.TokensPerEvent, c.output)
	c.world.deferred = append(c.world.deferred, func() { c.applyEvent(last) })
}

// applyEvent reports an event to the balancer.
func (c *call) applyEvent(last bool) {
	if c.done {
		return
	}
	if c.assignment.PrefillDone() {
		c.state()
	}
	if !last {
		return
	}
	c.endAttempt(balance.Answered)
	c.done = true
	inTarget := c.firstEventAfter <= c.kind.FirstEventTarget && c.longestPause <= c.kind.MaxPause
	c.world.result.recordAnswer(c.arrival, c.firstEventAfter, inTarget)
}

// endAttempt releases the slot.
func (c *call) endAttempt(o balance.Outcome) {
	if c.request != nil {
		delete(c.server.calls, c.request)
		c.request = nil
	}
	c.assignment.End(o)
	c.assignment = nil
}

// attemptFailed retries after a failed attempt, if that is allowed.
func (c *call) attemptFailed(o balance.Outcome) {
	if c.done {
		return
	}
	server := c.assignment.Server
	c.endAttempt(o)
	c.query.Tried = append(c.query.Tried, server)
	left := c.at + c.kind.Deadline - c.world.now
	resumable := c.emitted == 0 || c.kind.Resumable
	if c.attempts >= maxAttempts || !resumable || !c.balancer.TryRetry(service) {
		c.done = true
		c.world.result.recordFailure(c.arrival)
		return
	}
	c.submit(time.Duration(retryWaitShare * float64(left)))
}

// reject rejects the request; its caller may retry.
func (c *call) reject() {
	w := c.world
	delay, maxRetries := callerRetryDelay, defaultCallerRetries
	if w.random.Float64() < w.experiment.Day.RetryShare && w.experiment.Day.disturbed(w.now) {
		delay, maxRetries = networkDelay, eagerCallerRetries
	}
	if c.callerRetries >= maxRetries || c.emitted > 0 || w.now+delay >= c.at+c.kind.Deadline {
		c.done = true
		w.result.recordRejection(c.arrival)
		return
	}
	c.callerRetries++
	c.generation++
	w.runAt(w.now+delay, func() {
		if !c.done {
			c.start()
		}
	})
}

// expire ends a request at its deadline.
func (c *call) expire() {
	if c.done {
		return
	}
	c.done = true
	c.generation++
	if c.assignment == nil {
		c.ticket.Cancel()
		c.world.result.recordRejection(c.arrival)
		return
	}
	if c.request != nil {
		c.server.engine.Remove(c.request)
		c.world.scheduleEngine(c.server)
	}
	c.endAttempt(balance.Abandoned)
	c.world.result.recordFailure(c.arrival)
}
