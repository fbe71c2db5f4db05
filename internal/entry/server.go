// Package entry is the callers' side of an instance: it reads requests,
// authenticates them, and hands them to admission and dispatch.
package entry

import (
	"context"
	"net/http"
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

// Options are what a Server needs. Every field is required.
type Options struct {
	Source     config.Source
	Scheduler  traffic.Scheduler
	Dispatcher *dispatch.Dispatcher
	Ledger     *ledger.Ledger
	Quarantine Quarantine
	Meter      Meter
	Recorder   timeline.Recorder
	Logger     hclog.Logger
	Limits     Limits
}

// Limits bound what one caller may hold of an instance.
type Limits struct {
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
	active      atomic.Int64
	answered    atomic.Int64
	refused     atomic.Int64
	failed      atomic.Int64
}

// New returns a Server. Run must be running for withdrawals to reach requests
// that have begun.
func New(o Options) *Server {
	s := &Server{o: o, mux: http.NewServeMux(), withdrawals: newWithdrawals(), metrics: newMetricSet()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.route(s.serveModel))
	s.mux.HandleFunc("POST /v1/completions", s.route(s.serveModel))
	s.mux.HandleFunc("GET /v1/models", s.route(s.serveModels))
	s.mux.HandleFunc("GET /v1/models/{model}", s.route(s.serveModelInfo))
	s.mux.HandleFunc("/services/{service}/{path...}", s.route(s.serveService))
	s.mux.HandleFunc("/", s.route(s.serveUnknown))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	s.mux.ServeHTTP(w, r)
}

// Active returns the number of requests being served.
func (s *Server) Active() int64 { return s.active.Load() }

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
		id := uuid.Must(uuid.NewV7()).String()
		w.Header().Set(RequestHeader, id)
		x := &exchange{
			server:  s,
			w:       &answerWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: s.o.Limits.WriteTimeout},
			r:       r,
			id:      id,
			arrived: time.Now(),
		}
		x.snap = s.o.Source.Current()
		if x.snap == nil || !s.o.Source.Fresh() {
			x.refuse(x.gate.Refuse(result.ConfigurationStale, "the instance does not know whether its configuration is current").WithRetryAfter(time.Second))
			return
		}
		serve(x)
	}
}

func (s *Server) serveUnknown(x *exchange) {
	x.refuse(x.gate.Refuse(result.UnknownRoute, "no route has the path %q", x.r.URL.Path))
}
