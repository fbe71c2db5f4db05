package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome is what a caller got.
type Outcome struct {
	ID string
	// Idempotent requests may run more than once.
	Idempotent bool
	Key        string
	// Instance is the one that the request was sent to.
	Instance    string
	Sent, Ended time.Time
	// GaveUp is true when the caller left.
	GaveUp bool
	Status int // 0: the connection ended without an answer
	// NotRun is true when the status promises that the request has not run.
	NotRun bool
	// Fault says what is wrong with an answer that looks whole. Empty: nothing.
	Fault string
}

// Checker collects what callers and backend servers see and finds what breaks a
// promise. It is safe for concurrent use.
type Checker struct {
	revocation time.Duration

	mu        sync.Mutex
	runs      map[string][]time.Time
	brokenOff map[string]int    // runs that their backend server broke off, by request
	keys      map[string]string // key by request
	withdrawn map[string]time.Time
	outcomes  []Outcome
	reports   map[int64]string
	tokens    map[uint64]string
	newest    uint64
	stops     []interval // planned stops, by instance
	troubles  []interval // what else may end an answer; without an instance, on all
	broken    []string
}

// interval is a time in which something happens to an instance.
type interval struct {
	instance string
	from, to time.Time
}

// touches reports whether the interval overlaps the life of a request.
func (i interval) touches(o Outcome) bool {
	return (i.instance == "" || i.instance == o.Instance) && i.from.Before(o.Ended) && i.to.After(o.Sent)
}

// NewChecker returns a checker; withdrawn keys must stop within revocation.
func NewChecker(revocation time.Duration) *Checker {
	return &Checker{
		revocation: revocation, runs: map[string][]time.Time{}, brokenOff: map[string]int{}, keys: map[string]string{},
		withdrawn: map[string]time.Time{}, reports: map[int64]string{}, tokens: map[uint64]string{},
	}
}

func (c *Checker) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// Ran takes a run at a backend server.
func (c *Checker) Ran(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = append(c.runs[id], time.Now())
}

// BrokeOff takes a run that its backend server broke off, or answered as another
// request's.
func (c *Checker) BrokeOff(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokenOff[id]++
}

// Withdrawn takes the store's acknowledgement that a key was withdrawn.
func (c *Checker) Withdrawn(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn[key] = time.Now()
}

// Stopped takes a planned stop of an instance.
func (c *Checker) Stopped(instance string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, interval{instance, from, to})
}

// Troubled takes a trouble that may end answers of an instance, of all when none
// is named.
func (c *Checker) Troubled(instance string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.troubles = append(c.troubles, interval{instance, from, to})
}

// Answered takes what a caller got.
func (c *Checker) Answered(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// Reported takes a usage report of a window.
func (c *Checker) Reported(holder string, token uint64, window int64, counts string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acted(holder, token)
	if before, ok := c.reports[window]; ok && before != counts {
		c.breaks("window %d was reported as %s and as %s", window, before, counts)
	}
	c.reports[window] = counts
}

// Ordered takes an order of servers.
func (c *Checker) Ordered(holder string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acted(holder, token)
}

func (c *Checker) acted(holder string, token uint64) {
	if before, ok := c.tokens[token]; ok && before != holder {
		c.breaks("%s and %s acted under token %d", before, holder, token)
	}
	if token < c.newest {
		c.breaks("%s acted under token %d after token %d", holder, token, c.newest)
	}
	c.tokens[token] = holder
	c.newest = max(c.newest, token)
}

// Summary counts a run.
type Summary struct {
	Requests, Answered, Refused, Failed int
	// EndAnswered is the share of the requests sent after the troubles that were
	// answered; those under withdrawn keys do not count.
	EndAnswered float64
}

// Finish checks what can be told only at the end, and returns every broken
// promise. quiet is when the troubles were over.
func (c *Checker) Finish(quiet time.Time) (Summary, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var s Summary
	inEnd, answeredInEnd := 0, 0
	for _, o := range c.outcomes {
		c.checkOutcome(o)
		s.Requests++
		switch {
		case o.NotRun:
			s.Refused++
		case o.Status/100 == 2:
			s.Answered++
		default:
			s.Failed++
		}
		if o.Sent.After(quiet) && c.withdrawn[o.Key].IsZero() {
			inEnd++
			if o.Status/100 == 2 {
				answeredInEnd++
			}
		}
	}
	if inEnd > 0 {
		s.EndAnswered = float64(answeredInEnd) / float64(inEnd)
	}
	if s.EndAnswered < leastInEnd {
		c.breaks("only %.2f of the requests after the troubles were answered", s.EndAnswered)
	}
	return s, c.broken
}

// leastInEnd is the share of requests that must be answered once the troubles are over.
const leastInEnd = 0.9

func (c *Checker) checkOutcome(o Outcome) {
	runs := c.runs[o.ID]
	if !o.Idempotent && len(runs) > 1 {
		c.breaks("request %s, which is not idempotent, ran %d times", o.ID, len(runs))
	}
	if !o.Idempotent && o.NotRun && len(runs) > 0 {
		c.breaks("request %s was answered %d as not run, and ran", o.ID, o.Status)
	}
	if o.Fault != "" {
		c.breaks("request %s got a wrong answer: %s", o.ID, o.Fault)
	}
	if len(runs) > 0 && c.cutByStop(o) {
		c.breaks("request %s was cut off by the planned stop of %s", o.ID, o.Instance)
	}
	gone, ok := c.withdrawn[o.Key]
	if ok && o.Sent.After(gone.Add(c.revocation)) && len(runs) > 0 {
		c.breaks("request %s ran %v after its key was withdrawn", o.ID, o.Sent.Sub(gone))
	}
}

// cutByStop reports whether a request got no whole answer for no other reason
// than the planned stop of its instance.
func (c *Checker) cutByStop(o Outcome) bool {
	touches := func(i interval) bool { return i.touches(o) }
	if o.Status != 0 || o.GaveUp || c.brokenOff[o.ID] == len(c.runs[o.ID]) {
		return false // answered, not waited for, or every run was broken off by its server
	}
	return slices.ContainsFunc(c.stops, touches) && !slices.ContainsFunc(c.troubles, touches)
}
