package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/eventstream"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Header fields of testProtocol.
const (
	testAttempt = "Test-Attempt"
	testKey     = "Test-Key"
	testOrg     = "Test-Organisation"
	testServer  = "Test-Server"
	testResume  = "Test-Resume"
	testResumed = "Test-Resumed" // the attempt that brought the first event
	testSigned  = "Test-Signed"
	testNotRun  = "Test-Not-Run"
	testLeft    = "Test-Left"
	testLeaving = "Test-Leaving"

	testRateLimit = "Test-Rate-Limit"
	testParts     = "Test-Parts" // a letter for each part of the prompt
	testID        = "Test-Id"    // of the server that answers an identity request
	testStart     = "Test-Start" // of its process, Unix milliseconds
)

// testIdentityPath is where servers are asked who they are.
const testIdentityPath = "/identity"

// testTarget is the target of the plain routes.
const testTarget = 100 * time.Millisecond

// testStarted is the start of servers in the directory, in Unix milliseconds.
const testStarted = 1

type testProtocol struct{}

func (testProtocol) ReadCallerHead(r *http.Request) CallerHead {
	left, err := strconv.Atoi(r.Header.Get(testLeft))
	if err != nil {
		left = 0
	}
	var parts []balance.Part
	for id := range len(r.Header.Get(testParts)) {
		parts = append(parts, balance.Part{ID: uint64(id + 1)})
	}
	return CallerHead{
		Parts:   parts,
		Attempt: r.Header.Get(testAttempt), Key: r.Header.Get(testKey), ResumeAfter: r.Header.Get(testResume),
		MaxWait: time.Duration(left) * time.Millisecond, ResumedAttempt: r.Header.Get(testResumed),
	}
}

func (testProtocol) WriteServerHead(h http.Header, s ServerHead) {
	h.Del(testKey)
	h.Set(testServer, s.Server)
	h.Set(testOrg, s.Organisation)
	h.Set(testLeft, strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	if s.ResumeAfter != "" {
		h.Set(testResume, s.ResumeAfter)
	}
}

func (testProtocol) ReadAnswerHead(r *http.Response) AnswerHead {
	return AnswerHead{
		Attempt: r.Header.Get(testAttempt), Signed: r.Header.Get(testSigned) != "",
		NotRun:      r.Header.Get(testNotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest,
		Misdirected: r.StatusCode == http.StatusMisdirectedRequest,
	}
}

func (testProtocol) ReadAdvisory(status int, h http.Header) advisory.Advisory {
	return advisory.Read(advisory.Fields{Leaving: testLeaving, RateLimit: testRateLimit}, status, h, time.Now())
}

func (testProtocol) IdentityRequest(Identity) (string, http.Header) {
	return testIdentityPath, http.Header{}
}

func (testProtocol) ReadIdentity(r *http.Response, _ []byte) Identity {
	start, err := strconv.ParseUint(r.Header.Get(testStart), 10, 64)
	if err != nil {
		start = 0
	}
	return Identity{Server: r.Header.Get(testID), Incarnation: start}
}

// testSource is a Source that tests control.
type testSource struct {
	table      *routes.Table
	keysProved atomic.Bool
	current    atomic.Bool
	// keysValidFor is the result of KeysValidFor in nanoseconds.
	keysValidFor atomic.Int64
}

func (s *testSource) Table() *routes.Table { return s.table }
func (s *testSource) KeysFresh() bool      { return s.keysProved.Load() }
func (s *testSource) UpToDate() bool       { return s.current.Load() }
func (s *testSource) KeysValidFor() time.Duration {
	return time.Duration(s.keysValidFor.Load())
}

// testMeter counts the requests reported as begun, by organisation.
type testMeter struct {
	mu    sync.Mutex
	began map[string]int
}

func (m *testMeter) Began(organisation string, _ time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.began[organisation]++
}

// testStack is a gateway in front of scripted backend servers.
type testStack struct {
	t        *testing.T
	source   *testSource
	meter    *testMeter
	balancer *balance.Balancer
	gateway  *Gateway
	front    *httptest.Server
	ring     *timeline.Ring
	servers  []directory.Server
	runs     sync.Map // attempt id to *atomic.Int64
	suspects *recordingSuspects
}

// newTestStack starts a gateway with the routes /safe/ (idempotent), /once/, /stream/
// (resumable) and /plain-stream/ to one service. Each handler is one of its servers.
func newTestStack(t *testing.T, handlers ...http.HandlerFunc) *testStack {
	t.Helper()
	s := &testStack{t: t, meter: &testMeter{began: map[string]int{}}, ring: timeline.NewRing("i", 0, nil)}
	s.source = &testSource{table: testTable(t, testTarget)}
	s.source.keysProved.Store(true)
	s.source.current.Store(true)
	s.balancer = balance.New(balance.Options{
		Instance: "i", Retries: balance.RetryLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 100}, Recorder: s.ring,
	})
	s.balancer.SetTable(s.source.table)
	s.balancer.SetMembers([]string{"i"})
	for i, h := range handlers {
		s.addServer(strconv.Itoa(i), h)
	}
	s.suspects = &recordingSuspects{Suspects: dispatch.NewTrackerSuspects(quarantine.New(quarantine.Options{Instance: "i"}))}
	s.gateway = New(Options{
		Source: s.source, Balancer: s.balancer, Protocol: testProtocol{}, Meter: s.meter,
		Suspects: s.suspects, Recorder: s.ring,
	})
	s.front = httptest.NewServer(s.gateway)
	t.Cleanup(s.front.Close)
	t.Cleanup(s.gateway.Close)
	return s
}

// setTarget sets the target of the plain routes, on which the time depends that a server has
// for the next step of its answer.
func (s *testStack) setTarget(target time.Duration) {
	s.source.table = testTable(s.t, target)
	s.balancer.SetTable(s.source.table)
}

func testTable(t *testing.T, target time.Duration) *routes.Table {
	t.Helper()
	split := []routes.Share{{Service: "s", Weight: 1}}
	table, err := routes.Compile(routes.Config{
		Version:       1,
		Services:      []routes.Service{{Name: "s"}},
		Organisations: []routes.Organisation{{Name: "org", Keys: []config.KeyDigest{config.DigestKey("key")}}},
		Routes: []routes.Route{
			{Name: "safe", Host: "test", Prefix: "/safe/", Kind: routes.Idempotent, Split: split, MaxAttempts: 2, Target: target},
			{Name: "once", Host: "test", Prefix: "/once/", Kind: routes.NonIdempotent, Split: split, MaxAttempts: 2, Target: target},
			{Name: "stream", Host: "test", Prefix: "/stream/", Kind: routes.Stream, Resumable: true, Split: split, MaxAttempts: 2},
			{Name: "fixed", Host: "test", Prefix: "/plain-stream/", Kind: routes.Stream, Split: split, MaxAttempts: 2},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// addServer starts a backend server that counts its runs and echoes attempt ids.
func (s *testStack) addServer(id string, h http.HandlerFunc) { s.addServerWith(id, h, nil) }

// addServerWith is like addServer, with a hook for the states of connections, which may
// be nil.
func (s *testStack) addServerWith(id string, h http.HandlerFunc, connState func(net.Conn, http.ConnState)) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == testIdentityPath {
			w.Header().Set(testID, id)
			w.Header().Set(testStart, strconv.Itoa(testStarted))
			return
		}
		w.Header().Set(testAttempt, r.Header.Get(testAttempt))
		w.Header().Set(testSigned, id)
		h(w, r)
		if w.Header().Get(testNotRun) == "" {
			count, _ := s.runs.LoadOrStore(r.Header.Get(testAttempt), new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
		}
	}))
	server.Config.ConnState = connState
	server.Start()
	s.t.Cleanup(server.Close)
	s.addAddress(id, strings.TrimPrefix(server.URL, "http://"))
}

func (s *testStack) addAddress(id, address string) {
	s.servers = append(s.servers, directory.Server{Entry: directory.Entry{
		ID: id, Service: "s", Address: address, Zone: "z", Capacity: 8, StartedMillis: testStarted,
	}})
	s.balancer.SetServers(s.servers)
}

// runCount returns how often servers ran an attempt.
func (s *testStack) runCount(attempt string) int64 {
	count, ok := s.runs.Load(attempt)
	if !ok {
		return 0
	}
	return count.(*atomic.Int64).Load()
}

// reply is the answer that a caller received.
type reply struct {
	status    int
	header    http.Header
	body      string
	truncated bool // the answer ended early, or there was none
}

// call sends a request with the attempt id "a" and a valid key. fields are names and
// values of further header fields.
func (s *testStack) call(method, path, body string, fields ...string) reply {
	s.t.Helper()
	return s.do(s.request(context.Background(), method, path, body, fields...))
}

func (s *testStack) request(ctx context.Context, method, path, body string, fields ...string) *http.Request {
	s.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, s.front.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "test"
	r.Header.Set(testAttempt, "a")
	r.Header.Set(testKey, "key")
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	return r
}

func (s *testStack) do(r *http.Request) reply {
	s.t.Helper()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{truncated: true}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), truncated: err != nil}
}

// answerWith returns a handler with a fixed answer.
func answerWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// abort closes the connection without an answer.
func abort(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// overloaded refuses the request and states that it has not run.
func overloaded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// streamEvents streams the events after the one that the caller resumes from, up to
// last. If truncate is true, it closes the connection in the middle of the next event.
func streamEvents(last int, truncate bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		from, err := strconv.Atoi(r.Header.Get(testResume))
		if err != nil {
			from = 0
		}
		for id := from + 1; id <= last; id++ {
			fmt.Fprintf(w, "id: %d\ndata: chunk %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
		if truncate {
			fmt.Fprintf(w, "id: %d\nda", last+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// eventIDs returns the ids of the events of a stream.
func eventIDs(stream string) []string {
	var list []string
	lines := bufio.NewScanner(strings.NewReader(stream))
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			list = append(list, id)
		}
	}
	return list
}

func (testProtocol) EventRules() eventstream.Rules {
	return eventstream.Rules{Consecutive: true, KnownFieldsOnly: true}
}
