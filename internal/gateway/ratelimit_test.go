package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// namesLimit wraps a handler so that its answers name a rate limit.
func namesLimit(rate string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testRateLimit, rate)
		h(w, r)
	}
}

// TestRequestsBeyondNamedLimit guards against requests beyond the limit that a server has
// named, and against callers that wait in vain or are told to return too early.
func TestRequestsBeyondNamedLimit(t *testing.T) {
	is := is.New(t)
	server := &countedServer{handler: namesLimit("0.25", answerWith(http.StatusOK, "x"))}
	s := newTestStack(t, server.ServeHTTP)
	is.Equal(s.call(http.MethodPost, "/once/x", "pay").status, http.StatusOK)
	began := time.Now()
	got := s.call(http.MethodPost, "/once/x", "pay", testAttempt, "b", testLeft, "20000")
	is.True(time.Since(began) < 40*time.Millisecond) // the wait for a server is 50 ms
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, `"not_run":true`))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 3 && after <= 4)
	is.Equal(server.requests.Load(), int64(1))
	s.addServer("1", answerWith(http.StatusOK, "other"))
	is.Equal(s.call(http.MethodPost, "/once/x", "pay", testAttempt, "c").body, "other")
}

// TestAbsurdLimitsExcludeNoServer guards against a server that gets no requests for good
// because of a value that cannot be meant.
func TestAbsurdLimitsExcludeNoServer(t *testing.T) {
	for _, rate := range []string{"-1", "NaN", "Inf", "", "soon", "1e-300", "1e300", strings.Repeat("9", 5000)} {
		t.Run(rate[:min(len(rate), 8)], func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t, namesLimit(rate, answerWith(http.StatusOK, "x")))
			for n := range 5 {
				is.Equal(s.call(http.MethodPost, "/once/x", "pay", testAttempt, strconv.Itoa(n)).status, http.StatusOK)
			}
		})
	}
}
