package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Outcome is the result of one request as its caller observed it.
type Outcome struct {
	ID string
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	Key        string
	// Instance is the name of the instance that the request was sent to.
	Instance    string
	Sent, Ended time.Time
	// TimedOut is true if the caller's deadline passed before the response was complete.
	TimedOut bool
	// Status is the HTTP status; 0 if there was no complete response and the caller did not
	// close the connection itself.
	Status int
	// NotRun is true if the status guarantees that the request did not run.
	NotRun bool
	// Mismatch describes how a complete response differs from the expected one. Empty
	// means that it does not.
	Mismatch string
	// Stream is the body of a 200 response on a streaming route. It is nil for others.
	Stream *Stream
	// Resumable is true if the request is for a stream that may be resumed.
	Resumable bool
	// Origin is the id of the request that brought the first piece of the stream that this
	// one takes up after piece number After. Empty if it takes none up.
	Origin string
	After  int
}

// Checker collects what callers and backend servers observe and finds violations of
// the router's guarantees. It is safe for concurrent use.
type Checker struct {
	revocation time.Duration

	mu            sync.Mutex
	runs          map[string][]time.Time
	serverAborts  map[string]int    // number of runs that the backend server aborted, by request
	keys          map[string]string // API key by request
	withdrawn     map[string]time.Time
	outcomes      []Outcome
	usageByWindow map[int64]string
	holderByToken map[uint64]string
	highestToken  uint64
	stops         []interval // planned stops
	faults        []interval // injected faults that may cut off a response
	statements    statements
	ran           runs
	versions      versions
	violations    []string
}

// interval is a period in which an instance was stopped or faulty. An empty instance
// means all instances.
type interval struct {
	instance string
	from, to time.Time
}

// overlaps reports whether the interval affects the instance of a request while it is
// in flight.
func (i interval) overlaps(o Outcome) bool {
	return (i.instance == "" || i.instance == o.Instance) && i.from.Before(o.Ended) && i.to.After(o.Sent)
}

// NewChecker returns a checker. A request sent more than revocation after the
// withdrawal of its key must not run.
func NewChecker(revocation time.Duration) *Checker {
	return &Checker{
		revocation: revocation, runs: map[string][]time.Time{}, serverAborts: map[string]int{}, keys: map[string]string{},
		withdrawn: map[string]time.Time{}, usageByWindow: map[int64]string{}, holderByToken: map[uint64]string{},
		statements: newStatements(), ran: newRuns(),
	}
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// RecordRun records that a backend server ran a request.
func (c *Checker) RecordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = append(c.runs[id], time.Now())
}

// RecordServerAbort records that a backend server aborted the run of a request, or
// responded with the id of another request.
func (c *Checker) RecordServerAbort(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverAborts[id]++
}

// RecordKeyWithdrawn records that the store acknowledged the withdrawal of a key.
func (c *Checker) RecordKeyWithdrawn(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn[key] = time.Now()
}

// RecordStop records a planned stop of an instance.
func (c *Checker) RecordStop(instance string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, interval{instance, from, to})
}

// RecordFault records a fault that may cut off responses of an instance. An empty
// instance means all instances.
func (c *Checker) RecordFault(instance string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, interval{instance, from, to})
}

// RecordOutcome records the result of a request.
func (c *Checker) RecordOutcome(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// RecordUsageReport checks and records the usage report of a window.
func (c *Checker) RecordUsageReport(holder string, token uint64, window int64, counts string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkToken(holder, token)
	if before, ok := c.usageByWindow[window]; ok && before != counts {
		c.addViolation("window %d was reported as %s and as %s", window, before, counts)
	}
	c.usageByWindow[window] = counts
}

// RecordOrder checks and records an order for backend servers.
func (c *Checker) RecordOrder(holder string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkToken(holder, token)
}

func (c *Checker) checkToken(holder string, token uint64) {
	if before, ok := c.holderByToken[token]; ok && before != holder {
		c.addViolation("%s and %s acted under token %d", before, holder, token)
	}
	if token < c.highestToken {
		c.addViolation("%s acted under token %d after token %d", holder, token, c.highestToken)
	}
	c.holderByToken[token] = holder
	c.highestToken = max(c.highestToken, token)
}

// Summary holds the request counts of a run.
type Summary struct {
	Requests, Answered, Refused, Failed int
	// EndAnswered is the fraction of the requests sent after the last fault that got
	// a 2xx response. Requests with withdrawn keys are not counted.
	// Neither are those that may run once and whose server spoiled that run, and those that
	// take up a stream, which checkVersions compares.
	EndAnswered float64
	// Unframed counts the sound answers with neither a length nor chunks.
	Unframed SoundCount
	Versions VersionSummary
}

// Finish runs the checks that need the whole run and returns all violations. faultsOver
// is the time when the last fault was over.
func (c *Checker) Finish(faultsOver time.Time) (Summary, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var s Summary
	afterFaults, answeredAfterFaults := 0, 0
	for _, o := range c.outcomes {
		c.checkOutcome(o)
		c.checkSound(o, &s)
		s.Requests++
		switch {
		case o.NotRun:
			s.Refused++
		case o.Status/100 == 2:
			s.Answered++
		default:
			s.Failed++
		}
		if o.Sent.After(faultsOver) && o.Origin == "" && c.withdrawn[o.Key].IsZero() && (o.Idempotent || len(c.ran.spoiled[o.ID]) == 0) {
			afterFaults++
			if o.Status/100 == 2 {
				answeredAfterFaults++
			}
		}
	}
	c.checkStatements()
	c.checkRegress()
	if afterFaults > 0 {
		s.EndAnswered = float64(answeredAfterFaults) / float64(afterFaults)
	}
	if s.EndAnswered < minEndAnswered {
		c.addViolation("only %.2f of the requests after the troubles were answered", s.EndAnswered)
	}
	c.checkVersions(&s.Versions)
	return s, c.violations
}

// minEndAnswered is the minimum fraction of requests that must be answered once all
// faults are over.
const minEndAnswered = 0.9

func (c *Checker) checkOutcome(o Outcome) {
	runs := c.runs[o.ID]
	if !o.Idempotent && len(runs) > 1 {
		c.addViolation("request %s, which is not idempotent, ran %d times", o.ID, len(runs))
	}
	if !o.Idempotent && o.NotRun && len(runs) > 0 {
		c.addViolation("request %s was answered %d as not run, and ran", o.ID, o.Status)
	}
	if o.Mismatch != "" {
		c.addViolation("request %s got a wrong answer: %s%s", o.ID, o.Mismatch, c.spoiledNote(o.ID))
	}
	c.checkStream(o)
	if len(runs) > 0 && c.cutByStop(o) {
		c.addViolation("request %s was cut off by the planned stop of %s", o.ID, o.Instance)
	}
	withdrawnAt, ok := c.withdrawn[o.Key]
	if ok && o.Sent.After(withdrawnAt.Add(c.revocation)) && len(runs) > 0 {
		c.addViolation("request %s ran %v after its key was withdrawn", o.ID, o.Sent.Sub(withdrawnAt))
	}
}

// cutByStop reports whether a request got no complete response and the planned stop
// of its instance is the only possible cause.
func (c *Checker) cutByStop(o Outcome) bool {
	overlaps := func(i interval) bool { return i.overlaps(o) }
	if o.Status != 0 || o.TimedOut || c.serverAborts[o.ID]+c.doubtfulRuns(o) == len(c.runs[o.ID]) {
		return false // answered, timed out at the caller, or every run was aborted by its backend server
	}
	return slices.ContainsFunc(c.stops, overlaps) && !slices.ContainsFunc(c.faults, overlaps)
}

// regressSlack is the time in which requests on their way may still be treated by the version
// before the one that an answer shows.
const regressSlack = time.Second

// checkRegress finds requests that an instance ran although it had refused their withdrawn key
// before.
func (c *Checker) checkRegress() {
	type refusal struct{ instance, key string }
	refused := map[refusal][]time.Time{}
	for _, o := range c.outcomes {
		if o.Status == http.StatusUnauthorized && !c.withdrawn[o.Key].IsZero() {
			refused[refusal{o.Instance, o.Key}] = append(refused[refusal{o.Instance, o.Key}], o.Ended)
		}
	}
	for _, o := range c.outcomes {
		if len(c.runs[o.ID]) == 0 {
			continue
		}
		for _, at := range refused[refusal{o.Instance, o.Key}] {
			if o.Sent.After(at.Add(regressSlack)) && !c.restarted(o.Instance, at, o.Sent) {
				c.addViolation("request %s ran %v after %s had refused its withdrawn key", o.ID, o.Sent.Sub(at), o.Instance)
				break
			}
		}
	}
}
