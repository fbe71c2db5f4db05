// Package traffic holds the types that the stages of the request path pass to
// each other: what is asked, where it may go, and how an attempt ended.
package traffic

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// Request describes one authenticated request. It is not changed once built.
type Request struct {
	ID           string
	Organisation string
	Class        *config.Class
	// Pool is the model or plain service that serves the request.
	Pool string
	// Plain is true for a plain service, false for a model.
	Plain bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Stream is true when the caller asked for server-sent events.
	Stream bool
	// Key is the digest of the caller's key; empty on an open route.
	Key config.KeyDigest
	// Record is the digest of organisation and idempotency key; empty without one.
	Record string
	// Fingerprint is a digest of pool and body; equal requests share it. Zero means unknown.
	Fingerprint uint64
	// Prefixes are digests of the prompt's leading blocks, shortest prefix first.
	Prefixes []uint64
	// InputTokens is an estimate of the prompt's length.
	InputTokens int
	// Arrived is when the headers were read.
	Arrived time.Time
	// Deadline is when the caller's answer must be complete.
	Deadline time.Time
	// Gate decides between sending and proving not run.
	Gate *result.Gate
}

// Target is a backend server chosen for one attempt.
type Target struct {
	Server  string // name
	Address string // IP and port
	Zone    string
	Epoch   uint64 // restart epoch known when chosen
	Cold    bool   // still ramping up
	Cheap   bool
}

// Failure says why an attempt did not give the whole answer.
type Failure struct {
	Target Target
	Code   result.Code
	// Sent is true when a byte may have been handed to the connection.
	Sent bool
	// Crashed is true when the backend server is thought to have died in the attempt.
	Crashed bool
	// Reused is true when the connection had served an earlier request. A
	// silence on it is a sign against the connection rather than the server.
	Reused bool
}

// Observation tells the scheduler what an attempt showed.
type Observation struct {
	Target       Target
	Epoch        uint64        // epoch in the answer; 0 if it bore none
	FirstToken   time.Duration // 0 if none came
	BetweenMean  time.Duration // mean time between tokens; 0 if unknown
	InputTokens  int64         // as the engine counted them
	OutputTokens int64         // tokens received from the backend server
	Wasted       int64         // tokens that reached no caller
	Whole        bool          // the whole answer arrived
	Failure      *Failure      // nil when Whole
}

// Targets hands out backend servers for the attempts of one admitted request.
type Targets interface {
	// First returns the target that admission reserved.
	First() Target
	// Next returns another target after a failed attempt, drawing on the class's
	// retry budget. It may wait for a free slot until ctx ends.
	Next(ctx context.Context, failed Failure) (Target, *result.Error)
	// Hedge returns a second target beside a running attempt; false when the
	// class's budget or free capacity does not allow one.
	Hedge(running Target) (Target, bool)
	// Observe frees an attempt's slot and reports what it showed. It is called
	// exactly once per target handed out.
	Observe(o Observation)
	// Preempted is closed when a higher tier takes the slot. Only idempotent,
	// resumable requests of a lower tier are preempted.
	Preempted() <-chan struct{}
}

// Ticket is an admitted request.
type Ticket interface {
	Targets
	// Done ends the request. Every slot still held is freed. It is idempotent.
	Done()
}

// Scheduler admits requests and chooses backend servers for them.
type Scheduler interface {
	// Admit waits until the request may start, or refuses it as not run.
	// A closed ctx, a withdrawn key (see Withdraw) or a drain ends the wait.
	Admit(ctx context.Context, r *Request) (Ticket, *result.Error)
}
