package soak

import (
	"slices"
	"time"
)

// drainTimeout is the time after which a server that has told an instance that it leaves
// must get no more requests from it.
const drainTimeout = 2 * time.Second

const (
	// pauseSlack is the time for which requests that are on their way may still reach a
	// server that has asked for a pause.
	pauseSlack = 500 * time.Millisecond
	// maxPauseArrivals is the number of requests that may reach a server in its pause.
	maxPauseArrivals = 2
)

// statements are what backend servers have stated to instances, and the requests that
// reached them. The checker's mutex protects it.
type statements struct {
	instances map[string]string // by request
	sent      map[string]time.Time
	arrivals  []arrival
	leaving   map[link]time.Time // when a caller first saw the statement
	pauses    []pause
}

// link is the path from an instance to an incarnation of a backend server.
type link struct{ instance, server string }

// arrival is one request that has reached a backend server.
type arrival struct {
	request, server string
	at              time.Time
}

// pause is a refusal with which a backend server asked an instance for a pause.
type pause struct {
	arrival
	until time.Time
}

func newStatements() statements {
	return statements{instances: map[string]string{}, sent: map[string]time.Time{}, leaving: map[link]time.Time{}}
}

// RecordSent records that a caller is about to send a request to an instance.
func (c *Checker) RecordSent(request, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statements.instances[request] = instance
	c.statements.sent[request] = time.Now()
}

// RecordArrival records that a request has reached a backend server that it is meant for.
func (c *Checker) RecordArrival(request, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statements.arrivals = append(c.statements.arrivals, arrival{request, server, time.Now()})
}

// RecordLeaving records that an instance has passed on an answer in which a server states
// that it leaves.
func (c *Checker) RecordLeaving(instance, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := link{instance, server}
	if c.statements.leaving[l].IsZero() {
		c.statements.leaving[l] = time.Now()
	}
}

// RecordPause records that a server refuses a request and asks for a pause.
func (c *Checker) RecordPause(request, server string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.statements.pauses = append(c.statements.pauses, pause{arrival{request, server, now}, now.Add(d)})
}

// checkStatements finds the requests at servers that had stated to their instance that
// they want none.
func (c *Checker) checkStatements() {
	for _, a := range c.statements.arrivals {
		c.checkLeaving(a)
	}
	for _, p := range c.statements.pauses {
		c.checkPause(p)
	}
}

func (c *Checker) checkLeaving(a arrival) {
	instance, sent := c.statements.instances[a.request], c.statements.sent[a.request]
	stated, ok := c.statements.leaving[link{instance, a.server}]
	if !ok || !sent.After(stated.Add(drainTimeout)) || c.restarted(instance, stated, a.at) {
		return
	}
	c.addViolation("request %s reached %s %v after that had told %s that it leaves", a.request, a.server, sent.Sub(stated), instance)
}

func (c *Checker) checkPause(p pause) {
	instance := c.statements.instances[p.request]
	from := p.at.Add(pauseSlack)
	arrived := 0
	for _, a := range c.statements.arrivals {
		if a.server == p.server && c.statements.instances[a.request] == instance && a.at.After(from) && a.at.Before(p.until) {
			arrived++
		}
	}
	if arrived <= maxPauseArrivals || c.restarted(instance, p.at, p.until) || c.restarted("", p.at, p.until) {
		return
	}
	c.addViolation("%d requests of %s reached %s in a pause of %v", arrived, instance, p.server, p.until.Sub(p.at))
}

// restarted reports whether an instance was stopped, restarted or faulty within a time. An
// empty instance stands for faults of the links to backend servers.
func (c *Checker) restarted(instance string, from, to time.Time) bool {
	within := func(i interval) bool { return i.instance == instance && i.from.Before(to) && i.to.After(from) }
	return slices.ContainsFunc(c.stops, within) || slices.ContainsFunc(c.faults, within)
}
