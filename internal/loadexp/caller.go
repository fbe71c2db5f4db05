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

// Started implements placement.Listener: it sends the request to a server.
func (c *caller) Started(t traffic.Target) {
	w := c.world
	s := w.byName[t.Server]
	a := &attempt{caller: c, target: t, server: s, sent: w.now}
	c.attempt = a
	w.result.started(c, t, c.attempts)
	c.attempts++
	s.add(w.now, a)
	w.plan(s)
	if w.breaks() {
		w.after(w.now+time.Second, func() { c.breakOff(a) })
	}
}

// breaks reports whether an attempt that starts now will break off.
func (w *world) breaks() bool {
	third := w.experiment.Length / 3
	during := w.now-warmUp >= third && w.now-warmUp < 2*third
	return during && w.random.Float64() < w.experiment.FailShare
}

// breakOff ends a stream early and asks for another attempt.
func (c *caller) breakOff(a *attempt) {
	if a.ended || c.done {
		return
	}
	w := c.world
	made := c.cut(a)
	failure := traffic.Failure{Target: a.target, Code: result.StreamBroken, Sent: true}
	c.engine.Observe(w.clock(), c.job, traffic.Observation{Target: a.target, Wasted: int64(made), Failure: &failure})
	c.engine.Retry(w.clock(), c.job, failure)
}

// cut takes an attempt off its server and counts its tokens as wasted.
func (c *caller) cut(a *attempt) (made int) {
	w := c.world
	a.ended = true
	a.server.move(w.now)
	made = a.server.produced(a)
	a.server.remove(w.now, a)
	w.plan(a.server)
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

// leave is the caller's own end of patience.
func (c *caller) leave() {
	if !c.done {
		c.abort()
	}
}

func (c *caller) abort() {
	c.done = true
	if a := c.attempt; a != nil && !a.ended {
		made := c.cut(a)
		c.engine.Observe(c.world.clock(), c.job, traffic.Observation{Target: a.target, Wasted: int64(made)})
	}
	c.finish()
}

func (c *caller) finish() {
	if c.job != nil {
		c.engine.Finish(c.world.clock(), c.job)
	}
}

// answered takes the whole answer.
func (c *caller) answered(a *attempt) {
	w := c.world
	a.ended = true
	c.done = true
	o := traffic.Observation{
		Target: a.target, Epoch: a.server.Epoch, FirstToken: a.first - a.sent, Whole: true,
		InputTokens: int64(c.input), OutputTokens: int64(c.output),
	}
	if c.output > 1 {
		o.BetweenMean = (w.now - a.first) / time.Duration(c.output-1)
	}
	w.result.answered(c, a, o)
	c.engine.Observe(w.clock(), c.job, o)
	c.finish()
}
