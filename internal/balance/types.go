package balance

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// Part is one part of a prompt, in order from its start. Requests share parts.
type Part struct {
	ID     uint64
	Tokens int
}

// Query is one request that needs a backend server.
type Query struct {
	// Service names the group of servers.
	Service string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Organisation is whose share of the queue the request uses.
	Organisation string
	// Parts are the prompt's parts. The last one belongs to the request itself.
	Parts []Part
	// PromptTokens and OutputTokens are the request's size. Zero: unknown.
	PromptTokens, OutputTokens int
	// Tried names servers that the request was sent to.
	Tried []string
	// Patience is the longest wait for a server.
	Patience time.Duration
}

// sharedParts are the parts that other requests may share.
func (q *Query) sharedParts() []Part {
	if len(q.Parts) <= 1 {
		return q.Parts
	}
	return q.Parts[:len(q.Parts)-1]
}

// affinity identifies the longest shared beginning of the prompt; false when the
// request has none.
func (q *Query) affinity() (uint64, bool) {
	shared := q.sharedParts()
	if len(shared) == 0 {
		return 0, false
	}
	return shared[len(shared)-1].ID, true
}

// Outcome tells how an attempt at a server ended.
type Outcome int

// Values of Outcome.
const (
	// Answered: the server gave a whole answer.
	Answered Outcome = iota
	// Failed: the server answered with a failure of its own.
	Failed
	// Broken: the answer broke off or was not the server's.
	Broken
	// Unreached: no connection came up, or it was reset before an answer.
	Unreached
	// Silent: nothing came in time.
	Silent
	// Full: the server refused the request for lack of room.
	Full
	// Misdirected: another server has the address now.
	Misdirected
	// Abandoned: the attempt was given up for a reason that is not the server's.
	Abandoned
)

var outcomeNames = [...]string{
	Answered: "answered", Failed: "failed", Broken: "broken", Unreached: "unreached",
	Silent: "silent", Full: "full", Misdirected: "misdirected", Abandoned: "abandoned",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// failed reports whether the outcome tells against the server, and whether it
// says anything of it.
func (o Outcome) failed() (failed, counts bool) {
	switch o {
	case Answered:
		return false, true
	case Failed, Broken, Unreached, Silent:
		return true, true
	}
	return false, false
}

// Assignment is a server's place that a request holds. End frees it.
type Assignment struct {
	// Server, Address and Zone name the chosen server.
	Server, Address, Zone string
	// Cold is true when the server was cold.
	Cold bool
	// Home is true when the server is the one that requests with the prompt's
	// prefix take by preference.
	Home bool
	// InFlight is the number of this instance's other requests on the server.
	InFlight int
	// Others is what the other instances said to have on the server.
	Others Load

	balancer *Balancer
	server   *server
	pool     *pool
	prefill  int
	given    boottime.Instant
	expected float64 // milliseconds to the first event, on a server of its own
	read     bool    // the first event came
	ended    bool
}

// ReadPrompt reports that the server has read the prompt. It returns true the
// first time.
func (a *Assignment) ReadPrompt() bool {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.promptRead() {
		return false
	}
	now := b.now()
	a.server.slowdown.observe(now, now.Sub(a.given), a.expected)
	return true
}

func (a *Assignment) promptRead() bool {
	if a.read {
		return false
	}
	a.read = true
	a.server.prefill -= a.prefill
	return true
}

// End frees the place. Later calls do nothing.
func (a *Assignment) End(o Outcome) {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.promptRead()
	a.server.inFlight--
	now := b.now()
	before := a.server.unreached
	a.server.ended(now, o)
	b.recordTrust(a.server, before, o, now)
	b.pump(now, a.pool)
}
