package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/pace"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Source provides the configuration in force and reports how fresh it is.
type Source interface {
	// Table returns the newest configuration, or nil before the first one was read.
	Table() *routes.Table
	// KeysFresh reports whether the table was current recently enough that
	// requests may run under the keys it holds.
	KeysFresh() bool
	// KeysValidFor returns how long the answer of KeysFresh stays true if nothing more
	// is learned. Zero means without limit.
	KeysValidFor() time.Duration
	// UpToDate reports whether the table is up to date, so that a route or key
	// that it lacks does not exist.
	UpToDate() bool
}

// Meter counts the requests that started to run.
type Meter interface {
	// Began counts one request of an organisation that started to run the given
	// time ago.
	Began(organisation string, ago time.Duration)
}

// Options configure a Gateway. All fields are required unless stated otherwise.
type Options struct {
	Source   Source
	Balancer *balance.Balancer
	Protocol Protocol
	Meter    Meter
	Suspects dispatch.Suspects
	Recorder timeline.Recorder
	// Pace receives what answers show of the servers' performance. It may be nil.
	Pace *pace.Book
	// Versions receives what responses say about their server's version, and returns how a
	// response of a new version is bad, or "". It must not block. May be nil.
	Versions func(VersionSample) string
	// Suspected reports whether the quarantine suspects a request. May be nil.
	Suspected func(quarantine.Request, time.Time) bool
	// Origins knows which software version began a stream, so that the caller's next attempt
	// resumes it at that version only. If nil, any version may resume it.
	Origins Origins
	// ServersAsOf returns the latest instant at which the balancer's list of servers is known to
	// have been current. If nil, the list always is. It must be safe for concurrent use.
	ServersAsOf func() boottime.Instant
	// BufferBytes bounds the bytes of callers' bodies and of unfinished answers and
	// events that are kept for all requests together. Zero means without limit.
	BufferBytes int64
	// Delivery bounds the time from the decision to send a request until its server
	// has received it. It must be less than the time after which a server that leaves
	// must not receive requests. Zero means guardconn.DefaultDelivery.
	Delivery time.Duration
}

// Gateway forwards callers' requests to backend servers. It implements
// http.Handler and is safe for concurrent use.
type Gateway struct {
	options    Options
	transports *transports
	probes     *prober
	processes  *processes
	active     atomic.Int64
	stopping   context.Context // ends when requests in flight are to be aborted
	stop       context.CancelFunc
	counters   *counters
	buffers    *bytebudget.Budget
	// answerTimes and stopState decide which requests are sent during a graceful stop.
	answerTimes *answerTimes
	stopState   stopState
	// delays tells when this process was itself delayed.
	delays delayMonitor
}

// New returns a gateway. Close releases its idle connections.
func New(o Options) *Gateway {
	if o.Delivery == 0 {
		o.Delivery = guardconn.DefaultDelivery
	}
	g := &Gateway{options: o, transports: newTransports(), probes: newProber(), processes: newProcesses(), counters: newCounters(), answerTimes: newAnswerTimes(), buffers: bytebudget.New(o.BufferBytes)}
	g.stopping, g.stop = context.WithCancel(context.Background())
	return g
}

// Abort ends all requests in flight, at the end of the grace period of a
// graceful stop. Callers whose answer has not started receive an error.
func (g *Gateway) Abort() { g.stop() }

// Close closes idle connections to backend servers. No request may be in flight.
func (g *Gateway) Close() {
	g.stop()
	g.transports.close()
}

// Active returns the number of requests in flight.
func (g *Gateway) Active() int64 { return g.active.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	x := newExchange(g, w, r)
	defer x.close()
	x.serve()
}
