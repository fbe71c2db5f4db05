package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// promises are the statuses that tell a caller that its request has not run and never will.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// checkNoPromise fails the test if the caller may take its request for one that has not run.
func checkNoPromise(t *testing.T, got reply) {
	t.Helper()
	for _, status := range promises {
		if got.status == status {
			t.Errorf("status %d promises that the request has not run", status)
		}
	}
	if strings.Contains(got.body, `"not_run":true`) || got.header.Get(testNotRun) != "" {
		t.Errorf("the answer states that the request has not run: %v %s", got.header, got.body)
	}
	if got.header.Get(testSigned) != "" {
		t.Error("a failure of the router's own carries a server's signature")
	}
}

// TestServerFailsAfterItRan guards against a request that ran and that its caller repeats,
// since its server failed it with a status that promises that it has not run.
func TestServerFailsAfterItRan(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/plain-stream/x"} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(path, status), func(t *testing.T) {
				is := is.New(t)
				fails := answerWith(status, "the confirmation could not be written")
				s := newTestStack(t, fails, fails)
				got := s.call(http.MethodPost, path, "pay")
				checkNoPromise(t, got)
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(s.meter.began["org"], 1)
				if path != "/safe/x" && path != "/stream/x" {
					is.Equal(s.runCount("a"), int64(1))
				}
			})
		}
	}
}

// TestRefusalAfterAnotherServerRan guards against a server's refusal that is relayed as a
// promise although the attempt before it may have run on another server.
func TestRefusalAfterAnotherServerRan(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			h := func(w http.ResponseWriter, r *http.Request) {
				if sent.Add(1) == 1 {
					abort(w, r)
				}
				w.Header().Set(testNotRun, "1")
				w.WriteHeader(status)
			}
			s := newTestStack(t, h, h)
			checkNoPromise(t, s.call(http.MethodGet, "/safe/x", "", testLeft, "400"))
			is.True(sent.Load() >= 2)
		})
	}
}

// TestStatedRefusalIsRelayed checks that a server's own refusal reaches the caller as it is
// if no server ran the request.
func TestStatedRefusalIsRelayed(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestTimeout} {
		is := is.New(t)
		s := newTestStack(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testNotRun, "1")
			w.WriteHeader(status)
		})
		got := s.call(http.MethodPost, "/once/x", "pay")
		is.Equal(got.status, status)
		is.Equal(got.header.Get(testSigned), "0")
		is.Equal(s.meter.began["org"], 0)
	}
}

// TestSuccessThatHasNotRun guards against a success that skips the checks of successes since
// its server also states that it did not run the request.
func TestSuccessThatHasNotRun(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			h := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testNotRun, "1")
				w.Header().Del(testSigned)
				_, _ = w.Write([]byte("done"))
			}
			s := newTestStack(t, h, h)
			got := s.call(http.MethodPost, path, "pay")
			is.New(t).Equal(got.status, http.StatusBadGateway)
			checkNoPromise(t, got)
		})
	}
}
