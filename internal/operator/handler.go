package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/clientconn"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// StatusProvider reports the state of the instance. It is safe for concurrent use.
type StatusProvider interface {
	// Status returns the instance's status. The handler sets Version, Fresh,
	// ZonesOut, Ready and Reason.
	Status(ctx context.Context) Status
	// Ready reports whether the instance accepts new requests. If not, reason
	// says why.
	Ready() (ready bool, reason string)
}

// Drainer stops the instance.
type Drainer interface {
	// Drain starts a planned stop and returns immediately. With force, it cancels
	// requests that are still running. It is idempotent.
	Drain(force bool)
}

// Options configure the API. All fields are required unless noted.
type Options struct {
	Source   config.Source
	Editor   config.Editor
	Timeline *timeline.Ring
	Status   StatusProvider
	Drainer  Drainer
	// Metrics writes the metrics in the Prometheus text format.
	Metrics func(w io.Writer)
	// TokenDigest is the SHA-256 digest, in hexadecimal, of the bearer token.
	// Empty means that no token is required.
	TokenDigest string
	Log         hclog.Logger
	// Guard bounds what clients can make the process hold. Only NewServer uses it.
	Guard *clientconn.Guard
}

// ListenerName is the name of the operators' listener in metrics and log lines.
const ListenerName = "operators"

// Timeouts of the operators' HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 2 * time.Minute
	idleTimeout       = 2 * time.Minute
)

// NewServer returns an HTTP server for the API. The caller provides the listener,
// with TLS if needed, and wraps it with Guard.Listener beneath TLS.
func NewServer(o Options) *http.Server {
	s := &http.Server{
		Handler:           NewHandler(o),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          o.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	o.Guard.Install(s)
	return s
}

type handler struct{ Options }

// NewHandler returns the handler of the API.
func NewHandler(o Options) http.Handler {
	h := &handler{o}
	public, protected := http.NewServeMux(), http.NewServeMux()
	public.HandleFunc("GET "+LivePath, h.live)
	public.HandleFunc("GET "+ReadyPath, h.ready)
	public.HandleFunc("GET "+MetricsPath, h.metrics)
	public.Handle("/", h.requireToken(protected))

	protected.HandleFunc("GET "+TimelinePath, h.timeline)
	protected.HandleFunc("GET "+ConfigPath, h.showConfig)
	protected.HandleFunc("PUT "+ConfigPath, h.applyConfig)
	protected.HandleFunc("POST "+ConfigCheckPath, h.checkConfig)
	protected.HandleFunc("GET "+KeysPath, h.listKeys)
	protected.HandleFunc("POST "+KeysPath, h.grantKey)
	protected.HandleFunc("DELETE "+KeyPath+"{digest}", h.withdrawKey)
	protected.HandleFunc("PUT "+ZonePath+"{zone}", h.setZone)
	protected.HandleFunc("GET "+StatusPath, h.status)
	protected.HandleFunc("POST "+DrainPath, h.drain)
	protected.HandleFunc("GET "+InForcePath, h.inForce)
	protected.HandleFunc("GET "+ProfilePath, pprof.Index)
	protected.HandleFunc("GET "+ProfilePath+"profile", pprof.Profile)
	protected.HandleFunc("GET "+ProfilePath+"trace", pprof.Trace)
	protected.HandleFunc("GET "+ProfilePath+"symbol", pprof.Symbol)
	protected.HandleFunc("/", h.unknown)
	return public
}

// requireToken refuses requests without the operators' token. Without a
// TokenDigest, all requests are accepted.
func (h *handler) requireToken(next http.Handler) http.Handler {
	if h.TokenDigest == "" {
		return next
	}
	want := strings.ToLower(h.TokenDigest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		got := hex.EncodeToString(sum[:])
		switch {
		case !ok || token == "":
			writeError(w, refuse(result.KeyMissing, "the operators' token is missing"))
		case subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1:
			writeError(w, refuse(result.KeyUnknown, "the operators' token is wrong"))
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (h *handler) unknown(w http.ResponseWriter, r *http.Request) {
	writeError(w, refuse(result.UnknownRoute, "no %s %s; see docs/OPERATIONS.md", r.Method, r.URL.Path))
}

func (h *handler) live(w http.ResponseWriter, _ *http.Request) {
	io.WriteString(w, "live\n")
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := h.Status.Ready()
	if !ready {
		http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	h.Metrics(w)
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	s := h.Status.Status(r.Context())
	s.Ready, s.Reason = h.Status.Ready()
	s.Fresh = h.Source.Fresh()
	if snapshot := h.Source.Current(); snapshot != nil {
		s.Version, s.ZonesOut = snapshot.Version, sortedZones(snapshot)
	}
	writeJSON(w, http.StatusOK, s)
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if r.ContentLength != 0 && !readJSON(w, r, &request) {
		return
	}
	h.Log.Info("drain requested by operator", "force", request.Force)
	// A forced stop closes this connection, so the answer goes first.
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusAccepted)
	if err := http.NewResponseController(w).Flush(); err != nil {
		h.Log.Debug("answer to drain not sent; draining all the same", "error", err)
	}
	h.Drainer.Drain(request.Force)
}
