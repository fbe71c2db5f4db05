package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// countedServer counts the requests that reach it and answers with the current handler.
type countedServer struct {
	requests atomic.Int64

	mu      sync.Mutex
	handler http.HandlerFunc
}

func (c *countedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.requests.Add(1)
	c.mu.Lock()
	h := c.handler
	c.mu.Unlock()
	h(w, r)
}

func (c *countedServer) set(h http.HandlerFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handler = h
}

// leaves wraps a handler so that its answers state that the server leaves.
func leaves(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testLeaving, "1")
		h(w, r)
	}
}

// informs wraps a handler so that an informational answer states that the server leaves.
func informs(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testLeaving, "1")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del(testLeaving)
		h(w, r)
	}
}

// TestNoRequestAfterStatementThatServerLeaves guards against requests to a server that
// has stated in any kind of answer that it leaves.
func TestNoRequestAfterStatementThatServerLeaves(t *testing.T) {
	ok := answerWith(http.StatusOK, "x")
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		path    string
	}{
		"success":       {leaves(ok), "/once/x"},
		"failure":       {leaves(answerWith(http.StatusInternalServerError, "x")), "/once/x"},
		"refusal":       {leaves(overloaded), "/once/x"},
		"informational": {informs(ok), "/once/x"},
		"wrong attempt": {leaves(func(w http.ResponseWriter, r *http.Request) { w.Header().Set(testAttempt, "?"); ok(w, r) }), "/once/x"},
		"stream":        {leaves(streamEvents(3, false)), "/stream/x"},
		"broken stream": {leaves(streamEvents(3, true)), "/stream/x"},
	} {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t)
			is := is.New(t)
			server := &countedServer{handler: c.handler}
			s := newTestStack(t, server.ServeHTTP)
			s.call(http.MethodPost, c.path, "pay", testLeft, "300")
			is.Equal(server.requests.Load(), int64(1)) // not the retry either
			got := s.call(http.MethodPost, c.path, "pay", testAttempt, "b", testLeft, "300")
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(server.requests.Load(), int64(1))
		})
	}
}

// TestStreamOfLeavingServerIsReadToItsEnd guards against a running answer that is cut
// because its server leaves.
func TestStreamOfLeavingServerIsReadToItsEnd(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, leaves(streamEvents(5, false)))
	got := s.call(http.MethodPost, "/plain-stream/x", "pay")
	is.True(!got.truncated)
	is.Equal(len(eventIDs(got.body)), 5)
}

// TestAssignedRequestNotSentToLeavingServer guards against a request that was assigned to
// a server before the server stated that it leaves, and is sent after.
func TestAssignedRequestNotSentToLeavingServer(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	server := &countedServer{handler: leaves(answerWith(http.StatusOK, "x"))}
	s := newTestStack(t, server.ServeHTTP)
	dialing, dial := make(chan struct{}), make(chan struct{})
	var dials atomic.Int64
	plain := s.gateway.transports.fresh.DialContext
	s.gateway.transports.fresh.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			close(dialing)
			<-dial
		}
		return plain(ctx, network, address)
	}
	done := make(chan reply)
	go func() { done <- s.call(http.MethodPost, "/once/x", "pay", testLeft, "2000") }()
	<-dialing
	is.Equal(s.call(http.MethodPost, "/once/x", "pay", testAttempt, "b").status, http.StatusOK)
	s.addServer("1", answerWith(http.StatusOK, "other"))
	close(dial)
	is.Equal((<-done).body, "other")
	is.Equal(server.requests.Load(), int64(1))
}

// TestIdleConnectionsOfLeavingServerAreClosed guards against connections that are kept
// open to a server that leaves.
func TestIdleConnectionsOfLeavingServerAreClosed(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	const concurrent = 3
	var open, running atomic.Int64
	all := make(chan struct{})
	together := func(w http.ResponseWriter, r *http.Request) {
		if running.Add(1) == concurrent {
			close(all)
		}
		<-all
		answerWith(http.StatusOK, "x")(w, r)
	}
	server := &countedServer{handler: together}
	s := newTestStack(t)
	s.addServerWith("0", server.ServeHTTP, func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	})
	var callers sync.WaitGroup
	for n := range concurrent {
		callers.Go(func() { s.call(http.MethodGet, "/safe/x", "", testAttempt, strconv.Itoa(n)) })
	}
	callers.Wait()
	is.Equal(open.Load(), int64(concurrent))
	server.set(leaves(answerWith(http.StatusOK, "x")))
	s.call(http.MethodGet, "/safe/x", "", testAttempt, "last")
	for end := time.Now().Add(idleConnTimeout / 2); open.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(open.Load(), int64(0))
}
