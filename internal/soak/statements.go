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
	// A server that names a rate limit may get limitFactor times as many requests in
	// limitWindow, and limitSlack more, once limitDelay has passed since it first did.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitDelay  = 3 * time.Second
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
	limits    map[namedLimit]time.Time
	named     map[namedLimit]time.Time // by server alone: when it first named the limit
	pauses    []pause
	started   map[string]time.Time // by server
	draining  map[string]time.Time // by server: when the store first acknowledged it
}

// namedLimit is a rate limit, in requests per second, that a server has named. Each one has
// another rate.
type namedLimit struct {
	link
	rate float64
}

// link is the path from an instance to an incarnation of a backend server.
type link struct{ instance, server string }

// arrival is one request that has reached a backend server.
type arrival struct {
	request, server string
	rate            float64 // the rate limit that the server names; 0 if none
	at              time.Time
}

// pause is a refusal with which a backend server asked an instance for a pause.
type pause struct {
	arrival
	until time.Time
}

func newStatements() statements {
	return statements{instances: map[string]string{}, sent: map[string]time.Time{}, leaving: map[link]time.Time{},
		limits: map[namedLimit]time.Time{}, named: map[namedLimit]time.Time{},
		started: map[string]time.Time{}, draining: map[string]time.Time{}}
}

// RecordSent records that a caller is about to send a request to an instance.
func (c *Checker) RecordSent(request, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statements.instances[request] = instance
	c.statements.sent[request] = time.Now()
}

// RecordArrival records that a request has reached a backend server that it is meant for,
// and the rate limit that this server names, 0 if none.
func (c *Checker) RecordArrival(request, server string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.statements.arrivals = append(c.statements.arrivals, arrival{request, server, rate, now})
	recordFirst(c.statements.named, namedLimit{link{server: server}, rate}, now)
}

// RecordStart records that an incarnation of a backend server starts.
func (c *Checker) RecordStart(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statements.started[server] = time.Now()
}

// RecordLimit records that an instance has passed on an answer in which a server names a
// rate limit.
func (c *Checker) RecordLimit(instance, server string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recordFirst(c.statements.limits, namedLimit{link{instance, server}, rate}, time.Now())
}

func recordFirst[K comparable](times map[K]time.Time, key K, now time.Time) {
	if times[key].IsZero() {
		times[key] = now
	}
}

// RecordLeaving records that an instance has passed on an answer in which a server states
// that it leaves.
func (c *Checker) RecordLeaving(instance, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recordFirst(c.statements.leaving, link{instance, server}, time.Now())
}

// RecordDraining records that the store has acknowledged that a server is draining.
func (c *Checker) RecordDraining(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recordFirst(c.statements.draining, server, time.Now())
}

// RecordPause records that a server refuses a request and asks for a pause.
func (c *Checker) RecordPause(request, server string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.statements.pauses = append(c.statements.pauses, pause{arrival{request, server, 0, now}, now.Add(d)})
}

// checkStatements finds the requests at servers that had stated to their instance that
// they want none.
func (c *Checker) checkStatements() {
	for i, a := range c.statements.arrivals {
		c.checkLeaving(a)
		c.checkDraining(a)
		c.checkLimit(c.statements.arrivals[i:])
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

// checkDraining checks that an instance which was in touch with the store when that acknowledged
// that a server is draining sends it nothing later, whatever the store says since.
func (c *Checker) checkDraining(a arrival) {
	instance, sent := c.statements.instances[a.request], c.statements.sent[a.request]
	from, ok := c.statements.draining[a.server]
	known := from.Add(drainTimeout)
	if !ok || !sent.After(known) || c.restarted(instance, from, a.at) || c.staleWithin(instance, from, known) {
		return
	}
	c.addViolation("request %s of %s reached %s %v after the store acknowledged that it is draining", a.request, instance, a.server, sent.Sub(from))
}

// staleWithin reports whether an instance may not have read the servers' table within a time.
func (c *Checker) staleWithin(instance string, from, to time.Time) bool {
	return slices.ContainsFunc(c.ran.stale, func(i interval) bool {
		return (i.instance == "" || i.instance == instance) && i.from.Before(to) && i.to.After(from)
	})
}

// checkLimit checks the window that begins with the first of the arrivals, which are in
// order of time.
func (c *Checker) checkLimit(arrivals []arrival) {
	first := arrivals[0]
	named := c.statements.named[namedLimit{link{server: first.server}, first.rate}]
	if first.rate == 0 || first.at.Before(named.Add(limitDelay)) {
		return
	}
	count := 0
	for _, a := range arrivals {
		if !a.at.Before(first.at.Add(limitWindow)) {
			break
		}
		if a.server == first.server && a.rate == first.rate && c.knewLimit(a) {
			count++
		}
	}
	if allowed := limitFactor*first.rate*limitWindow.Seconds() + limitSlack; float64(count) > allowed {
		c.addViolation("%d requests reached %s in %v, which had named a limit of %.3f a second", count, first.server, limitWindow, first.rate)
	}
}

// knewLimit reports whether the instance that sent a request knew of the server's limit.
func (c *Checker) knewLimit(a arrival) bool {
	instance := c.statements.instances[a.request]
	told, ok := c.statements.limits[namedLimit{link{instance, a.server}, a.rate}]
	return ok && a.at.After(told.Add(pauseSlack)) && !c.restarted(instance, told, a.at)
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
	if arrived <= maxPauseArrivals || c.restarted(instance, p.at, p.until) || c.restarted("", p.at, p.until) || c.mistaken(instance, p) {
		return
	}
	c.addViolation("%d requests of %s reached %s in a pause of %v", arrived, instance, p.server, p.until.Sub(p.at))
}

// mistaken reports whether an instance may have taken the server that asked for a pause for
// an earlier incarnation, because it could not yet know of the present one.
func (c *Checker) mistaken(instance string, p pause) bool {
	started, ok := c.statements.started[p.server]
	return ok && slices.ContainsFunc(c.ran.stale, func(i interval) bool {
		return (i.instance == "" || i.instance == instance) && i.from.Before(started) && started.Before(i.to) && p.at.Before(i.to)
	})
}

// restarted reports whether an instance was stopped, restarted or faulty within a time. An
// empty instance stands for faults of the links to backend servers.
func (c *Checker) restarted(instance string, from, to time.Time) bool {
	within := func(i interval) bool { return i.instance == instance && i.from.Before(to) && i.to.After(from) }
	return slices.ContainsFunc(c.stops, within) || slices.ContainsFunc(c.faults, within)
}
