// Package entry is the callers' side of an instance: it reads requests,
// authenticates them, and hands them to admission and dispatch.
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
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// Quarantine tells which requests crash backend servers.
type Quarantine interface {
	// Refused reports whether requests with the fingerprint are refused now.
	Refused(fingerprint uint64, now time.Time) bool
}

// Meter counts billed usage.
type Meter interface {
	// Add counts an answered request once per request id and reports whether it
	// was new. Tokens are those that reached the caller.
	Add(request, organisation, class, model string, inputTokens, outputTokens int64) bool
}

// Outcomes counts how requests to models ended, for the scaler.
type Outcomes interface {
	// Ended counts one request; inTime says whether it met its class's target.
	Ended(now time.Time, model, class string, inTime bool)
}

// Options are what a Server needs. Every field is required.
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
	// Seed makes the spread of Retry-After repeatable. Instances should differ.
	Seed uint64
}

// Limits bound what one caller may hold of an instance.
type Limits struct {
	// HeaderBytes bounds the headers of one request. Zero: the listener's bound.
	HeaderBytes int
	// BodyBytes bounds the body of a model request and of a non-idempotent
	// request to a plain service.
	BodyBytes int64
	// BodyTimeout bounds the time to read such a body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time that a caller may take to accept one write.
	WriteTimeout time.Duration
}

// Server serves callers. It implements http.Handler.
type Server struct {
	o           Options
	mux         *http.ServeMux
	withdrawals *withdrawals
	metrics     *metricSet
	spread      *retrySpread
	active      atomic.Int64
	answered    atomic.Int64
	refused     atomic.Int64
	failed      atomic.Int64
}

// New returns a Server. Run must be running for withdrawals to reach requests
// that have begun.
func New(o Options) *Server {
	s := &Server{
		o: o, mux: http.NewServeMux(), withdrawals: newWithdrawals(),
		metrics: newMetricSet(), spread: newRetrySpread(o.Seed),
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

// handle serves one method of a path and refuses all others.
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
	if fault := pathFault(r); fault != "" {
		s.route(func(x *exchange) { x.refuse(x.gate.Refuse(result.BadRequest, "%s", fault)) })(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Active returns the number of requests being served.
func (s *Server) Active() int64 { return s.active.Load() }

// AwaitIdle waits until no request is served. A run that goes on after its
// caller's connection has closed counts as being served.
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

// Counts returns the requests served since the start.
func (s *Server) Counts() operator.RequestsInBrief {
	return operator.RequestsInBrief{
		Open:     s.active.Load(),
		Answered: s.answered.Load(),
		Refused:  s.refused.Load(),
		Failed:   s.failed.Load(),
	}
}

// Run applies key withdrawals to running requests until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var version uint64
	for {
		changed := s.o.Source.Changed(version)
		if snap := s.o.Source.Current(); snap != nil {
			version = snap.Version
			s.withdrawals.apply(snap)
			s.metrics.prune(snap)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// handler serves one request of a route.
type handler func(x *exchange)

// route gives a request its identity and a configuration snapshot.
func (s *Server) route(serve handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := s.newExchange(w, r)
		defer x.leave()
		if refusal := x.screen(); refusal != nil {
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
		server:  s,
		w:       &answerWriter{ResponseWriter: w, control: control, timeout: s.o.Limits.WriteTimeout},
		r:       r,
		id:      id,
		arrived: time.Now(),
		life:    newLife(id),
		secret:  newSecret(r.Header),
		body:    newRequestBody(r, control),
		snap:    s.o.Source.Current(),
	}
	return x
}

// screen refuses what no route serves.
func (x *exchange) screen() *result.Error {
	if x.snap == nil || !x.server.o.Source.Fresh() {
		return x.stale()
	}
	if refusal := x.headerTooLarge(); refusal != nil {
		return refusal
	}
	if protocol := x.r.Header.Get("Upgrade"); protocol != "" && !strings.EqualFold(protocol, upgradeHTTP2) {
		return x.gate.Refuse(result.UpgradeUnsupported, "the protocol %q is not served", protocol)
	}
	if x.secret.in(x.r.URL.EscapedPath()) {
		return x.gate.Refuse(result.BadRequest, "the path bears the key; send it in the Authorization header only")
	}
	return nil
}

// upgradeHTTP2 is an offer to use HTTP/2, which a server may pass over.
const upgradeHTTP2 = "h2c"

// leave ends the request on the connection. A fault of the router itself is
// answered as a result where the answer has not begun.
func (x *exchange) leave() {
	x.body.leave()
	x.w.extend()
	fault := recover()
	if fault == nil {
		return
	}
	if fault == http.ErrAbortHandler || x.w.begun {
		panic(fault)
	}
	x.server.o.Logger.Error("request handler panicked", "request", x.id, "panic", fault, "stack", string(debug.Stack()))
	x.refuse(x.gate.Refuse(result.Internal, "the router failed; report the request id"))
}

func (s *Server) serveUnknown(x *exchange) {
	x.refuse(x.gate.Refuse(result.UnknownRoute, "no route has the path %q", x.r.URL.Path))
}
