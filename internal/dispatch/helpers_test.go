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

// targetList returns targets in order and then repeats the last one.
type targetList struct {
	mu        sync.Mutex
	targets   []traffic.Target
	next      int
	observed  []traffic.Observation
	failures  []traffic.Failure
	handedOut int
	preempted chan struct{}
	hedges    int

	statements []traffic.Statement
	unwanted   string // server that wants no requests
}

func (l *targetList) First() traffic.Target { return l.advance() }

func (l *targetList) advance() traffic.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[min(l.next, len(l.targets)-1)]
	l.next++
	l.handedOut++
	return t
}

func (l *targetList) Next(_ context.Context, f traffic.Failure) (traffic.Target, *result.Error) {
	l.mu.Lock()
	l.failures = append(l.failures, f)
	l.mu.Unlock()
	return l.advance(), nil
}

func (l *targetList) Hedge(traffic.Target) (traffic.Target, bool) {
	l.mu.Lock()
	l.hedges++
	l.mu.Unlock()
	return l.advance(), true
}

func (l *targetList) Observe(o traffic.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = append(l.observed, o)
}

func (l *targetList) Stated(s traffic.Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statements = append(l.statements, s)
}

func (l *targetList) Wanted(t traffic.Target) bool { return t.Server != l.unwanted }

func (l *targetList) Preempted() <-chan struct{} { return l.preempted }

// wasted returns the number of tokens that were not relayed to the caller.
func (l *targetList) wasted() (n int64) {
	for _, o := range l.observed {
		n += o.UndeliveredTokens
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

func engineTargets(engines ...*engine.Engine) *targetList {
	l := &targetList{}
	for _, e := range engines {
		l.targets = append(l.targets, traffic.Target{Server: e.Address(), Address: e.Address(), Epoch: e.Epoch()})
	}
	return l
}

func plainTargets(s *plain.Service) *targetList {
	return &targetList{targets: []traffic.Target{{Server: s.Name(), Address: s.Address()}}}
}

func modelCall(body string, l *targetList) Call {
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
func plainCall(l *targetList) Call {
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

// expectedAnswer returns the answer to a body, with the request id r1, of an
// engine without faults.
func expectedAnswer(t testing.TB, body string, o engine.Options) string {
	t.Helper()
	out, w := do(t, newDispatcher(t, Options{}), modelCall(body, engineTargets(startEngine(t, o))))
	if out.Err != nil {
		t.Fatal(out.Err)
	}
	return w.Body.String()
}

func countEvents(ring *timeline.Ring, kind timeline.Kind) (n int) {
	events, _ := ring.Snapshot()
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
