package loadexp

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/placement"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

var _ placement.Listener = (*caller)(nil)

func cacheBatch(s *server, events []engineapi.CacheEvent) engineapi.CacheEvents {
	return engineapi.CacheEvents{Epoch: s.Epoch, Events: events}
}

// Started implements placement.Listener. It sends the request to a server.
func (c *caller) Started(t traffic.Target) {
	w := c.world
	s := w.byName[t.Server]
	a := &attempt{caller: c, target: t, server: s, sent: w.now}
	c.attempt = a
	w.result.started(c, t, c.attempts)
	c.attempts++
	s.add(w.now, a)
	w.schedule(s)
	if w.nextAttemptFails() {
		w.after(w.now+time.Second, func() { c.failAttempt(a) })
	}
}

// nextAttemptFails draws whether an attempt that starts now will fail. Attempts
// fail only in the middle third of the run.
func (w *world) nextAttemptFails() bool {
	third := w.experiment.Length / 3
	during := w.now-warmUp >= third && w.now-warmUp < 2*third
	return during && w.random.Float64() < w.experiment.FailShare
}

// failAttempt ends a stream early and submits a retry.
func (c *caller) failAttempt(a *attempt) {
	if a.ended || c.done {
		return
	}
	w := c.world
	made := c.discard(a)
	failure := traffic.Failure{Target: a.target, Code: result.StreamBroken, Sent: true}
	c.engine.Observe(w.clock(), c.job, traffic.Observation{Target: a.target, UndeliveredTokens: int64(made), Failure: &failure})
	c.engine.Retry(w.clock(), c.job, failure)
}

// discard removes an attempt from its server and counts its tokens as wasted. It
// returns their number.
func (c *caller) discard(a *attempt) (made int) {
	w := c.world
	a.ended = true
	a.server.advance(w.now)
	made = a.server.produced(a)
	a.server.remove(w.now, a)
	w.schedule(a.server)
	w.result.waste(made)
	return made
}

// Refused implements placement.Listener.
func (c *caller) Refused(refusal *result.Error) {
	c.done = true
	c.world.result.refused(c, refusal)
	c.world.pending = append(c.world.pending, c.finish)
}

// Preempt implements placement.Listener.
func (c *caller) Preempt() {
	c.world.pending = append(c.world.pending, func() {
		if c.done {
			return
		}
		c.world.result.preempted++
		c.abort()
	})
}

// expire aborts the request at the caller's deadline.
func (c *caller) expire() {
	if !c.done {
		c.abort()
	}
}

func (c *caller) abort() {
	c.done = true
	if a := c.attempt; a != nil && !a.ended {
		made := c.discard(a)
		c.engine.Observe(c.world.clock(), c.job, traffic.Observation{Target: a.target, UndeliveredTokens: int64(made)})
	}
	c.finish()
}

func (c *caller) finish() {
	if c.job != nil {
		c.engine.Finish(c.world.clock(), c.job)
	}
}

// answered handles a complete answer.
func (c *caller) answered(a *attempt) {
	w := c.world
	a.ended = true
	c.done = true
	o := traffic.Observation{
		Target: a.target, Epoch: a.server.Epoch, FirstToken: a.first - a.sent, Complete: true,
		InputTokens: int64(c.input), OutputTokens: int64(c.output),
	}
	if c.output > 1 {
		o.BetweenMean = (w.now - a.first) / time.Duration(c.output-1)
	}
	w.result.answered(c, a, o)
	c.engine.Observe(w.clock(), c.job, o)
	c.finish()
}
