package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// TestRestartAtTheSameVersionIsAwaited guards against streams that are dropped at servers which have
// started again with their version, until the directory lists that, here 500 ms later.
func TestRestartAtTheSameVersionIsAwaited(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Origins = &testOrigins{}
	s.gateway.options.ServersAsOf = boottime.Now
	const servers = 3
	for range servers {
		s.addAsked(identity(statesStart(testStarted + 1)))
	}
	time.AfterFunc(500*time.Millisecond, func() {
		listed := append(s.servers[:0:0], s.servers...)
		for i := range listed {
			listed[i].StartedMillis = testStarted + 1
		}
		s.balancer.SetServers(listed)
	})
	began := time.Now()
	got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, "n", testLeft, "5000")
	t.Log(got.status, got.body, time.Since(began).Round(time.Millisecond))
	is.Equal(got.status, http.StatusOK)
}
