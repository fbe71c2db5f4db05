package instance_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/demo"
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	organisation = "suva-swimming"
	longChat     = `{"model":"roster-8b","stream":true,"messages":[{"role":"user","content":"the whole roster"}]}`
)

// testInstance is a demo site with one instance.
type testInstance struct {
	t *testing.T
	*demo.Demo
}

func start(t *testing.T, o demo.Options) testInstance {
	t.Helper()
	o.Instances = 1
	d, err := demo.Start(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return testInstance{t, d}
}

func newClient(t *testing.T, http2 bool) *http.Client {
	c, _ := newClientWithCut(t, http2)
	return c
}

// newClientWithCut returns a client and a function that closes its most recent
// connection, even if requests are in flight on it.
func newClientWithCut(t *testing.T, http2 bool) (c *http.Client, cut func()) {
	var dialed atomic.Pointer[net.Conn]
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		dialed.Store(&conn)
		return conn, err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: protocols, DialContext: dial}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}, func() { _ = (*dialed.Load()).Close() }
}

func (r testInstance) request(method, path, body string, header ...string) *http.Request {
	r.t.Helper()
	q, err := http.NewRequest(method, r.Description.Callers[0]+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+r.Description.Keys[organisation])
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	return q
}

// answer is a response's status and body. Status 0 means an error, with its text.
type answer struct {
	status int
	text   string
}

func send(c *http.Client, q *http.Request) answer {
	response, err := c.Do(q)
	if err != nil {
		return answer{0, err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{0, err.Error()}
	}
	return answer{response.StatusCode, string(text)}
}

func begin(c *http.Client, q *http.Request) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- send(c, q) }()
	return done
}

// openStream starts a streamed request and returns after the first event. The
// channel receives the rest of the stream.
func (r testInstance) openStream(c *http.Client) <-chan string {
	r.t.Helper()
	response, err := c.Do(r.request(http.MethodPost, "/v1/chat/completions", longChat))
	if err != nil {
		r.t.Fatal(err)
	}
	lines := bufio.NewReader(response.Body)
	if _, err := lines.ReadString('\n'); err != nil {
		r.t.Fatal(err)
	}
	rest := make(chan string, 1)
	go func() {
		text, _ := io.ReadAll(lines)
		_ = response.Body.Close()
		rest <- string(text)
	}()
	return rest
}

func (r testInstance) drain(force bool) {
	r.t.Helper()
	body, err := json.Marshal(operator.DrainRequest{Force: force})
	if err != nil {
		r.t.Fatal(err)
	}
	response, err := http.Post(r.Description.Operators[0]+operator.DrainPath, "application/json", bytes.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		r.t.Fatalf("drain answered status %d", response.StatusCode)
	}
}

func (r testInstance) await(what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("condition not met within 10s: %s", what)
		}
	}
}

func (r testInstance) events(kind timeline.Kind) []timeline.Event {
	return filterEvents(r.Timeline(0), kind)
}

func filterEvents(ring *timeline.Ring, kind timeline.Kind) []timeline.Event {
	all, _ := ring.Snapshot()
	var found []timeline.Event
	for _, e := range all {
		if e.Kind == kind {
			found = append(found, e)
		}
	}
	return found
}

// awaitStopped waits until the instance has stopped and returns its last event.
func (r testInstance) awaitStopped() timeline.Event {
	r.t.Helper()
	r.await("the instance has stopped", func() bool { return len(r.events(timeline.InstanceStopped)) == 1 })
	return r.events(timeline.InstanceStopped)[0]
}

// hasEntered reports whether the instance has entered the state.
func (r testInstance) hasEntered(name string) bool {
	for _, e := range r.events(timeline.StateEntered) {
		if e.Chart == "instance" && e.State == name {
			return true
		}
	}
	return false
}

func (r testInstance) setPaused(paused bool) {
	for _, s := range r.Backends.Plain {
		s.Set(fault.Settings{Paused: paused})
	}
}

func streamCompleted(text string) bool {
	return strings.HasSuffix(strings.TrimSpace(text), "data: [DONE]")
}

// A planned stop must complete open streams and serve requests that still arrive
// during the balancer's lag, on new and on idle connections.
func TestDrainServesNewRequests(t *testing.T) {
	is := is.New(t)
	r := start(t, demo.Options{BetweenTokens: 10 * time.Millisecond, AnswerTokens: 60})
	one, two := newClient(t, false), newClient(t, true)
	idle := newClient(t, false)
	is.Equal(send(idle, r.request(http.MethodGet, "/services/entries/x", "")).status, http.StatusOK)
	streams := []<-chan string{r.openStream(one), r.openStream(two)}
	r.drain(false)
	r.await("the instance is unready", func() bool { return len(r.events(timeline.InstanceDraining)) == 1 })
	for _, c := range []*http.Client{idle, one, two} { // during the balancer's lag
		is.Equal(send(c, r.request(http.MethodGet, "/services/entries/x", "")).status, http.StatusOK)
	}
	r.drain(false) // a second drain has no effect
	for _, s := range streams {
		is.True(streamCompleted(<-s))
	}
	stopped := r.awaitStopped()
	is.Equal(stopped.Count, int64(0))
	is.Equal(stopped.State, "")
}

func TestDrainServesQueuedRequests(t *testing.T) {
	is := is.New(t)
	r := start(t, demo.Options{BetweenTokens: 10 * time.Millisecond, AnswerTokens: 30})
	editor := r.Editor(0)
	version, text := r.configuration()
	text = strings.NewReplacer("cold-limit: 2", "cold-limit: 1", "warm-limit: 64", "warm-limit: 1").Replace(text)
	_, err := editor.Apply(context.Background(), text, version)
	is.NoErr(err)
	r.await("the limit is in force", func() bool { v, _ := r.configuration(); return v > version })
	var answers []<-chan answer
	c := newClient(t, true)
	for range 8 { // three engines serve the model
		answers = append(answers, begin(c, r.request(http.MethodPost, "/v1/chat/completions", longChat)))
	}
	r.await("requests wait", func() bool { return len(r.events(timeline.RequestQueued)) >= 4 })
	r.drain(false)
	for _, a := range answers {
		got := <-a
		is.Equal(got.status, http.StatusOK)
		is.True(streamCompleted(got.text))
	}
	is.Equal(r.awaitStopped().Count, int64(0))
}

// configuration returns the configuration in force.
func (r testInstance) configuration() (version uint64, text string) {
	r.t.Helper()
	response, err := http.Get(r.Description.Operators[0] + operator.ConfigPath)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var a operator.ConfigAnswer
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		r.t.Fatal(err)
	}
	return a.Version, a.Text
}

// A planned stop must wait for a run whose caller disconnected.
func TestDrainWaitsAfterDisconnect(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := start(t, demo.Options{})
			r.setPaused(true)
			c, cut := newClientWithCut(t, http2)
			begin(c, r.request(http.MethodPost, "/services/bookings/run", "{}", entry.IdempotencyHeader, "k"))
			r.await("the run is sent", func() bool { return len(filterEvents(r.Backends.Timeline, timeline.BackendReceived)) == 1 })
			cut()
			r.drain(false)
			r.await("the listener closes", func() bool { return r.hasEntered("finishing") })
			time.Sleep(50 * time.Millisecond)
			is.Equal(len(r.events(timeline.InstanceStopped)), 0)
			r.setPaused(false)
			is.Equal(r.awaitStopped().Count, int64(0))
			is.Equal(len(r.events(timeline.RecordAnswered)), 1)
		})
	}
}

func TestDrainAnswersWaitingDuplicate(t *testing.T) {
	is := is.New(t)
	r := start(t, demo.Options{})
	r.setPaused(true)
	c := newClient(t, false)
	booking := func() *http.Request {
		return r.request(http.MethodPost, "/services/bookings/run", "{}", entry.IdempotencyHeader, "k")
	}
	first := begin(c, booking())
	r.await("the run is sent", func() bool { return len(filterEvents(r.Backends.Timeline, timeline.BackendReceived)) == 1 })
	second := begin(c, booking())
	r.await("the duplicate waits", func() bool { return len(r.events(timeline.RequestReceived)) == 2 })
	r.drain(false)
	r.setPaused(false)
	a, b := <-first, <-second
	is.Equal(a.status, http.StatusOK)
	is.Equal(a, b)
	is.Equal(r.awaitStopped().Count, int64(0))
}

func TestForcedStopCount(t *testing.T) {
	is := is.New(t)
	r := start(t, demo.Options{BetweenTokens: 20 * time.Millisecond, AnswerTokens: 2000})
	stream := r.openStream(newClient(t, false))
	r.drain(false)
	r.drain(true)
	stopped := r.awaitStopped()
	is.Equal(stopped.Count, int64(1))
	is.Equal(stopped.State, "forced")
	is.True(!streamCompleted(<-stream))
}

func TestStatusAndMetrics(t *testing.T) {
	is := is.New(t)
	r := start(t, demo.Options{BetweenTokens: 20 * time.Millisecond, AnswerTokens: 60})
	stream := r.openStream(newClient(t, false))
	s := r.status()
	is.Equal(s.Classes, []operator.ClassStatus{{Name: "draft", Tier: 5, Running: 1}})
	pools := make(map[string]int)
	for _, b := range s.Servers {
		pools[b.Pool]++
	}
	is.Equal(pools["roster-8b"], 3)
	is.Equal(pools["bookings"], 2)
	is.Equal(pools[""], 0)
	text := send(http.DefaultClient, must(http.NewRequest(http.MethodGet, r.Description.Operators[0]+operator.MetricsPath, nil))).text
	is.True(strings.Contains(text, `hawthornwick_class_running{pool="roster-8b",class="draft"} 1`))
	is.True(strings.Contains(text, `hawthornwick_requests_open 1`))
	is.True(strings.Contains(text, `hawthornwick_server_in_flight{server="engine-4",pool="label-2b",zone="zone-a"} 0`))
	<-stream
	r.await("nothing runs", func() bool { return len(r.status().Classes) == 0 })
}

func (r testInstance) status() operator.Status {
	r.t.Helper()
	response, err := http.Get(r.Description.Operators[0] + operator.StatusPath)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var s operator.Status
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		r.t.Fatal(err)
	}
	return s
}

func must(q *http.Request, err error) *http.Request {
	if err != nil {
		panic(err)
	}
	return q
}
