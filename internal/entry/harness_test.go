package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/ledger"
	api "github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/scheduler"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
	"github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	clubKey  = "club-key-4c1f9a"
	depotKey = "depot-key-77e0b2"
)

// testSource is a config.Source controlled by the test.
type testSource struct {
	mu      sync.Mutex
	current *config.Snapshot
	stale   bool
	changed chan struct{}
}

func (s *testSource) Current() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *testSource) Changed(version uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.current.Version > version {
		c := make(chan struct{})
		close(c)
		return c
	}
	return s.changed
}

func (s *testSource) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stale
}

func (s *testSource) set(snap *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = snap
	close(s.changed)
	s.changed = make(chan struct{})
}

// setWithoutNotify replaces the snapshot without waking waiters of Changed.
func (s *testSource) setWithoutNotify(snap *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = snap
}

func (s *testSource) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
}

// testServer is a server with its listener, in front of simulated backend servers.
type testServer struct {
	t           *testing.T
	server      *Server
	listener    *Listener
	source      *testSource
	scheduler   *scheduler.Scheduler
	engine      *engine.Engine
	entries     *plain.Service
	bookings    *plain.Service
	ring        *timeline.Ring // of the instance
	backends    *timeline.Ring
	logs        *lockedBuffer
	base        string
	keys        map[config.KeyDigest]config.KeyState
	version     uint64
	config      config.Config
	onEvent     atomic.Pointer[func(timeline.Event)]
	clockOffset time.Duration // offset of the scheduler's clock from the wall clock
	platform    *platform.Platform
}

// Record implements timeline.Recorder for the server.
func (e *testServer) Record(event timeline.Event) {
	e.ring.Record(event)
	if hook := e.onEvent.Load(); hook != nil {
		(*hook)(event)
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

type testServerOptions struct {
	engine      engine.Options
	latency     time.Duration // of the plain services
	bodyTimeout time.Duration
	bodyBytes   int64
	listener    ListenerOptions
	limit       int // requests in flight per backend server
}

func startTestServer(t *testing.T, o testServerOptions) *testServer {
	t.Helper()
	e := &testServer{t: t, ring: timeline.NewRing("i1", 0, nil), backends: timeline.NewRing("b", 0, nil), logs: new(lockedBuffer)}
	e.startBackends(o)
	e.configure(o)
	e.serve(o)
	return e
}

func (e *testServer) startBackends(o testServerOptions) {
	o.engine.Name, o.engine.Zone, o.engine.Model, o.engine.Recorder = "e1", "a", "m", e.backends
	var err error
	if e.engine, err = engine.Start(o.engine); err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = e.engine.Close() })
	e.entries = e.startPlain("entries", o.latency)
	e.bookings = e.startPlain("bookings", o.latency)
}

func (e *testServer) startPlain(name string, latency time.Duration) *plain.Service {
	s, err := plain.Start(plain.Options{Name: name, Service: name, Zone: "a", Latency: latency, Recorder: e.backends})
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = s.Close() })
	return s
}

func (e *testServer) configure(o testServerOptions) {
	if o.limit == 0 {
		o.limit = 16
	}
	endpoint := func(s *plain.Service) []config.Endpoint {
		return []config.Endpoint{{Address: s.Address(), Zone: "a"}}
	}
	reads := []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	e.config = config.Config{
		Organisations: []config.Organisation{{Name: "club"}, {Name: "depot", Class: "draft"}},
		Classes: []config.Class{
			{Name: "status", Tier: 1, Deadline: config.Duration(10 * time.Second)},
			{Name: "money", Tier: 1, Deadline: config.Duration(10 * time.Second), NonIdempotent: true},
			{Name: "label", Tier: 2, Deadline: config.Duration(10 * time.Second)},
			{Name: "draft", Tier: 5, Deadline: config.Duration(10 * time.Second)},
		},
		Models: []config.Model{{Name: "m", Class: "label", ColdLimit: o.limit, WarmLimit: o.limit}},
		Services: []config.Service{
			{Name: "entries", Class: "status", Route: true, Idempotent: append([]string{http.MethodPut}, reads...), Servers: endpoint(e.entries), Limit: o.limit},
			{Name: "results", Class: "draft", Route: true, Open: true, Idempotent: reads, Servers: endpoint(e.entries), Limit: o.limit},
			{Name: "bookings", Class: "money", Route: true, Idempotent: reads, Organisations: []string{"club"}, Servers: endpoint(e.bookings), Limit: o.limit},
		},
		Zones: []config.Zone{{Name: "a"}},
	}
	e.keys = map[config.KeyDigest]config.KeyState{
		config.DigestKey(clubKey):  {Organisation: "club"},
		config.DigestKey(depotKey): {Organisation: "depot"},
	}
	e.source = &testSource{changed: make(chan struct{})}
	e.clockOffset = -settleTime
	e.scheduler = scheduler.New(scheduler.Options{Instance: "i1", Zone: "a", Recorder: e.ring, Now: e.now})
	e.apply(func(*config.Config, map[config.KeyDigest]config.KeyState) {})
	e.scheduler.SetServers([]api.Server{{
		Name: "e1", Address: e.engine.Address(), Zone: "a", Model: "m", Epoch: 1, State: api.ServerRunning,
	}})
	e.settleMembership()
}

// now is the scheduler's clock.
func (e *testServer) now() time.Time { return time.Now().Add(e.clockOffset) }

const (
	membershipInterval = time.Second
	settleTime         = 30 * time.Second
)

// settleMembership advances the scheduler's clock from settleTime ago to now, so
// that its member list counts as settled, and then keeps the list current.
func (e *testServer) settleMembership() {
	list := func() { e.scheduler.SetMembers([]string{"i1"}, e.now()) }
	for ; e.clockOffset < 0; e.clockOffset += membershipInterval {
		list()
	}
	list()
	ticker := time.NewTicker(membershipInterval)
	stop := make(chan struct{})
	e.t.Cleanup(func() { close(stop) })
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				list()
			case <-stop:
				return
			}
		}
	}()
}

// apply changes the configuration and publishes it.
func (e *testServer) apply(change func(*config.Config, map[config.KeyDigest]config.KeyState)) {
	snap := e.newSnapshot(change)
	e.scheduler.SetConfig(snap)
	e.source.set(snap)
}

// newSnapshot returns a snapshot of a newSnapshot configuration.
func (e *testServer) newSnapshot(change func(*config.Config, map[config.KeyDigest]config.KeyState)) *config.Snapshot {
	e.keys = maps.Clone(e.keys)
	change(&e.config, e.keys)
	e.version++
	return config.NewSnapshot(e.version, "", e.config, e.keys, nil)
}

func (e *testServer) withdraw(key string) {
	e.apply(func(_ *config.Config, keys map[config.KeyDigest]config.KeyState) {
		state := keys[config.DigestKey(key)]
		state.Withdrawn = true
		keys[config.DigestKey(key)] = state
	})
}

func (e *testServer) serve(o testServerOptions) {
	if o.bodyTimeout == 0 {
		o.bodyTimeout = 5 * time.Second
	}
	if o.bodyBytes == 0 {
		o.bodyBytes = 1 << 20
	}
	stores := platform.New(platform.Options{})
	e.t.Cleanup(stores.Close)
	e.platform = stores
	caller := stores.Caller("i1")
	logger := hclog.New(&hclog.LoggerOptions{Output: e.logs, JSONFormat: true, Level: hclog.Trace})
	dispatcher := dispatch.New(dispatch.Options{Recorder: e.ring, Logger: logger})
	e.t.Cleanup(dispatcher.Close)
	e.server = New(Options{
		Source: e.source, Scheduler: e.scheduler, Dispatcher: dispatcher,
		Ledger:     ledger.New(caller.Table(), caller.Objects(), ledger.Options{Recorder: e.ring}),
		Quarantine: noQuarantine{}, Meter: noMeter{}, Outcomes: noOutcomes{}, Recorder: e, Logger: logger,
		Limits: Limits{BodyBytes: o.bodyBytes, BodyTimeout: o.bodyTimeout, WriteTimeout: o.bodyTimeout},
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.t.Cleanup(cancel)
	go e.server.Run(ctx)
	o.listener.Address = "127.0.0.1:0"
	var err error
	if e.listener, err = Listen(o.listener, e.server, logger); err != nil {
		e.t.Fatal(err)
	}
	go func() { _ = e.listener.Serve() }()
	e.t.Cleanup(func() { _ = e.listener.Close() })
	e.base = "http://" + e.listener.Address()
}

type noQuarantine struct{}

func (noQuarantine) Refused(quarantine.Request, time.Time) bool { return false }

type noMeter struct{}

func (noMeter) Add(string, string, string, string, int64, int64) bool { return true }

// reply is an answer with its body read.
type reply struct {
	*http.Response
	text string
}

// refusal decodes the JSON body of a refusal.
func (r reply) refusal(t *testing.T) errorFields {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal([]byte(r.text), &body); err != nil {
		t.Fatalf("status %d, body %q: %v", r.StatusCode, r.text, err)
	}
	return body.Error
}

// call sends a request with a key (empty means none) and header fields in pairs.
func (e *testServer) call(method, path, key, body string, header ...string) reply {
	e.t.Helper()
	return e.send(http.DefaultClient, e.request(method, path, key, body, header...))
}

func (e *testServer) request(method, path, key, body string, header ...string) *http.Request {
	e.t.Helper()
	r, err := http.NewRequest(method, e.base+path, strings.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	return r
}

// begin sends a request without waiting for its answer. If the request fails, the
// reply's text is the error.
func (e *testServer) begin(method, path, key, body string, header ...string) <-chan reply {
	e.t.Helper()
	r := e.request(method, path, key, body, header...)
	done := make(chan reply, 1)
	go func() {
		got, err := send(http.DefaultClient, r)
		if err != nil {
			got.text = err.Error()
		}
		done <- got
	}()
	return done
}

func (e *testServer) send(c *http.Client, r *http.Request) reply {
	e.t.Helper()
	got, err := send(c, r)
	if err != nil {
		e.t.Fatal(err)
	}
	return got
}

func send(c *http.Client, r *http.Request) (reply, error) {
	response, err := c.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{response, string(text)}, err
}

// raw opens a connection and writes the text to it.
func (e *testServer) raw(text string) net.Conn {
	e.t.Helper()
	c, err := net.Dial("tcp", e.listener.Address())
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		e.t.Fatal(err)
	}
	return c
}

// await polls until the condition holds and fails the test after 5 s.
func (e *testServer) await(what string, holds func() bool) {
	e.t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			e.t.Fatalf("condition not met within 5s: %s", what)
		}
	}
}

// events returns the events of a kind in a ring.
func events(r *timeline.Ring, kind timeline.Kind) []timeline.Event {
	all, _ := r.Snapshot()
	var found []timeline.Event
	for _, e := range all {
		if e.Kind == kind {
			found = append(found, e)
		}
	}
	return found
}

const chat = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`

const streamedChat = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`

type noOutcomes struct{}

func (noOutcomes) Ended(time.Time, string, string, bool) {}
