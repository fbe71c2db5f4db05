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

// dyingServer answers the first request of each connection and closes the
// connection on any later one, having read it.
func dyingServer(t *testing.T) (address string, received func(attempt string) int) {
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

// The standard transport sends a request again when a kept connection dies on
// reuse and the request bears an Idempotency-Key. That must not happen.
func TestDeadKeptConnectionDoesNotRepeatRequest(t *testing.T) {
	is := is.New(t)
	address, received := dyingServer(t)
	d := newDispatcher(t, Options{})
	l := &list{targets: []traffic.Target{{Server: "s", Address: address}}}
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
	l.handed = 0
	again := warm
	again.Attempt = "idempotent"
	again.Request.Gate = new(result.Gate)
	out, _ = do(t, d, again)
	is.True(out.Err == nil)
	is.Equal(l.handed, 1)               // the dead connection is replaced; the server is kept
	is.Equal(received("idempotent"), 1) // the second sending is an attempt of its own
}

func TestLateAnswerOnKeptConnectionIsDiscarded(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{})
	e.Set(fault.Settings{Late: true})
	d := newDispatcher(t, Options{})
	for _, content := range []string{"first", "second", "third"} {
		c := modelCall(strings.Replace(chatBody, "hi", content, 1), engineTargets(e))
		c.Request.ID = content
		out, w := do(t, d, c)
		is.True(out.Err == nil)
		is.True(strings.Contains(w.Body.String(), "chatcmpl-"+content)) // its own answer
	}
}

func TestSilentKeptConnectionIsReplaced(t *testing.T) {
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

// An answer in one piece takes longer than a silent connection may; the engine
// itself says whether it still works on it.
func TestLongAnswerIsToldFromSilence(t *testing.T) {
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
	is.True(out.FirstByte < 10*time.Second) // long before half of the deadline
}

// A non-idempotent request is not left before its deadline.
func TestSlowNonIdempotentRequestIsAwaited(t *testing.T) {
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
		a.started = time.Now().Add(-50 * time.Second) // most of the time is gone
		x.model.stream, x.call.Request.Plain = false, false
		is.Equal(a.mayStillAnswer(), !idempotent)
		a.close(errDone)
		x.close()
	}
}

// An answer that ends with its connection can't be told from a broken one.
func TestAnswerWithoutFramingIsNotWhole(t *testing.T) {
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
	l := &list{targets: []traffic.Target{{Server: "s", Address: s.Listener.Addr().String()}}}
	for _, c := range []Call{plainCall(l), modelCall(chatBody, l)} {
		out, w := do(t, newDispatcher(t, Options{}), c)
		is.True(out.Err != nil)
		is.Equal(w.Body.Len(), 0)
	}
}

func TestHedgeTakesTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	slow, quick := startEngine(t, engine.Options{FirstToken: time.Hour}), startEngine(t, engine.Options{})
	l := engineTargets(slow, quick)
	c := modelCall(streamBody, l)
	c.Request.Class.HedgeAfter = config.Duration(10 * time.Millisecond)
	out, w := do(t, newDispatcher(t, Options{}), c)
	is.True(out.Err == nil)
	is.Equal(out.Server, quick.Address())
	is.True(same(w.Body.String(), whole(t, streamBody, engine.Options{})))
	is.Equal(len(l.observed), 2) // the loser too

	l = engineTargets(slow, quick)
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
