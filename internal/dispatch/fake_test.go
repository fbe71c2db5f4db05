package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// list hands out targets in order; the last one again and again.
type list struct {
	mu        sync.Mutex
	targets   []traffic.Target
	next      int
	observed  []traffic.Observation
	failures  []traffic.Failure
	handed    int
	preempted chan struct{}
	hedges    int
}

func (l *list) First() traffic.Target { return l.take() }

func (l *list) take() traffic.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[min(l.next, len(l.targets)-1)]
	l.next++
	l.handed++
	return t
}

func (l *list) Next(_ context.Context, f traffic.Failure) (traffic.Target, *result.Error) {
	l.mu.Lock()
	l.failures = append(l.failures, f)
	l.mu.Unlock()
	return l.take(), nil
}

func (l *list) Hedge(traffic.Target) (traffic.Target, bool) {
	l.mu.Lock()
	l.hedges++
	l.mu.Unlock()
	return l.take(), true
}

func (l *list) Observe(o traffic.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = append(l.observed, o)
}

func (l *list) Preempted() <-chan struct{} { return l.preempted }

// wasted sums the tokens that reached no caller.
func (l *list) wasted() (n int64) {
	for _, o := range l.observed {
		n += o.Wasted
	}
	return n
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"hi"}],"vendor_field":{"a":1}}`

const streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}],"vendor_field":{"a":1}}`

func startEngine(t testing.TB, o engine.Options) *engine.Engine {
	t.Helper()
	o.Model = "m"
	e, err := engine.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func startPlain(t testing.TB) *plain.Service {
	t.Helper()
	s, err := plain.Start(plain.Options{Service: "credits"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func engineTargets(engines ...*engine.Engine) *list {
	l := &list{}
	for _, e := range engines {
		l.targets = append(l.targets, traffic.Target{Server: e.Address(), Address: e.Address(), Epoch: e.Epoch()})
	}
	return l
}

func plainTargets(s *plain.Service) *list {
	return &list{targets: []traffic.Target{{Server: s.Name(), Address: s.Address()}}}
}

func modelCall(body string, l *list) Call {
	return Call{
		Request: &traffic.Request{
			ID: "r1", Organisation: "o", Pool: "m", Idempotent: true, InputTokens: 3,
			Class: &config.Class{Name: "c", Tier: 2}, Gate: new(result.Gate), Arrived: time.Now(),
			Stream: body == streamBody,
		},
		Targets: l, Method: http.MethodPost, Path: "/v1/chat/completions",
		Header: http.Header{"Content-Type": {"application/json"}}, Body: []byte(body),
	}
}

// plainCall is a non-idempotent POST.
func plainCall(l *list) Call {
	c := modelCall("{}", l)
	c.Request.Plain, c.Request.Idempotent, c.Request.Record = true, false, "record"
	c.Path, c.Attempt = "/credit", "attempt-1"
	c.Header.Set("Idempotency-Key", "k")
	return c
}

func newDispatcher(t testing.TB, o Options) *Dispatcher {
	d := New(o)
	t.Cleanup(d.Close)
	return d
}

func do(t testing.TB, d *Dispatcher, c Call) (Outcome, *httptest.ResponseRecorder) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	w := httptest.NewRecorder()
	return d.Do(ctx, c, w), w
}

// whole is the undisturbed answer to a body with the request id r1.
func whole(t testing.TB, body string, o engine.Options) string {
	t.Helper()
	out, w := do(t, newDispatcher(t, Options{}), modelCall(body, engineTargets(startEngine(t, o))))
	if out.Err != nil {
		t.Fatal(out.Err)
	}
	return w.Body.String()
}

func kinds(ring *timeline.Ring, kind timeline.Kind) (n int) {
	events, _ := ring.Snapshot()
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
