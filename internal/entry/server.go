// Package entry implements the HTTP server for callers: it reads and authenticates
// requests and passes them to admission and dispatch.
package entry

import (
	"context"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/ledger"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// Quarantine reports which requests crash backend servers.
type Quarantine interface {
	// Refused reports whether the request is refused now.
	Refused(r quarantine.Request, now time.Time) bool
}

// Meter counts billed usage.
type Meter interface {
	// Add counts an answered request once per request id and reports whether it
	// was new. Tokens are those that reached the caller.
	Add(request, organisation, class, model string, inputTokens, outputTokens int64) bool
}

// Outcomes counts the outcomes of model requests for the scaler.
type Outcomes interface {
	// Ended counts one request; inTime reports whether it met its class's target.
	Ended(now time.Time, model, class string, inTime bool)
}

// Options configure a Server. All fields are required.
type Options struct {
	Source     config.Source
	Scheduler  traffic.Scheduler
	Dispatcher *dispatch.Dispatcher
	Ledger     *ledger.Ledger
	Quarantine Quarantine
	Meter      Meter
	Outcomes   Outcomes
	Recorder   timeline.Recorder
	Logger     hclog.Logger
	Limits     Limits
	// Seed makes the jitter of Retry-After reproducible. It should differ between
	// instances.
	Seed uint64
}

// Limits bound the resources that one request can use.
type Limits struct {
	// HeaderBytes bounds the headers of one request. Zero means that only the
	// listener's limit applies.
	HeaderBytes int
	// BodyBytes bounds the body of a model request and of a non-idempotent
	// request to a plain service.
	BodyBytes int64
	// BodyTimeout bounds the time to read such a body.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write to the caller. Zero means no limit.
	WriteTimeout time.Duration
}

// Server serves callers' requests. It implements http.Handler.
type Server struct {
	o               Options
	mux             *http.ServeMux
	runningRequests *runningRequests
	metrics         *metricSet
	jitter          *retryJitter
	active          atomic.Int64
	answered        atomic.Int64
	refused         atomic.Int64
	failed          atomic.Int64
}

// New returns a Server. Key withdrawals reach running requests only while Run is
// running.
func New(o Options) *Server {
	s := &Server{
		o: o, mux: http.NewServeMux(), runningRequests: newRunningRequests(),
		metrics: newMetricSet(), jitter: newRetryJitter(o.Seed),
	}
	s.handle(http.MethodPost, "/v1/chat/completions", s.serveModel)
	s.handle(http.MethodPost, "/v1/completions", s.serveModel)
	s.handle(http.MethodGet, "/v1/models", s.serveModels)
	s.handle(http.MethodGet, "/v1/models/{model}", s.serveModelInfo)
	s.mux.HandleFunc("/services/{service}", s.route(s.serveService))
	s.mux.HandleFunc("/services/{service}/{path...}", s.route(s.serveService))
	s.mux.HandleFunc("/", s.route(s.serveUnknown))
	return s
}

// handle registers a handler for one method of a path and refuses other methods.
func (s *Server) handle(method, path string, serve handler) {
	s.mux.HandleFunc(method+" "+path, s.route(serve))
	s.mux.HandleFunc(path, s.route(func(x *exchange) {
		x.w.Header().Set("Allow", method)
		x.refuse(x.gate.Refuse(result.MethodNotAllowed, "%s takes %s only", path, method))
	}))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if reason := invalidPathReason(r); reason != "" {
		s.route(func(x *exchange) { x.refuse(x.gate.Refuse(result.BadRequest, "%s", reason)) })(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Active returns the number of requests being served.
func (s *Server) Active() int64 { return s.active.Load() }

// AwaitIdle waits until no request is being served or ctx ends. A request that
// continues after its caller disconnected counts as being served.
func (s *Server) AwaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for s.Active() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}

const idlePollInterval = 10 * time.Millisecond

// Counts returns request counts since the start.
func (s *Server) Counts() operator.RequestCounts {
	return operator.RequestCounts{
		Open:     s.active.Load(),
		Answered: s.answered.Load(),
		Refused:  s.refused.Load(),
		Failed:   s.failed.Load(),
	}
}

// Run cancels running requests that a newer configuration forbids, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var version uint64
	for {
		changed := s.o.Source.Changed(version)
		if snap := s.o.Source.Current(); snap != nil {
			version = snap.Version
			s.runningRequests.cancelForbidden(snap)
			s.metrics.prune(snap)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// handler serves one request.
type handler func(x *exchange)

// route wraps a handler: it creates the exchange, runs the checks common to all
// routes and recovers from panics.
func (s *Server) route(serve handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := s.newExchange(w, r)
		defer x.cleanUp()
		if refusal := x.precheck(); refusal != nil {
			x.refuse(refusal)
			return
		}
		serve(x)
	}
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	id := uuid.Must(uuid.NewV7()).String()
	w.Header().Set(RequestHeader, id)
	control := http.NewResponseController(w)
	x := &exchange{
		server:    s,
		w:         &answerWriter{ResponseWriter: w, control: control, timeout: s.o.Limits.WriteTimeout},
		r:         r,
		id:        id,
		arrived:   time.Now(),
		lifecycle: newLifecycle(id),
		secret:    newSecret(r.Header),
		body:      newRequestBody(r, control),
		snap:      s.o.Source.Current(),
	}
	return x
}

// precheck refuses requests that no route can serve.
func (x *exchange) precheck() *result.Error {
	if x.snap == nil || !x.server.o.Source.Fresh() {
		return x.refuseStale()
	}
	if refusal := x.refuseLargeHeader(); refusal != nil {
		return refusal
	}
	if protocol := x.r.Header.Get("Upgrade"); protocol != "" && !strings.EqualFold(protocol, h2cUpgrade) {
		return x.gate.Refuse(result.UpgradeUnsupported, "the protocol %q is not served", protocol)
	}
	if x.secret.foundIn(x.r.URL.EscapedPath()) {
		return x.gate.Refuse(result.BadRequest, "the path bears the key; send it in the Authorization header only")
	}
	return nil
}

// h2cUpgrade is the Upgrade token that offers HTTP/2; a server may ignore it.
const h2cUpgrade = "h2c"

// cleanUp sets the final deadlines on the connection and recovers from a panic of
// the handler, which it answers with a result unless the answer has started.
func (x *exchange) cleanUp() {
	x.body.setDrainDeadline()
	x.w.setWriteDeadline()
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered == http.ErrAbortHandler || x.w.started {
		panic(recovered)
	}
	x.server.o.Logger.Error("request handler panicked", "request", x.id, "panic", recovered, "stack", string(debug.Stack()))
	x.refuse(x.gate.Refuse(result.Internal, "the router failed; report the request id"))
}

func (s *Server) serveUnknown(x *exchange) {
	x.refuse(x.gate.Refuse(result.UnknownRoute, "no route has the path %q", x.r.URL.Path))
}
