package dispatch

import (
	"io"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// Call is one admitted request with everything needed to send it.
type Call struct {
	Request *traffic.Request
	Targets traffic.Targets
	Method  string
	// Path is the escaped path sent to the backend server, with a leading
	// slash.
	Path string
	// RawQuery is the query for the backend server. Parameters that carry keys
	// are removed before it is sent.
	RawQuery string
	// Header is the caller's header. It is not modified; keys and hop-by-hop
	// fields are removed from the copy that is sent.
	Header http.Header
	// Body is the body of a model request, or of a plain request that was read
	// to its end.
	Body []byte
	// Stream is the body of a plain request that is forwarded while it is read.
	// If nil, Body is sent. A streamed body can be sent only once. If it
	// implements Interrupter, it is interrupted when its attempt ends.
	Stream io.Reader
	// ContentLength is the length of Stream in bytes, or -1 if unknown.
	ContentLength int64
	// Timeouts bound the phases of each attempt.
	Timeouts Timeouts
	// Attempt is the id of the first attempt, as stored in the idempotency
	// record. If empty, a new id is generated.
	Attempt string
	// Progress receives callbacks about the request. It may be nil.
	Progress Progress
	// SendBefore is the latest time at which the first byte may be sent. Zero
	// means no limit other than the request's deadline.
	SendBefore time.Time
}

// Interrupter is implemented by bodies whose pending and later reads can be
// ended. Without it, an attempt cannot end while a read from a stalled caller
// is pending.
type Interrupter interface{ Interrupt() }

// Progress receives callbacks about a request. Implementations must be safe for
// concurrent use and must not block.
type Progress interface {
	// Sent is called before the first byte of an attempt is written.
	Sent()
	// Streaming is called when the first part of the answer is written to the
	// caller.
	Streaming()
	// AttemptFailed is called when an attempt ends without a complete answer.
	AttemptFailed()
}

type noProgress struct{}

func (noProgress) Sent() {}

func (noProgress) Streaming() {}

func (noProgress) AttemptFailed() {}

// Timeouts bound how long an attempt may make no progress. Zero fields take the
// values of DefaultTimeouts.
type Timeouts struct {
	Connect       time.Duration // until the connection is established
	Headers       time.Duration // until the answer's headers arrive
	FirstToken    time.Duration // from the headers until the first byte of the answer
	BetweenTokens time.Duration // between two reads of the answer
	Body          time.Duration // between two reads of the caller's body
}

// Outcome describes how a request ended.
type Outcome struct {
	// Err is nil if the caller received the complete answer.
	Err *result.Error
	// AnswerStarted is true if part of the answer was written to the caller.
	AnswerStarted bool
	// Abort is true if the caller's connection must be closed, because the
	// answer was truncated and no error can be written into it. The HTTP
	// handler then panics with http.ErrAbortHandler.
	Abort bool
	// Status is the HTTP status written to the caller; 0 if none was.
	Status int
	// Usage is the usage billed to the organisation.
	Usage Usage
	// Bytes is the size of the answer's body written to the caller.
	Bytes int64
	// Events is the number of stream events written to the caller; 1 for a
	// complete answer without a stream.
	Events int64
	// Server and Attempt identify the attempt that answered, or the last one.
	Server  string
	Attempt string
	// Attempts is the number of attempts made, including hedges.
	Attempts int
	// FirstByte is the time from the request's arrival to the first byte of its
	// answer.
	FirstByte time.Duration
}

// Usage counts the tokens delivered to the caller. Replayed tokens and tokens
// of cancelled hedges are excluded.
type Usage struct {
	InputTokens  int64
	OutputTokens int64
	// Estimated is true if no engine reported the usage. InputTokens is then
	// the router's estimate, and OutputTokens is the number of content events.
	Estimated bool
}

// DefaultTimeouts are used where a class sets no targets.
var DefaultTimeouts = Timeouts{
	Connect:       time.Second,
	Headers:       20 * time.Second,
	FirstToken:    20 * time.Second,
	BetweenTokens: 10 * time.Second,
	Body:          30 * time.Second,
}

const (
	firstTokenTimeoutFactor    = 4  // multiple of the class's target
	betweenTokensTimeoutFactor = 20 // multiple of the class's target
	minFirstTokenTimeout       = 2 * time.Second
	minBetweenTokensTimeout    = time.Second
)

// TimeoutsFor derives the timeouts of a class's requests from the class's
// targets. If class is nil, it returns DefaultTimeouts.
func TimeoutsFor(class *config.Class) Timeouts {
	t := DefaultTimeouts
	if class == nil {
		return t
	}
	if target := time.Duration(class.FirstToken); target > 0 {
		t.FirstToken = max(firstTokenTimeoutFactor*target, minFirstTokenTimeout)
		t.Headers = t.FirstToken
	}
	if target := time.Duration(class.BetweenTokens); target > 0 {
		t.BetweenTokens = max(betweenTokensTimeoutFactor*target, minBetweenTokensTimeout)
	}
	return t
}

func (t Timeouts) withDefaults() Timeouts {
	return Timeouts{
		Connect:       orDefault(t.Connect, DefaultTimeouts.Connect),
		Headers:       orDefault(t.Headers, DefaultTimeouts.Headers),
		FirstToken:    orDefault(t.FirstToken, DefaultTimeouts.FirstToken),
		BetweenTokens: orDefault(t.BetweenTokens, DefaultTimeouts.BetweenTokens),
		Body:          orDefault(t.Body, DefaultTimeouts.Body),
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
