package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// addSuccessor adds a server that is listed as v1, and at whose address a later process of v2 runs,
// which answers by identify who it is.
func (s *testStack) addSuccessor(identify http.HandlerFunc) *atomic.Int64 {
	id := strconv.Itoa(len(s.servers))
	runs := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == testIdentityPath {
			identify(w, r)
			return
		}
		runs.Add(1)
		w.Header().Set(testAttempt, r.Header.Get(testAttempt))
		w.Header().Set(testSigned, id)
		versionEvents("v2", 4)(w, r)
	}))
	s.t.Cleanup(server.Close)
	s.addAddress(id, strings.TrimPrefix(server.URL, "http://"))
	s.servers[len(s.servers)-1].Version = "v1"
	s.balancer.SetServers(s.servers)
	return runs
}

// TestUnreadableIdentityBeginsNoStreamAsTheFormer guards against a stream of a later process that is
// noted at the listed version since its statement who it is was garbled or an error.
func TestUnreadableIdentityBeginsNoStreamAsTheFormer(t *testing.T) {
	knownred.Skip(t)
	for name, identify := range map[string]http.HandlerFunc{
		"id without a readable start": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testID, "0")
			_, _ = w.Write([]byte("garbled"))
		},
		"neither":     func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("garbled")) },
		"unavailable": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.gateway.options.Origins = &testOrigins{}
			s.gateway.options.ServersAsOf = func() boottime.Instant { return 1 } // nothing confirms the list
			runs := s.addSuccessor(identify)
			got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, "n", testLeft, "3000")
			t.Log(got.status, got.body)
			is.True(runs.Load() > 0) // otherwise nothing was tested
			is.Equal(versionsOf(got.body)["v2"], 0)
		})
	}
}

// TestSuccessorOfServerWithoutStartBeginsNoStream guards against a stream of a later process at a server
// whose entry states no start.
func TestSuccessorOfServerWithoutStartBeginsNoStream(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Origins = &testOrigins{}
	runs := s.addSuccessor(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testID, "0")
		w.Header().Set(testStart, strconv.Itoa(testStarted+1))
	})
	s.servers[0].StartedMillis = 0
	s.balancer.SetServers(s.servers)
	got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, "n", testLeft, "3000")
	t.Log(got.status, got.body)
	is.True(runs.Load() > 0) // otherwise nothing was tested
	is.Equal(versionsOf(got.body)["v2"], 0)
}

// TestSilentSuccessorRegistersLate guards against a stream of a later process that gives no answer who
// it is, and whose registration takes as long as a slow store does, here 1 s.
func TestSilentSuccessorRegistersLate(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Origins = &testOrigins{}
	s.gateway.options.ServersAsOf = boottime.Now // lists are current at all times
	runs := s.addSuccessor(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	time.AfterFunc(time.Second, func() {
		listed := append(s.servers[:0:0], s.servers...)
		listed[0].Version, listed[0].StartedMillis = "v2", testStarted+1
		s.balancer.SetServers(listed)
	})
	got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, "n", testLeft, "5000")
	t.Log(got.status, got.body)
	is.True(runs.Load() > 0) // otherwise nothing was tested
	is.Equal(versionsOf(got.body)["v2"], 0)
}

// TestConnectionOfFormerProcessIsNotTheLatter guards against a run on a kept connection of a former
// process, which still ends its streams, that counts as one of the process that took its address.
func TestConnectionOfFormerProcessIsNotTheLatter(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Origins = &testOrigins{}
	serve := func(version string, start int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == testIdentityPath {
				w.Header().Set(testID, "0")
				w.Header().Set(testStart, strconv.Itoa(start))
				return
			}
			w.Header().Set(testAttempt, r.Header.Get(testAttempt))
			w.Header().Set(testSigned, "0")
			versionEvents(version, 4)(w, r)
		})
	}
	former := httptest.NewServer(serve("v1", testStarted))
	t.Cleanup(former.Close)
	address := former.Listener.Addr().String()
	s.addAddress("0", address)
	s.servers[0].Version = "v1"
	s.balancer.SetServers(s.servers)
	for n := range 3 {
		is.True(versionsOf(s.call(http.MethodPost, "/stream/x", "ask", testAttempt, strconv.Itoa(n)).body)["v1"] > 0)
	}
	is.NoErr(former.Listener.Close())
	listener, err := net.Listen("tcp", address)
	is.NoErr(err)
	latter := &http.Server{Handler: serve("v2", testStarted+1), ReadHeaderTimeout: time.Second}
	go func() { _ = latter.Serve(listener) }()
	t.Cleanup(func() { _ = latter.Close() })
	listed := append(s.servers[:0:0], s.servers...)
	listed[0].Version, listed[0].StartedMillis = "v2", testStarted+1
	s.balancer.SetServers(listed)
	for n := range 5 {
		got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, "n"+strconv.Itoa(n))
		t.Log(got.status, versionsOf(got.body))
		is.Equal(versionsOf(got.body)["v1"], 0)
	}
}

// TestSoundStreamsBeginWhereListsAreRare guards against sound streams that are dropped at servers without
// a free connection, since the next list of servers is read later than the wait for it ends.
func TestSoundStreamsBeginWhereListsAreRare(t *testing.T) {
	knownred.Skip(t)
	for name, interval := range map[string]time.Duration{
		"standalone, quiet table": 3 * time.Second,         // standaloneServersWait
		"91 instances":            1820 * time.Millisecond, // serversPause
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestStack(t)
			s.gateway.options.Origins = &testOrigins{}
			first := boottime.Now()
			s.gateway.options.ServersAsOf = func() boottime.Instant {
				now := boottime.Now()
				return now.Add(-(now.Sub(first) % interval))
			}
			for range 3 {
				s.addAsked(identity(closesConnection))
			}
			const streams = 24
			var begun atomic.Int64
			var running sync.WaitGroup
			for n := range streams {
				running.Go(func() {
					time.Sleep(time.Duration(n) * interval / streams)
					got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, strconv.Itoa(n), testLeft, "10000")
					if got.status == http.StatusOK && !got.truncated {
						begun.Add(1)
					}
				})
			}
			running.Wait()
			t.Logf("%d of %d sound streams begun", begun.Load(), streams)
			is.Equal(begun.Load(), int64(streams))
		})
	}
}
