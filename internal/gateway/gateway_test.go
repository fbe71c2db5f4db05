package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAnswerRelayedWithoutKey(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	s := newTestStack(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		answerWith(http.StatusOK, "body")(w, r)
	})
	got := s.call(http.MethodPost, "/once/x?q=1", "payload")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "body")
	is.Equal(got.header.Get(testSigned), "0")
	is.Equal(seen.Get(testKey), "")
	is.Equal(seen.Get(testOrg), "org")
	is.Equal(seen.Get(testServer), "0")
	is.Equal(s.meter.began["org"], 1)
}

func TestErrorAnswerRetriedIfIdempotent(t *testing.T) {
	is := is.New(t)
	bad := answerWith(http.StatusInternalServerError, "broken")
	s := newTestStack(t, bad, bad)
	got := s.call(http.MethodGet, "/safe/x", "")
	is.Equal(got.status, http.StatusInternalServerError) // the last server's own answer
	is.Equal(s.runCount("a"), int64(2))
	got = s.call(http.MethodPost, "/once/x", "pay", testAttempt, "b")
	is.Equal(got.status, http.StatusInternalServerError)
	is.Equal(s.runCount("b"), int64(1))
}

// TestLostAnswerNotRetriedIfNonIdempotent guards against a second run of a request
// whose answer was lost, and against a status that promises that it has not run.
func TestLostAnswerNotRetriedIfNonIdempotent(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, abort, abort)
	var runs atomic.Int64
	s.addServer("2", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); abort(w, r) })
	got := s.call(http.MethodPost, "/once/x", "pay")
	is.Equal(got.status, http.StatusBadGateway) // 503 would promise that it has not run
	is.True(strings.Contains(got.body, `"not_run":false`))
	sent := 0
	events, _ := s.ring.Snapshot()
	for _, e := range events {
		if e.Kind == "attempt.sent" {
			sent++
		}
	}
	is.Equal(sent, 1)
}

func TestServerRefusalRetried(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, overloaded, answerWith(http.StatusOK, "done"), overloaded)
	for _, attempt := range []string{"a", "b", "c", "d"} {
		got := s.call(http.MethodPost, "/once/x", "pay", testAttempt, attempt)
		is.Equal(got.status, http.StatusOK)
		is.Equal(s.runCount(attempt), int64(1))
	}
}

func TestRefusalHasNotRunAndRetryAfter(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, overloaded, overloaded)
	got := s.call(http.MethodPost, "/once/x", "pay")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, `"not_run":true`))
	is.True(got.header.Get("Retry-After") != "")
}

// TestAnswerWithWrongAttemptDropped guards against relaying the answer to another
// request, and against using its server while another one answers correctly.
func TestAnswerWithWrongAttemptDropped(t *testing.T) {
	is := is.New(t)
	crossed := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testAttempt, "another")
		answerWith(http.StatusOK, "wrong")(w, r)
	}
	s := newTestStack(t, crossed)
	got := s.call(http.MethodPost, "/once/x", "pay")
	is.Equal(got.status, http.StatusBadGateway)
	is.True(!strings.Contains(got.body, "wrong"))
	s.addServer("1", answerWith(http.StatusOK, "right"))
	for range 4 {
		got = s.call(http.MethodGet, "/safe/x", "")
		is.Equal(got.body, "right")
	}
}

func TestUnsignedAnswerDropped(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Del(testSigned)
		answerWith(http.StatusOK, "unsigned")(w, r)
	})
	is.Equal(s.call(http.MethodPost, "/once/x", "pay").status, http.StatusBadGateway)
}

func TestTruncatedAnswerDropped(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	})
	got := s.call(http.MethodPost, "/once/x", "pay")
	is.Equal(got.status, http.StatusBadGateway)
}

func TestStreamResumedOnAnotherServer(t *testing.T) {
	is := is.New(t)
	var truncated atomic.Bool
	truncatesOnce := func(w http.ResponseWriter, r *http.Request) {
		if truncated.CompareAndSwap(false, true) {
			streamEvents(3, true)(w, r) // in the middle of the fourth event
		}
		streamEvents(6, false)(w, r)
	}
	s := newTestStack(t, truncatesOnce, truncatesOnce)
	got := s.call(http.MethodPost, "/stream/x", "prompt")
	is.True(!got.truncated)
	is.Equal(eventIDs(got.body), []string{"1", "2", "3", "4", "5", "6"}) // no duplicate, missing or partial event
	is.Equal(s.meter.began["org"], 1)
}

// TestUnresumableStreamTruncated guards against a stream that looks complete although
// events are missing.
func TestUnresumableStreamTruncated(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, streamEvents(3, true), streamEvents(6, false))
	for _, attempt := range []string{"a", "b", "c", "d", "e", "f"} {
		got := s.call(http.MethodPost, "/plain-stream/x", "prompt", testAttempt, attempt)
		is.True(got.truncated || len(eventIDs(got.body)) == 6) // never complete with events missing
		is.True(s.runCount(attempt) <= 1)
	}
}

func TestUnprovedKeysRefused(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, answerWith(http.StatusOK, "x"))
	s.source.keysProved.Store(false)
	got := s.call(http.MethodPost, "/once/x", "pay")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(s.call(http.MethodPost, "/once/x", "pay", testKey, "unknown").status, http.StatusServiceUnavailable)
	is.Equal(s.runCount("a"), int64(0))
}

// TestKeyRecheckedAfterWait guards against a request that runs under a key which may
// have been revoked while the request waited for a server.
func TestKeyRecheckedAfterWait(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	done := make(chan reply)
	go func() { done <- s.call(http.MethodPost, "/once/x", "pay", testLeft, "20000") }()
	for s.gateway.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // the request waits for a server
	s.source.keysProved.Store(false)
	s.addServer("0", answerWith(http.StatusOK, "x"))
	got := <-done
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(s.runCount("a"), int64(0))
}

// TestStaleConfigurationRefusesAsNotRun guards against a 404 or 401 for a route or key
// that exists, but that a stale configuration lacks.
func TestStaleConfigurationRefusesAsNotRun(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, answerWith(http.StatusOK, "x"))
	is.Equal(s.call(http.MethodGet, "/none/x", "").status, http.StatusNotFound)
	is.Equal(s.call(http.MethodGet, "/safe/x", "", testKey, "unknown").status, http.StatusUnauthorized)
	s.source.current.Store(false)
	is.Equal(s.call(http.MethodGet, "/none/x", "").status, http.StatusServiceUnavailable)
	is.Equal(s.call(http.MethodGet, "/safe/x", "", testKey, "unknown").status, http.StatusServiceUnavailable)
	s.source.table = nil
	is.Equal(s.call(http.MethodGet, "/safe/x", "").status, http.StatusServiceUnavailable)
}

func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	begun := make(chan struct{})
	s := newTestStack(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the test server detects a disconnect only after the body was read
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	ctx, disconnect := context.WithCancel(context.Background())
	go s.do(s.request(ctx, http.MethodPost, "/once/x", "pay"))
	<-begun
	disconnect()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		is.Fail() // the server's request was not cancelled within 500 ms
	}
}

func TestAbortAnswersRequests(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{}, 1)
	s := newTestStack(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		begun <- struct{}{}
		<-r.Context().Done()
	})
	sent := make(chan reply, 1)
	go func() { sent <- s.call(http.MethodPost, "/once/x", "pay") }()
	<-begun
	s.balancer.SetServers(nil) // the next request waits for a server
	waiting := make(chan reply, 1)
	go func() { waiting <- s.call(http.MethodPost, "/stream/x", "pay", testAttempt, "b") }()
	waitFor(t, func() bool { return s.gateway.Active() == 2 })
	s.gateway.Abort()
	got := <-sent
	is.Equal(got.status, http.StatusBadGateway)
	is.True(strings.Contains(got.body, `"type":"instance_draining"`))
	is.True(strings.Contains(got.body, `"not_run":false`))
	got = <-waiting
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, `"type":"instance_draining"`))
	is.True(strings.Contains(got.body, `"not_run":true`))
}

// waitFor fails the test if the condition is not met within a second.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 1 s")
		}
	}
}

func TestUnreachableServerCostsNoAttempt(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.addAddress("unreachable", "127.0.0.1:1")
	s.addServer("good", answerWith(http.StatusOK, "x"))
	for _, attempt := range []string{"a", "b", "c", "d"} {
		got := s.call(http.MethodPost, "/once/x", "pay", testAttempt, attempt)
		is.Equal(got.status, http.StatusOK)
	}
}

func TestRemainingTimeForwarded(t *testing.T) {
	is := is.New(t)
	var left string
	s := newTestStack(t, func(w http.ResponseWriter, r *http.Request) {
		left = r.Header.Get(testLeft)
		answerWith(http.StatusOK, "x")(w, r)
	})
	s.call(http.MethodPost, "/once/x", "pay", testLeft, "700")
	is.True(len(left) == 3 && left <= "700")
}

// TestSlowServerNotRetried guards against a second run on a server that is slow but
// still accepts connections when it is probed.
func TestSlowServerNotRetried(t *testing.T) {
	is := is.New(t)
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * streamProbeAfter)
		streamEvents(2, false)(w, r)
	}
	s := newTestStack(t, slow, slow)
	got := s.call(http.MethodPost, "/stream/x", "prompt")
	is.Equal(eventIDs(got.body), []string{"1", "2"})
	is.Equal(s.runCount("a"), int64(1))
}

func TestMisdirectedRequestRetried(t *testing.T) {
	is := is.New(t)
	misdirected := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	s := newTestStack(t, misdirected, answerWith(http.StatusOK, "x"))
	for _, attempt := range []string{"a", "b", "c"} {
		is.Equal(s.call(http.MethodPost, "/once/x", "pay", testAttempt, attempt).status, http.StatusOK)
	}
}

func TestFailedResumptionTruncatesStream(t *testing.T) {
	is := is.New(t)
	var truncated atomic.Bool
	truncatesOnce := func(w http.ResponseWriter, r *http.Request) {
		if truncated.CompareAndSwap(false, true) {
			streamEvents(3, true)(w, r)
		}
		answerWith(http.StatusInternalServerError, "broken")(w, r)
	}
	s := newTestStack(t, truncatesOnce, truncatesOnce)
	got := s.call(http.MethodPost, "/stream/x", "prompt")
	is.True(got.truncated) // the second server's failure must not look like the end of the stream
	is.Equal(eventIDs(got.body), []string{"1", "2", "3"})
}
