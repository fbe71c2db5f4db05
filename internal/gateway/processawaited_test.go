package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
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

// TestManyProcessesStayKnown guards against questions for each stream in a system of over
// maxSeenProcesses servers, and against one more sight of a known process that drops all others.
func TestManyProcessesStayKnown(t *testing.T) {
	is := is.New(t)
	p := newProcesses()
	at := func(n int) process {
		return process{address: strconv.Itoa(n), peer: guardconn.Peer{Server: strconv.Itoa(n)}}
	}
	for n := range maxSeenProcesses {
		p.saw(at(n), 10)
	}
	p.saw(at(0), 11)
	t.Log(len(p.seen))
	is.True(p.ranAt(at(1), 10))
}

// TestWaitForListLeavesTimeForAnotherServer guards against a request that ends at its deadline in a wait
// for a list that cannot come, as soon after the start of an instance, while another server is free.
func TestWaitForListLeavesTimeForAnotherServer(t *testing.T) {
	for _, left := range []int{1400, 4000} {
		t.Run(strconv.Itoa(left), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestStack(t)
			s.gateway.options.Origins = &testOrigins{}
			s.gateway.options.ServersAsOf = func() boottime.Instant { return 0 }
			s.addAsked(identity(func(http.ResponseWriter) { time.Sleep(2 * serverCheckTimeout) }))
			s.addAsked(identity(statesStart(testStarted)))
			begun := 0
			for n := range 6 {
				began := time.Now()
				got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, strconv.Itoa(n), testLeft, strconv.Itoa(left))
				t.Log(got.status, time.Since(began).Round(10*time.Millisecond))
				if got.status == http.StatusOK {
					begun++
				}
			}
			is.Equal(begun, 6)
		})
	}
}
