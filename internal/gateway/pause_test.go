package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// asksForPause returns a handler that refuses requests and asks for a pause.
func asksForPause(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', -1, 64))
		overloaded(w, r)
	}
}

// TestNoRequestWithinPause guards against requests to a server in the pause that it asked
// for: more, repeated, or waiting ones.
func TestNoRequestWithinPause(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			knownred.Skip(t)
			is := is.New(t)
			server := &countedServer{handler: asksForPause(2 * time.Second)}
			s := newTestStack(t, server.ServeHTTP)
			for n := range 8 {
				got := s.call(http.MethodPost, path, "pay", testAttempt, strconv.Itoa(n), testLeft, "400")
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(strings.Contains(got.body, `"not_run":true`))
			}
			is.Equal(server.requests.Load(), int64(1))
		})
	}
}

// TestAllServersPausedRefusesAtOnce guards against requests that wait although no server
// can take them in time, and against callers that are told to return before the pause ends.
func TestAllServersPausedRefusesAtOnce(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	s := newTestStack(t, asksForPause(4*time.Second), asksForPause(6*time.Second))
	s.call(http.MethodPost, "/once/x", "pay", testLeft, "20000")
	began := time.Now()
	got := s.call(http.MethodPost, "/once/x", "pay", testAttempt, "b", testLeft, "20000")
	is.True(time.Since(began) < 40*time.Millisecond) // the wait for a server is 50 ms
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, `"not_run":true`))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 3.5 && after <= 4) // the earliest end
	got = s.call(http.MethodPost, "/once/x", "pay", testAttempt, "c", testLeft, "1000")
	after, err = strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after <= 0.5) // leaves the caller time for another attempt
}
