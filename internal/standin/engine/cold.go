package engine

import (
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// cold simulates the warm-up of an engine: the limit of requests in flight starts
// at first, doubles after each limit's worth of answers, and ends at warm.
type cold struct {
	mu         sync.Mutex
	first      int // limit after a start; zero means that the engine is always warm
	warm       int // limit at which the engine counts as warm
	limit      int
	answered   int // complete answers since the limit last changed
	violations int
}

func newCold(first, warm int) *cold {
	c := &cold{first: first, warm: warm}
	c.restart()
	return c
}

func (c *cold) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = c.first
	c.answered = 0
}

// received returns the limit and whether the requests in flight exceed it, and
// counts a violation if so.
func (c *cold) received(inFlight int) (limit int, exceeded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWarm() || inFlight <= c.limit {
		return c.limit, false
	}
	c.violations++
	return c.limit, true
}

// answer counts a complete answer and reports whether that raised the limit.
func (c *cold) answer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWarm() {
		return false
	}
	c.answered++
	if c.answered < c.limit {
		return false
	}
	c.answered = 0
	c.limit = min(2*c.limit, c.warm)
	return true
}

func (c *cold) isWarm() bool { return c.first == 0 || c.limit >= c.warm }

// remaining returns the difference between the warm limit and the current one.
func (c *cold) remaining() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first == 0 {
		return 0
	}
	return c.warm - c.limit
}

func (c *cold) current() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

func (c *cold) violationCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

func (e *Engine) recordColdLimit() {
	if e.options.ColdLimit == 0 {
		return
	}
	limit := e.cold.current()
	if e.cold.remaining() <= 0 {
		limit = 0 // a warm engine has no limit
	}
	e.options.Recorder.Record(timeline.Event{
		Kind: timeline.ServerLimit, Server: e.options.Name, Zone: e.options.Zone,
		Service: e.Model(), Count: int64(limit),
	})
}
