// Package dispatch sends admitted requests to backend servers and relays their
// answers. It manages attempts: their ids, deadlines, retries, resumption and
// hedging.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
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
	// Recorder receives the timeline events. If nil, they are discarded.
	Recorder timeline.Recorder
	// Logger receives warnings. If nil, they are discarded.
	Logger hclog.Logger
	// Suspects isolates requests that may crash backend servers. If nil, no
	// request is isolated or refused.
	Suspects Suspects
	// MaxAnswerBytes bounds an answer that is buffered as a whole. Zero means
	// 32 MiB.
	MaxAnswerBytes int64
	// MaxAttempts bounds the attempts of one request, excluding hedges. Zero
	// means 4.
	MaxAttempts int
	// ProbeTimeout bounds the probe of a server that may have crashed, and the
	// query whether an engine is still working on an attempt. Zero means
	// 300 ms.
	ProbeTimeout time.Duration
	// IdleConnTimeout is the time after which idle connections are closed. Zero
	// means 30 s.
	IdleConnTimeout time.Duration
}

// Suspects decides where suspect requests may run, that is, requests that were
// in flight on a server when it crashed.
type Suspects interface {
	// Refused reports whether the request is refused on all servers.
	Refused(r quarantine.Request, now time.Time) bool
	// Waits reports whether the request may run on no server now, but may soon.
	Waits(r quarantine.Request, now time.Time) bool
	// Start registers a run on the server. It returns false if the request
	// must not run there now. An epoch of 0 means unknown.
	Start(r quarantine.Request, server string, epoch uint64, now time.Time) (Run, bool)
}

// Run is one registered execution. Exactly one of its methods must be called.
type Run interface {
	// Ended reports an end without a crash; complete is true if the answer was
	// complete.
	Ended(complete bool, now time.Time)
	// Crashed reports that the backend server crashed.
	Crashed(now time.Time)
}

// Dispatcher sends requests to backend servers. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	pooled  *httpcheck.Transport // idempotent first attempts
	fresh   *httpcheck.Transport // a new connection for each attempt
	probes  singleflight.Group
	epochs  epochs
}

// New returns a Dispatcher. Call Close to close its idle connections.
func New(o Options) *Dispatcher {
	o = o.withDefaults()
	return &Dispatcher{options: o, pooled: newTransport(o, true), fresh: newTransport(o, false)}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

// Do sends the request until it is answered completely or must end, and writes
// the answer to w. If ctx is cancelled with a *result.Error as its cause, the
// request ends with that error. Any other cancellation means that the caller
// has disconnected. Do returns after all attempts have ended and were passed to
// Targets.Observe.
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

func (noSuspects) Refused(quarantine.Request, time.Time) bool { return false }

func (noSuspects) Waits(quarantine.Request, time.Time) bool { return false }

func (noSuspects) Start(quarantine.Request, string, uint64, time.Time) (Run, bool) {
	return noRun{}, true
}

type noRun struct{}

func (noRun) Ended(bool, time.Time) {}

func (noRun) Crashed(time.Time) {}
