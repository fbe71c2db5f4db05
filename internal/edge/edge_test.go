package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/eventstream"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/logsink"
	"github.com/hawthornwick/hawthornwick/internal/replicas"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/store"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"github.com/hawthornwick/hawthornwick/internal/tally"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// plainProtocol is a minimal gateway.Protocol for the tests.
type plainProtocol struct{}

func (plainProtocol) ReadCallerHead(r *http.Request) gateway.CallerHead {
	head := gateway.CallerHead{Attempt: r.Header.Get("Id"), Key: r.Header.Get("Key"), MaxWait: 5 * time.Second}
	for _, part := range r.Header.Values("Part") {
		id, err := strconv.ParseUint(part, 10, 64)
		if err == nil {
			head.Parts = append(head.Parts, balance.Part{ID: id})
		}
	}
	return head
}

func (plainProtocol) WriteServerHead(h http.Header, s gateway.ServerHead) {
	h.Del("Key")
	h.Set("Server", s.Server)
}

func (plainProtocol) ReadAnswerHead(r *http.Response) gateway.AnswerHead {
	return gateway.AnswerHead{Attempt: r.Header.Get("Id"), Signed: r.Header.Get("Signed") != ""}
}

func (plainProtocol) ReadAdvisory(status int, h http.Header) advisory.Advisory {
	return advisory.Read(advisory.Fields{Leaving: "Leaving"}, status, h, time.Now())
}

func (plainProtocol) IdentityRequest(gateway.Identity) (string, http.Header) {
	return "/identity", http.Header{}
}

func (plainProtocol) ReadIdentity(r *http.Response, _ []byte) gateway.Identity {
	return gateway.Identity{Server: r.Header.Get("Identity")}
}

// testPlatform is a store with backend servers. It records the orders and usage reports
// that it receives.
type testPlatform struct {
	t     *testing.T
	store *store.Store

	mu      sync.Mutex
	reports map[int64][]tally.Counts // by window, repeated ones included
	holders map[string]bool          // instances that reported usage or placed an order
	orders  []replicas.Order

	refuseOrders bool
	canaryShare  float64         // of instances started next; zero disables rollouts
	bootstrap    bool            // instances started next belong to the first start of the system
	grace        time.Duration   // grace period of instances started next; zero means 8 s
	adjust       func(*Platform) // changes the Platform of instances started next; may be nil
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	w := &testPlatform{t: t, store: store.New(), reports: map[int64][]tally.Counts{}, holders: map[string]bool{}}
	w.putConfig(1, "key")
	return w
}

// putConfig writes a configuration with one route, one service and one key.
func (w *testPlatform) putConfig(version uint64, key string) {
	w.t.Helper()
	data, err := json.Marshal(routes.Config{
		Version:       version,
		Services:      []routes.Service{{Name: "s", Scaling: &routes.Scaling{Min: 1, Max: 4, ZonePrices: map[string]float64{"z": 1}}}},
		Organisations: []routes.Organisation{{Name: "org", Keys: []config.KeyDigest{config.DigestKey(key)}}},
		Routes: []routes.Route{{
			Name: "r", Host: "test", Prefix: "/", Kind: routes.NonIdempotent, MaxAttempts: 1,
			Split: []routes.Share{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("op", "config", data)
}

// poison begins a request body that crashes backend servers.
const poison = "poison"

// addServer starts a backend server that answers after a delay, and registers it.
func (w *testPlatform) addServer(id string, delay time.Duration) {
	w.t.Helper()
	listener, err := fault.Listen("")
	if err != nil {
		w.t.Fatal(err)
	}
	var server *httptest.Server
	server = httptest.NewUnstartedServer(http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil && strings.HasPrefix(string(body), poison) {
			_ = listener.Refuse(true) // the address stays its own
			server.CloseClientConnections()
			return
		}
		time.Sleep(delay)
		a.Header().Set("Id", r.Header.Get("Id"))
		a.Header().Set("Signed", id)
		_, _ = io.WriteString(a, "done")
	}))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	w.t.Cleanup(server.Close)
	entry, err := json.Marshal(directory.Entry{
		ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "z", Capacity: 64,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("servers", id, entry)
}

func (w *testPlatform) platform(instance string) Platform {
	epochs := &storeepoch.Tracker{}
	conn := w.store.Connect(epochs)
	return Platform{
		Protocol:  plainProtocol{},
		Epochs:    epochs,
		Operators: conn.Feed("op"),
		DecodeOperator: func(key string, value []byte, removed bool) (OperatorRow, error) {
			if zone, ok := strings.CutPrefix(key, "out/"); ok {
				return OperatorRow{Zone: zone, Drained: !removed}, nil
			}
			var c routes.Config
			err := json.Unmarshal(value, &c)
			return OperatorRow{Config: &c}, err
		},
		Servers: conn.Feed("servers"),
		DecodeServer: func(_ string, value []byte) (*directory.Entry, error) {
			var e directory.Entry
			err := json.Unmarshal(value, &e)
			return &e, err
		},
		Instances: conn.Feed("instances"), InstanceRows: conn.Table("instances"), Duties: conn.Table("duties"),
		Report: func(_ context.Context, _ uint64, window int64, counts tally.Counts) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.reports[window] = append(w.reports[window], counts)
			w.holders[instance] = true
			return nil
		},
		Order: func(_ context.Context, _ uint64, o replicas.Order) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.refuseOrders {
				return ErrNoneAvailable
			}
			w.orders = append(w.orders, o)
			w.holders[instance] = true
			return nil
		},
	}
}

// running is one instance.
type testInstance struct {
	*Edge
	t    *testing.T
	stop context.CancelFunc
	done chan error
	log  *lockedBuffer
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// events returns the events in the instance's log.
func (r *testInstance) events() []timeline.Event {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	log, err := timeline.ReadLog(bytes.NewReader(r.log.buf.Bytes()))
	if err != nil {
		return nil
	}
	return log.Events
}

// startReady starts an instance and waits until it reports ready.
func (w *testPlatform) startReady(name string) *testInstance {
	w.t.Helper()
	r := w.start(name)
	eventually(w.t, 2*time.Second, "ready", func() bool { return r.readyStatus() == http.StatusOK })
	return r
}

func (w *testPlatform) start(name string) *testInstance {
	w.t.Helper()
	s := Settings{
		Instance: name, Zone: "z", CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
		Bounds: Bounds{
			Grace: 8 * time.Second, Propagation: 2 * time.Second, Revocation: 3 * time.Second,
			RetrySpan: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 20, Lease: 900 * time.Millisecond,
		},
		Usage:     UsageSettings{Window: time.Second, Due: 6 * time.Second},
		Duties:    Duties{Usage: true, Scaling: true},
		Bootstrap: w.bootstrap,
	}
	if w.grace > 0 {
		s.Bounds.Grace = w.grace
	}
	if w.canaryShare > 0 {
		s.Bounds.CanaryShare, s.Bounds.CanaryTolerance, s.Bounds.Rollback = w.canaryShare, 50, 5*time.Second
		s.Bounds.Revocation = 0 // requests go on during an outage of the store
	}
	log := &lockedBuffer{}
	sink := logsink.New(log, 0)
	p := w.platform(name)
	if w.adjust != nil {
		w.adjust(&p)
	}
	e, err := New(s, p, sink)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &testInstance{Edge: e, t: w.t, stop: stop, done: make(chan error, 1), log: log}
	go func() { r.done <- e.Run(ctx) }()
	w.t.Cleanup(func() {
		stop()
		<-r.done
		sink.Close()
	})
	return r
}

// call sends a request. closes is true if the answer closes the connection.
func (r *testInstance) call(client *http.Client, id, key string) (status int, closes bool, err error) {
	return r.send(client, id, key, "body")
}

// send sends a request with a body and the IDs of the parts of its prompt.
func (r *testInstance) send(client *http.Client, id, key, body string, parts ...string) (status int, closes bool, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.CallerAddress()+"/x", strings.NewReader(body))
	if err != nil {
		return 0, false, err
	}
	request.Host = "test"
	request.Header.Set("Id", id)
	request.Header.Set("Key", key)
	request.Header["Part"] = parts
	response, err := client.Do(request)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, false, err
	}
	return response.StatusCode, response.Close, nil
}

// expect sends a request on a new connection and fails the test unless it is answered
// with the status.
func (r *testInstance) expect(id, key string, status int) {
	r.t.Helper()
	got, _, err := r.call(newClient(r.t), id, key)
	if err != nil || got != status {
		r.t.Fatalf("request %s with key %q: status %d, error %v; want %d", id, key, got, err, status)
	}
}

func (r *testInstance) readyStatus() int {
	response, err := http.Get("http://" + r.ReadinessAddress() + "/-/any")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// eventually fails the test if the condition is not met in time.
func eventually(t *testing.T, within time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not met within %v: %s", within, what)
		}
	}
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func TestServeFromStore(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.addServer("a", 0)
	r := w.startReady("one")
	r.expect("1", "key", http.StatusOK)
	r.expect("2", "other", http.StatusUnauthorized)
}

// TestNoConfigurationRefusesAsNotRun guards against an instance that denies routes or
// keys before it has read a configuration.
func TestNoConfigurationRefusesAsNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.store.SetDown(true)
	r := w.start("one")
	is.Equal(r.readyStatus(), http.StatusServiceUnavailable)
	r.expect("1", "key", http.StatusServiceUnavailable)
}

func TestWithdrawnKeyAndOlderConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.addServer("a", 0)
	r := w.startReady("one")
	w.putConfig(5, "new")
	eventually(t, time.Second, "the new version in force", func() bool { return r.view.Table().Version == 5 })
	r.expect("1", "key", http.StatusUnauthorized)
	w.putConfig(4, "key") // a late write of an older version
	w.store.Compact()
	eventually(t, time.Second, "all rows read again", func() bool { return !r.view.operators.CurrentAsOf().IsZero() })
	time.Sleep(50 * time.Millisecond)
	is.Equal(r.view.Table().Version, uint64(5))
}

// TestStoreOutageRefusesKeyedRequests guards against an instance that accepts keys
// beyond the revocation bound although it cannot read the store.
func TestStoreOutageRefusesKeyedRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.addServer("a", 0)
	r := w.startReady("one")
	w.store.SetDown(true)
	outage := time.Now()
	r.expect("1", "key", http.StatusOK) // requests are still served at the start of an outage
	eventually(t, 4*time.Second, "refused as not run", func() bool {
		status, _, err := r.call(newClient(t), "2", "key")
		return err == nil && status == http.StatusServiceUnavailable
	})
	is.True(time.Since(outage) < r.settings.Bounds.Revocation)
	is.Equal(r.readyStatus(), http.StatusServiceUnavailable)
	w.store.SetDown(false)
	eventually(t, 2*time.Second, "served again", func() bool {
		status, _, err := r.call(newClient(t), "3", "key")
		return err == nil && status == http.StatusOK
	})
}

// TestGracefulStop guards against requests that fail during a graceful stop: requests on
// kept and new connections must be answered while the load balancer may still send them.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.addServer("a", 300*time.Millisecond)
	r := w.startReady("one")
	kept := newClient(t)
	_, _, err := r.call(kept, "0", "key")
	is.NoErr(err)
	r.stop()
	stopped := time.Now()
	eventually(t, time.Second, "not ready", func() bool { return r.readyStatus() == http.StatusServiceUnavailable })
	status, closes, err := r.call(kept, "1", "key") // on the connection that was kept alive
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(closes) // the answer closes the connection
	answered := 0
	for i := 0; ; i++ {
		status, _, err := r.call(newClient(t), fmt.Sprint("n", i), "key")
		if err != nil {
			is.True(isDialError(err)) // no longer accepted
			break
		}
		is.Equal(status, http.StatusOK)
		answered++
	}
	is.True(answered >= 4) // connections are accepted during readinessDelay
	is.NoErr(<-r.done)
	r.done <- nil
	is.True(time.Since(stopped) < r.settings.Bounds.Grace)
}

// TestDutyFailover checks that one instance reports all usage, with equal counts in
// repeated reports, and that the other one takes over after it has stopped.
func TestDutyFailover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.addServer("a", 0)
	first, second := w.startReady("one"), w.startReady("two")
	for i := range 20 {
		[]*testInstance{first, second}[i%2].expect(fmt.Sprint(i), "key", http.StatusOK)
	}
	total := func() int64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := int64(0)
		for _, sent := range w.reports {
			n += sent[0]["org"]
		}
		return n
	}
	eventually(t, 10*time.Second, "all requests reported", func() bool { return total() == 20 })
	w.mu.Lock()
	is.Equal(len(w.holders), 1)
	for _, sent := range w.reports {
		for _, again := range sent {
			is.Equal(again, sent[0])
		}
	}
	holder := first
	if w.holders["two"] {
		holder = second
	}
	w.holders = map[string]bool{}
	w.mu.Unlock()
	holder.stop()
	other := first
	if holder == first {
		other = second
	}
	eventually(t, 10*time.Second, "the other one reports", func() bool {
		_, _, err := other.call(newClient(t), fmt.Sprint(time.Now().UnixNano()), "key")
		w.mu.Lock()
		defer w.mu.Unlock()
		return err == nil && w.holders[other.settings.Instance]
	})
}

func TestMetrics(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.addServer("a", 0)
	r := w.startReady("one")
	eventually(t, 2*time.Second, "a lease", func() bool { _, held := r.duties.leases.Held(controlDuty); return held })
	eventually(t, 8*time.Second, "the instance's own row", func() bool { return len(r.members.live()) == 1 })
	r.expect("1", "key", http.StatusOK)
	answer := httptest.NewRecorder()
	r.serveMetrics(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`hawthornwick_requests_total{route="r",result="answered"} 1`, `hawthornwick_attempts_total{outcome="answered"} 1`,
		`hawthornwick_organisation_requests_total{organisation="org",end="answered"} 1`,
		`hawthornwick_server_attempts_total{service="s",server="a",outcome="answered"} 1`,
		`hawthornwick_repeats_total{service="s",allowed="true"} 0`, `hawthornwick_repeats_left{service="s"} 16.2`,
		`hawthornwick_wait_seconds_count{service="s"} 1`, `hawthornwick_answer_seconds_count{route="r"} 1`,
		`hawthornwick_members 1`,
		`hawthornwick_ready 1`, `hawthornwick_configuration_version 1`, `hawthornwick_lease_held{duty="control"} 1`,
		`hawthornwick_waiting_requests{service="s"} 0`, `hawthornwick_servers{service="s",state="listed"} 1`,
	} {
		if !strings.Contains(answer.Body.String(), line+"\n") {
			t.Errorf("no line %s in:\n%s", line, answer.Body.String())
		}
	}
	for _, name := range []string{
		"hawthornwick_usage_windows_open", "hawthornwick_usage_windows_unreported", "hawthornwick_load_report_age_seconds",
		`hawthornwick_table_age_seconds{table="instances"}`, "hawthornwick_log_bytes_total",
	} {
		if !strings.Contains(answer.Body.String(), "\n"+name+" ") {
			t.Errorf("no metric %s in:\n%s", name, answer.Body.String())
		}
	}
}

func (plainProtocol) EventRules() eventstream.Rules {
	return eventstream.Rules{}
}
