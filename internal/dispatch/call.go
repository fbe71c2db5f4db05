package dispatch

import (
	"io"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// Call is one admitted request with what is needed to send it.
type Call struct {
	Request *traffic.Request
	Targets traffic.Targets
	Method  string
	// Path as the backend server sees it, escaped, with a leading slash.
	Path string
	// RawQuery as the backend server sees it. Keys are removed from it.
	RawQuery string
	// Header of the caller. Keys and hop-by-hop fields are removed from a copy.
	Header http.Header
	// Body of a model request, or of a plain one that was read whole.
	Body []byte
	// Stream is the body of a plain request that is sent while it arrives.
	// Nil: Body is sent. A streamed body can't be sent twice. An Interrupter is
	// interrupted when its attempt ends.
	Stream io.Reader
	// ContentLength of Stream in bytes; -1 if unknown.
	ContentLength int64
	// Timeouts bound the phases of each attempt.
	Timeouts Timeouts
	// Attempt is the id of the first attempt, as the idempotency record bears
	// it. Empty: a new one.
	Attempt string
	// Progress hears how the request gets on. Nil: nobody does.
	Progress Progress
	// SendBefore is the latest time at which the first byte may be sent.
	// Zero: no limit beside the deadline.
	SendBefore time.Time
}

// Interrupter is a body whose pending and later reads can be ended. Without it
// a caller that sends no more keeps an attempt from ending.
type Interrupter interface{ Interrupt() }

// Progress hears how a request gets on. Its methods are safe for concurrent use
// and do not block.
type Progress interface {
	// Sent says that the first byte of an attempt is about to be written.
	Sent()
	// Streaming says that the first part of the answer goes to the caller.
	Streaming()
	// AttemptFailed says that an attempt ended without the whole answer.
	AttemptFailed()
}

type noProgress struct{}

func (noProgress) Sent() {}

func (noProgress) Streaming() {}

func (noProgress) AttemptFailed() {}

// Timeouts bound how long an attempt may make no progress. Zero fields take
// the values of DefaultTimeouts.
type Timeouts struct {
	Connect       time.Duration // until the connection is up
	Headers       time.Duration // until the answer's headers
	FirstToken    time.Duration // from the headers until the first byte of the answer
	BetweenTokens time.Duration // between two reads of the answer
	Body          time.Duration // between two reads of the caller's body
}

// Outcome tells how a request ended.
type Outcome struct {
	// Err is nil when the caller got the whole answer.
	Err *result.Error
	// Started is true when a part of the answer was given to the caller.
	Started bool
	// Abort is true when the caller's connection must be cut, because an answer
	// was broken for which no error can be written. The HTTP handler then
	// panics with http.ErrAbortHandler.
	Abort bool
	// Status is the HTTP status given to the caller; 0 when none was.
	Status int
	// Usage is what the organisation is billed for.
	Usage Usage
	// Bytes of the answer's body given to the caller.
	Bytes int64
	// Events is the number of stream events given to the caller; 1 for a whole
	// answer without a stream.
	Events int64
	// Server and Attempt name the attempt that answered, or the last one.
	Server  string
	Attempt string
	// Attempts is the number of attempts made, hedges included.
	Attempts int
	// FirstByte is the time from the request's arrival to its answer's first byte.
	FirstByte time.Duration
}

// Usage counts tokens given to the caller. Tokens of replays and of hedges are
// not in it.
type Usage struct {
	InputTokens  int64
	OutputTokens int64
	// Estimated is true when no engine stated the usage: the input is the
	// router's estimate, the output the number of content events.
	Estimated bool
}

// DefaultTimeouts are used where a class states no targets.
var DefaultTimeouts = Timeouts{
	Connect:       time.Second,
	Headers:       20 * time.Second,
	FirstToken:    20 * time.Second,
	BetweenTokens: 10 * time.Second,
	Body:          30 * time.Second,
}

const (
	firstTokenMargin    = 4  // multiple of the class's target
	betweenTokensMargin = 20 // multiple of the class's target
	minFirstToken       = 2 * time.Second
	minBetweenTokens    = time.Second
)

// TimeoutsFor derives the timeouts of a class's requests from its targets.
func TimeoutsFor(class *config.Class) Timeouts {
	t := DefaultTimeouts
	if class == nil {
		return t
	}
	if target := time.Duration(class.FirstToken); target > 0 {
		t.FirstToken = max(firstTokenMargin*target, minFirstToken)
		t.Headers = t.FirstToken
	}
	if target := time.Duration(class.BetweenTokens); target > 0 {
		t.BetweenTokens = max(betweenTokensMargin*target, minBetweenTokens)
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
