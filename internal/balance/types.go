package balance

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// Part is one part of a prompt, in order from its start. Requests with the same
// prefix share parts.
type Part struct {
	ID     uint64
	Tokens int
}

// Query is one request that needs a backend server.
type Query struct {
	// Service is the name of the service whose servers can run the request.
	Service string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Organisation is the organisation whose share of the queue the request uses.
	Organisation string
	// Parts are the prompt's parts. The last one is specific to this request.
	Parts []Part
	// PromptTokens and OutputTokens are the request's size. Zero means unknown.
	PromptTokens, OutputTokens int
	// Target is the latency target for the answer, or for a stream's first event. Zero means
	// none.
	Target time.Duration
	// TargetEventInterval is the latency target between two events of a stream. Zero means
	// none.
	TargetEventInterval time.Duration
	// Tried holds the IDs of servers that the request was already sent to.
	Tried []string
	// Bound is true if only servers whose Version is BoundVersion may run the request, since
	// it goes on with a run of that version. An empty BoundVersion is that of servers which
	// state none.
	Bound        bool
	BoundVersion string
	// MaxWait is the maximum wait for a server.
	MaxWait time.Duration
}

// sharedParts returns the parts that other requests may have in common.
func (q *Query) sharedParts() []Part {
	if len(q.Parts) <= 1 {
		return q.Parts
	}
	return q.Parts[:len(q.Parts)-1]
}

// affinityKey identifies the longest shareable prefix of the prompt. It returns
// false when the prompt has none.
func (q *Query) affinityKey() (uint64, bool) {
	shared := q.sharedParts()
	if len(shared) == 0 {
		return 0, false
	}
	return shared[len(shared)-1].ID, true
}

// tried reports whether the request was already sent to the server.
func (q *Query) tried(s *server) bool { return slices.Contains(q.Tried, s.ID) }

// Outcome is the result of an attempt at a server.
type Outcome int

// Values of Outcome.
const (
	// Answered: the server sent a complete answer.
	Answered Outcome = iota
	// Failed: the server answered with an error of its own.
	Failed
	// Broken: the answer was cut off, or did not come from the server.
	Broken
	// Unreached: the connection could not be established, or was reset before an
	// answer.
	Unreached
	// Silent: no answer arrived before the timeout.
	Silent
	// Full: the server rejected the request for lack of capacity.
	Full
	// Misdirected: the address now belongs to another server.
	Misdirected
	// Abandoned: the attempt was cancelled for a reason unrelated to the server.
	Abandoned
)

var outcomeNames = [...]string{
	Answered: "answered", Failed: "failed", Broken: "broken", Unreached: "unreached",
	Silent: "silent", Full: "full", Misdirected: "misdirected", Abandoned: "abandoned",
}

// String returns the outcome's name, as used in metrics and the timeline.
func (o Outcome) String() string { return outcomeNames[o] }

// isFailure reports whether the outcome is the server's failure. counts is false
// for outcomes that say nothing about the server's health.
func (o Outcome) isFailure() (failed, counts bool) {
	switch o {
	case Answered:
		return false, true
	case Failed, Broken, Unreached, Silent:
		return true, true
	}
	return false, false
}

// Assignment is a request's slot on a server. The holder must call End to release
// it.
type Assignment struct {
	// Server, Address and Zone identify the assigned server.
	Server, Address, Zone string
	// Version is the version of the server's software. Empty means unknown.
	Version string
	// StartedMillis is the server's start in Unix milliseconds. Zero means unknown.
	StartedMillis int64
	// Cold is true when the server was cold at the time of assignment.
	Cold bool
	// OnAffinityServer is true when the server is the affinity server of the prompt's prefix.
	OnAffinityServer bool
	// InFlight is the number of this instance's other requests on the server.
	InFlight int
	// Others is the load that the other instances reported for the server.
	Others Load
	// Uncached is the estimated number of prompt tokens that the server has to
	// prefill.
	Uncached int
	// PrefillAhead is the number of prompt tokens that were pending on the server before
	// this request, as far as this instance knew.
	PrefillAhead int
	// Slots is the number of requests that the server runs concurrently. Zero means unknown.
	Slots int

	sensitivity    int // the request's part of Load.Sensitivity
	balancer       *Balancer
	server         *server
	pool           *pool
	assignedAt     boottime.Instant
	expectedMillis float64 // expected time to the first event, without a relative slowdown
	prefilled      bool    // the first event arrived, so prefill is done
	trial          bool    // the server's trial after a pause
	bound          bool    // the query was bound
	ended          bool
}

// ExpectedFirstEvent returns the time to the first event that was expected at the load of
// the server, or zero for a plain server.
func (a *Assignment) ExpectedFirstEvent() time.Duration {
	if !a.pool.engine {
		return 0
	}
	return time.Duration(a.expectedMillis * float64(time.Millisecond))
}

// PrefillDone records that the first event arrived, which means that the server has
// finished prefill. It returns true on the first call only.
func (a *Assignment) PrefillDone() bool {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.prefillDone() {
		return false
	}
	now := b.now()
	a.server.slowdown.observe(now, now.Sub(a.assignedAt), a.expectedMillis)
	return true
}

func (a *Assignment) prefillDone() bool {
	if a.prefilled {
		return false
	}
	a.prefilled = true
	a.server.pendingPrefill -= a.Uncached
	return true
}

// End releases the slot and records the outcome. Calls after the first have no
// effect.
func (a *Assignment) End(o Outcome) {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.prefillDone()
	a.server.inFlight--
	a.server.sensitivity -= a.sensitivity
	if a.trial {
		a.server.trialRunning = false
	}
	now := b.now()
	previousFailures := a.server.consecutiveFailures
	a.server.recordOutcome(now, o)
	b.recordSuspicion(a.server, previousFailures, o, now)
	b.dispatch(now, a.pool)
}
