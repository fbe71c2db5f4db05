package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// startClosingServer starts a server that answers the first request of each
// connection. It reads each later request and then closes the connection
// without an answer.
func startClosingServer(t *testing.T) (address string, received func(attempt string) int) {
	type countKey struct{}
	var mu sync.Mutex
	byAttempt := make(map[string]int)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(engineapi.AttemptHeader)
		mu.Lock()
		byAttempt[id]++
		mu.Unlock()
		requests := r.Context().Value(countKey{}).(*int)
		*requests++
		if *requests > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(engineapi.AttemptHeader, id)
		_, _ = w.Write([]byte("{}"))
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, countKey{}, new(int))
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), func(attempt string) int {
		mu.Lock()
		defer mu.Unlock()
		return byAttempt[attempt]
	}
}

// When a pooled connection breaks on reuse, http.Transport retries a request
// that has an Idempotency-Key on its own. A server could then run a request
// twice under one attempt id, so the transport must never retry.
func TestDeadPooledConnectionNoTransportRetry(t *testing.T) {
	is := is.New(t)
	address, received := startClosingServer(t)
	d := newDispatcher(t, Options{})
	l := &targetList{targets: []traffic.Target{{Server: "s", Address: address}}}
	warm := plainCall(l)
	warm.Request.Idempotent, warm.Attempt, warm.Method, warm.Body = true, "warm", http.MethodGet, nil
	out, _ := do(t, d, warm)
	is.True(out.Err == nil)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		c := plainCall(l)
		c.Attempt, c.Method, c.Body = "once-"+method, method, nil
		out, _ = do(t, d, c)
		is.True(out.Err == nil)
		is.Equal(received(c.Attempt), 1)
	}
	l.handedOut = 0
	again := warm
	again.Attempt = "idempotent"
	again.Request.Gate = new(result.Gate)
	out, _ = do(t, d, again)
	is.True(out.Err == nil)
	is.Equal(l.handedOut, 1)            // same server on a new connection
	is.Equal(received("idempotent"), 1) // the retry is an attempt with its own id
}

// A late answer to an earlier attempt that arrives on a pooled connection must
// not be relayed as the answer to the current request.
func TestLateAnswerOnPooledConnection(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{})
	e.Set(fault.Settings{Late: true})
	d := newDispatcher(t, Options{})
	for _, content := range []string{"first", "second", "third"} {
		c := modelCall(strings.Replace(chatBody, "hi", content, 1), engineTargets(e))
		c.Request.ID = content
		out, w := do(t, d, c)
		is.True(out.Err == nil)
		is.True(strings.Contains(w.Body.String(), "chatcmpl-"+content)) // not the answer of another request
	}
}

// When a pooled connection has gone silent, the request is sent again on a new
// connection and the server is not counted as crashed.
func TestSilentPooledConnectionReplaced(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{})
	d := newDispatcher(t, Options{})
	out, _ := do(t, d, modelCall(streamBody, engineTargets(e)))
	is.True(out.Err == nil)
	e.SilenceConnections()
	l := engineTargets(e)
	c := modelCall(streamBody, l)
	c.Timeouts.Headers = 50 * time.Millisecond
	out, _ = do(t, d, c)
	is.True(out.Err == nil)
	is.Equal(len(l.failures), 1)
	is.True(l.failures[0].Reused) // the connection is suspect, not the server
	is.True(!l.failures[0].Crashed)
}

// An answer that is not streamed may take longer than the header timeout. The
// engine reports whether it is still working on the attempt; a connection that
// has gone silent must still be detected.
func TestSlowAnswerVersusSilentConnection(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{FirstToken: 200 * time.Millisecond})
	d := newDispatcher(t, Options{})
	call := func() Call {
		c := modelCall(chatBody, engineTargets(e))
		c.Request.Deadline = time.Now().Add(time.Minute)
		c.Timeouts.Headers = 20 * time.Millisecond
		return c
	}
	out, _ := do(t, d, call())
	is.True(out.Err == nil)
	is.Equal(out.Attempts, 1)

	go func() {
		for e.InFlight() == 0 {
			runtime.Gosched()
		}
		e.SilenceConnections()
	}()
	out, _ = do(t, d, call())
	is.True(out.Err == nil)
	is.Equal(out.Attempts, 2)
	is.True(out.FirstByte < 10*time.Second) // well before half of the deadline
}

// A non-idempotent request must not be abandoned before its deadline. An
// idempotent one is abandoned when too little time would remain for a second
// attempt.
func TestSlowNonIdempotentRequest(t *testing.T) {
	is := is.New(t)
	s, err := plain.Start(plain.Options{Service: "credits", Latency: 100 * time.Millisecond})
	is.NoErr(err)
	defer s.Close()
	c := plainCall(plainTargets(s))
	c.Request.Deadline = time.Now().Add(time.Minute)
	c.Timeouts.Headers = 10 * time.Millisecond
	out, _ := do(t, newDispatcher(t, Options{}), c)
	is.True(out.Err == nil)

	for _, idempotent := range []bool{false, true} {
		c.Request.Idempotent = idempotent
		c.Request.Deadline = time.Now().Add(10 * time.Second)
		x := newExchange(t.Context(), newDispatcher(t, Options{}), c, httptest.NewRecorder())
		a := x.newAttempt(c.Targets.First(), true)
		a.started = time.Now().Add(-50 * time.Second) // more time has passed than remains
		x.model.stream, x.call.Request.Plain = false, false
		is.Equal(a.shouldKeepWaiting(), !idempotent)
		a.close(errDone)
		x.close()
	}
}

// The end of an answer that is delimited by the close of its connection cannot
// be distinguished from a broken connection, so such an answer must not be
// relayed.
func TestUnframedAnswerRejected(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n"+engineapi.AttemptHeader+": "+r.Header.Get(engineapi.AttemptHeader)+"\r\n\r\n{\"half\":")
	}))
	defer s.Close()
	l := &targetList{targets: []traffic.Target{{Server: "s", Address: s.Listener.Addr().String()}}}
	for _, c := range []Call{plainCall(l), modelCall(chatBody, l)} {
		out, w := do(t, newDispatcher(t, Options{}), c)
		is.True(out.Err != nil)
		is.Equal(w.Body.Len(), 0)
	}
}

// The first answer of a hedged request is relayed and the other attempt is
// cancelled and observed. A non-idempotent request is never hedged.
func TestHedgeFirstAnswerWins(t *testing.T) {
	is := is.New(t)
	slow, fast := startEngine(t, engine.Options{FirstToken: time.Hour}), startEngine(t, engine.Options{})
	l := engineTargets(slow, fast)
	c := modelCall(streamBody, l)
	c.Request.Class.HedgeAfter = config.Duration(10 * time.Millisecond)
	out, w := do(t, newDispatcher(t, Options{}), c)
	is.True(out.Err == nil)
	is.Equal(out.Server, fast.Address())
	is.True(sameAnswer(w.Body.String(), expectedAnswer(t, streamBody, engine.Options{})))
	is.Equal(len(l.observed), 2) // including the cancelled hedge

	l = engineTargets(slow, fast)
	c.Targets, c.Request.Gate = l, new(result.Gate)
	cancelled := &cancelOnFlush{ResponseRecorder: httptest.NewRecorder(), cancel: func() {
		eventually(t, func() bool { return slow.InFlight() == 0 }) // while the winner streams
	}}
	out = newDispatcher(t, Options{}).Do(t.Context(), c, cancelled)
	is.True(out.Err == nil)

	l = engineTargets(startEngine(t, engine.Options{FirstToken: 100 * time.Millisecond}))
	c = modelCall(streamBody, l)
	c.Request.Class.HedgeAfter = config.Duration(time.Millisecond)
	c.Request.Idempotent = false
	out, _ = do(t, newDispatcher(t, Options{}), c)
	is.True(out.Err == nil)
	is.Equal(l.hedges, 0)
}
