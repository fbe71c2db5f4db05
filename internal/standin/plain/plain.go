// Package plain is a stand-in for a plain HTTP service. Each execution returns a
// new random run id, so that a test can detect that a request ran twice.
package plain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// EchoPath is the path that streams the request's body back as it arrives.
const EchoPath = "/echo"

// Options configures a service. Only Service is required.
type Options struct {
	// Name is the backend server's name. If empty, "plain" is used.
	Name string
	// Zone is its availability zone.
	Zone string
	// Service is the name of the service.
	Service string
	// Address is the address to listen on. If empty, a free port of 127.0.0.1 is used.
	Address string
	// Latency is the duration of an execution.
	Latency time.Duration
	// Recorder receives timeline events. If nil, they are discarded.
	Recorder timeline.Recorder
}

// Service is a running stand-in service. Its embedded server injects faults. It is
// safe for concurrent use.
type Service struct {
	*fault.Server
	options  Options
	inFlight atomic.Int64

	mu   sync.Mutex
	runs map[string]int // executions by idempotency record
}

// Run is the response of one execution.
type Run struct {
	Run     string `json:"run"`
	Service string `json:"service"`
	Path    string `json:"path"`
	Method  string `json:"method"`
	// BodyBytes is the length of the request's body in bytes.
	BodyBytes int `json:"body_bytes"`
}

// Start starts a service. The caller must call Close.
func Start(o Options) (*Service, error) {
	if o.Name == "" {
		o.Name = "plain"
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	s := &Service{options: o, runs: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc(EchoPath, s.serveEcho)
	mux.HandleFunc("/", s.serveRun)
	server, err := fault.Serve(o.Address, mux)
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Name returns the backend server's name.
func (s *Service) Name() string { return s.options.Name }

// Zone returns the availability zone.
func (s *Service) Zone() string { return s.options.Zone }

// Service returns the service's name.
func (s *Service) Service() string { return s.options.Service }

// Crash simulates a crash and restart: it increments the epoch and resets every
// connection.
func (s *Service) Crash() { s.Restart() }

// Runs returns the number of executions of requests with the given idempotency
// record. If record is empty, it counts requests without one.
func (s *Service) Runs(record string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[record]
}

// TotalRuns returns the number of executions of all requests.
func (s *Service) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.runs {
		total += n
	}
	return total
}

func (s *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.received(r)
	defer s.inFlight.Add(-1)
	if s.State(w.Header()) {
		s.setHeaders(w.Header(), r)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx := r.Context()
	if err := s.Delay(ctx, 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.ran(r)
	if s.Poisoned(body) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.work(ctx)
	s.setHeaders(w.Header(), r)
	run := Run{
		Run: uuid.NewString(), Service: s.options.Service,
		Path: r.URL.Path, Method: r.Method, BodyBytes: len(body),
	}
	if s.Get().Late {
		fault.WriteTwice(w, run)
		return
	}
	s.writeRun(w, run)
}

// work waits for the latency. An execution continues after its caller has
// disconnected.
func (s *Service) work(ctx context.Context) {
	_ = s.Delay(context.WithoutCancel(ctx), s.options.Latency)
}

func (s *Service) writeRun(w http.ResponseWriter, run Run) {
	payload, err := json.Marshal(run)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(payload)))
	if after := s.ConsumeBreak(); after > 0 && after < len(payload) {
		_, _ = w.Write(payload[:after])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(payload)
}

func (s *Service) received(r *http.Request) {
	s.options.Recorder.Record(timeline.Event{
		Kind: timeline.BackendReceived, Server: s.options.Name, Zone: s.options.Zone,
		Service: s.options.Service, Attempt: r.Header.Get(engineapi.AttemptHeader),
		Count: s.inFlight.Add(1), KeyDigest: string(fault.CallerKeyDigest(r)),
	})
}

func (s *Service) ran(r *http.Request) {
	record := r.Header.Get(engineapi.RecordHeader)
	s.mu.Lock()
	s.runs[record]++
	s.mu.Unlock()
	s.options.Recorder.Record(timeline.Event{
		Kind: timeline.BackendRan, Server: s.options.Name, Zone: s.options.Zone,
		Service: s.options.Service, Attempt: r.Header.Get(engineapi.AttemptHeader), Record: record,
	})
}

func (s *Service) setHeaders(h http.Header, r *http.Request) {
	attempt := r.Header.Get(engineapi.AttemptHeader)
	if s.Get().Crossed {
		s.options.Recorder.Record(timeline.Event{
			Kind: timeline.BackendMisattributed, Server: s.options.Name, Attempt: attempt, Detail: "crossed-" + attempt,
		})
		attempt = "crossed-" + attempt
	}
	h.Set(engineapi.AttemptHeader, attempt)
	h.Set(engineapi.EpochHeader, strconv.FormatUint(s.Epoch(), 10))
}

// serveEcho sends each chunk of the body back as soon as it has arrived.
func (s *Service) serveEcho(w http.ResponseWriter, r *http.Request) {
	s.received(r)
	defer s.inFlight.Add(-1)
	s.ran(r)
	s.setHeaders(w.Header(), r)
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	breakAfter := s.ConsumeBreak()
	sent := 0
	chunk := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(chunk)
		sent += n
		if !forward(w, control, chunk[:n]) || (breakAfter > 0 && sent >= breakAfter) {
			panic(http.ErrAbortHandler)
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if s.Delay(r.Context(), 0) != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func forward(w io.Writer, control *http.ResponseController, chunk []byte) bool {
	if len(chunk) == 0 {
		return true
	}
	if _, err := w.Write(chunk); err != nil {
		return false
	}
	return control.Flush() == nil
}
