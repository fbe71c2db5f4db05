// Package traffic defines the types that the stages of the request path exchange:
// requests, the backend servers chosen for them, and the results of attempts.
package traffic

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// Request is one authenticated request. It is immutable.
type Request struct {
	ID           string
	Organisation string
	Class        *config.Class
	// Pool is the name of the model or plain service that the request is for.
	Pool string
	// Plain is true for a plain HTTP service and false for a model.
	Plain bool
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Stream is true if the caller requested server-sent events.
	Stream bool
	// Key is the digest of the caller's key. Empty means that the route is open and the
	// request has no key.
	Key config.KeyDigest
	// Record is the digest of the organisation and the idempotency key, which identifies
	// the idempotency record. Empty means that there is no record.
	Record string
	// Fingerprint is a digest of the pool and the body, so that equal requests have the
	// same fingerprint. Zero means unknown.
	Fingerprint uint64
	// Prefixes are the digests of the prompt's prefixes at block boundaries, shortest
	// first.
	Prefixes []uint64
	// InputTokens is the estimated length of the prompt in tokens.
	InputTokens int
	// Arrived is the time at which the headers were read.
	Arrived time.Time
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// Gate decides whether the request may be sent or is refused as not run.
	Gate *result.Gate
}

// Suspect returns what identifies the request to the crash quarantine. The longest
// prefix belongs to this request.
func (r *Request) Suspect() quarantine.Request {
	return quarantine.Request{Fingerprint: r.Fingerprint, Parts: r.Prefixes[:max(len(r.Prefixes)-1, 0)]}
}

// Target is the backend server chosen for one attempt.
type Target struct {
	Server      string // name of the backend server
	Address     string // IP address and port
	Zone        string
	Epoch       uint64 // last known restart epoch when the server was chosen
	Cold        bool   // the load limit is still being raised
	Preemptible bool
}

// Failure describes an attempt that ended without a complete answer.
type Failure struct {
	Target Target
	Code   result.Code
	// Sent is true if a byte may have been written to the connection.
	Sent bool
	// Paused is true if the backend server refused the attempt and asked for a pause,
	// which is no fault of the server.
	Paused bool
	// Crashed is true if the backend server probably crashed during the attempt.
	Crashed bool
	// Reused is true if the connection had served an earlier request. A missing response
	// on such a connection points to a fault of the connection rather than the server.
	Reused bool
}

// Statement is what the head of an answer states about the backend server that sent it.
type Statement struct {
	Target   Target
	Epoch    uint64 // restart epoch in the answer; 0 if there was none
	Advisory advisory.Advisory
	SentAt   time.Time // when the attempt started
	Partial  bool      // the head need not state everything; see advisory.Heard
	Request  string    // id of the request
	Status   int       // HTTP status of the answer
}

// Heard returns the advisory of an answer whose head arrived at the given time.
func (s Statement) Heard(at time.Time) advisory.Heard[time.Time] {
	return advisory.Heard[time.Time]{Advisory: s.Advisory, From: s.SentAt, To: at, Partial: s.Partial}
}

// String describes the answer as key=value pairs.
func (s Statement) String() string { return fmt.Sprintf("request=%s status=%d", s.Request, s.Status) }

// Observation is the result of one attempt, as reported to the scheduler.
type Observation struct {
	Target            Target
	Epoch             uint64        // restart epoch in the response; 0 if there was none
	FirstToken        time.Duration // time to first token; 0 if no token was received
	BetweenMean       time.Duration // mean time between tokens; 0 if unknown
	InputTokens       int64         // as counted by the engine
	OutputTokens      int64         // tokens received from the backend server
	UndeliveredTokens int64         // tokens that were not delivered to a caller
	Complete          bool          // the complete answer was received
	Failure           *Failure      // nil if the answer is complete
}

// Targets chooses backend servers for the attempts of one admitted request.
type Targets interface {
	// First returns the target that was reserved at admission.
	First() Target
	// Next returns another target after a failed attempt and charges the class's retry
	// budget. It may wait for a free slot until ctx is done.
	Next(ctx context.Context, failed Failure) (Target, *result.Error)
	// Hedge returns a second target in parallel to a running attempt. It returns false if
	// the class's retry budget or the free capacity does not allow one.
	Hedge(running Target) (Target, bool)
	// Observe reports the result of an attempt and frees its slot. It must be called
	// exactly once per returned target.
	Observe(o Observation)
	// Stated reports what the head of an answer states about its server. It is called
	// as soon as the head arrives.
	Stated(s Statement)
	// Wanted reports whether the target's server still wants requests. It is called right
	// before the first byte of an attempt is sent.
	Wanted(t Target) bool
	// Preempted returns a channel that is closed if a request of a higher tier takes the
	// slot. Only idempotent, resumable requests of a lower tier are preempted.
	Preempted() <-chan struct{}
}

// Ticket is an admitted request.
type Ticket interface {
	Targets
	// Done ends the request and frees all slots that it still holds. It is idempotent.
	Done()
}

// Scheduler admits requests and chooses backend servers for them.
type Scheduler interface {
	// Admit waits until the request may start, or refuses it as not run. The wait ends
	// if ctx is done, the key is withdrawn or the instance drains.
	Admit(ctx context.Context, r *Request) (Ticket, *result.Error)
}
