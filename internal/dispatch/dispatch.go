// Package dispatch sends admitted requests to backend servers and relays their
// answers. It owns attempts: their identity, deadlines, retries, resumption
// and hedging.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	defaultMaxAnswerBytes   = 32 << 20
	defaultIdleConnsPerHost = 64
	defaultIdleConnTimeout  = 30 * time.Second
	defaultProbeTimeout     = 300 * time.Millisecond
	keepAliveIdle           = 3 * time.Second
	keepAliveInterval       = time.Second
	keepAliveCount          = 3
	maxResponseHeaderBytes  = 64 << 10
	streamReadBufferBytes   = 16 << 10
	plainCopyBufferBytes    = 32 << 10
	maxEventBytes           = 4 << 20
	defaultMaxAttempts      = 4
)

// Options configure a Dispatcher. The zero value is usable.
type Options struct {
	// Recorder takes the time line's events. Nil: none.
	Recorder timeline.Recorder
	// Logger takes warnings. Nil: none.
	Logger hclog.Logger
	// Suspects keeps apart the requests that may crash backend servers. Nil: none.
	Suspects Suspects
	// MaxAnswerBytes bounds an answer that is read whole. Default 32 MiB; zero
	// means the default.
	MaxAnswerBytes int64
	// MaxAttempts bounds the attempts of one request, hedges excluded.
	// Default 4; zero means the default.
	MaxAttempts int
	// ProbeTimeout bounds the check whether a server crashed. Default 300ms;
	// zero means the default.
	ProbeTimeout time.Duration
	// IdleConnTimeout closes idle connections. Default 30s; zero means the default.
	IdleConnTimeout time.Duration
}

// Suspects decides where requests run that were in flight on crashed servers.
type Suspects interface {
	// Refused reports whether the fingerprint is refused everywhere.
	Refused(fingerprint uint64, now time.Time) bool
	// Start registers a run on the server; false when the fingerprint must not
	// run there now. The epoch is 0 if unknown.
	Start(fingerprint uint64, server string, epoch uint64, now time.Time) (Run, bool)
}

// Run is one registered execution. Exactly one of its methods is called.
type Run interface {
	// Ended reports an end without a crash; whole is true when the answer was whole.
	Ended(whole bool, now time.Time)
	// Crashed reports that the backend server died.
	Crashed(now time.Time)
}

// Dispatcher sends requests to backend servers. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	pooled  *http.Transport // idempotent first attempts
	fresh   *http.Transport // a new connection for each attempt
	probes  singleflight.Group
	epochs  epochs
}

// New returns a dispatcher. Close frees its idle connections.
func New(o Options) *Dispatcher {
	o = o.withDefaults()
	return &Dispatcher{options: o, pooled: newTransport(o, true), fresh: newTransport(o, false)}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

// Do sends the request until it is answered whole or must end, and writes the
// answer to w. A ctx that is cancelled with a *result.Error as its cause ends
// the request with that error; any other cancellation means that the caller is
// gone. Do returns after every attempt has ended and was observed.
func (d *Dispatcher) Do(ctx context.Context, c Call, w http.ResponseWriter) Outcome {
	x := newExchange(ctx, d, c, w)
	defer x.close()
	x.run()
	return x.outcome
}

func (o Options) withDefaults() Options {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Suspects == nil {
		o.Suspects = noSuspects{}
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.ProbeTimeout == 0 {
		o.ProbeTimeout = defaultProbeTimeout
	}
	if o.IdleConnTimeout == 0 {
		o.IdleConnTimeout = defaultIdleConnTimeout
	}
	return o
}

type noSuspects struct{}

func (noSuspects) Refused(uint64, time.Time) bool { return false }

func (noSuspects) Start(uint64, string, uint64, time.Time) (Run, bool) { return noRun{}, true }

type noRun struct{}

func (noRun) Ended(bool, time.Time) {}

func (noRun) Crashed(time.Time) {}
