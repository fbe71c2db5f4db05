package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routes"
)

// testOrigins is an Origins with fixed answers.
type testOrigins struct {
	mu       sync.Mutex
	version  string
	unknown  error
	confirms []error // results of the calls of Confirm, in order; nil after them
	calls    []string
}

func (o *testOrigins) note(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls = append(o.calls, fmt.Sprintf(format, args...))
}

func (o *testOrigins) ForRoute(string) Origins { return o }

func (o *testOrigins) Track(attempt, service string) OriginRecord {
	o.note("track %s %s", attempt, service)
	return o
}

func (o *testOrigins) Find(_ context.Context, attempt, service string) (string, error) {
	o.note("find %s %s", attempt, service)
	return o.version, o.unknown
}

func (o *testOrigins) Sending(version string) { o.note("sending %s", version) }

func (o *testOrigins) Confirm(context.Context) error {
	o.note("confirm")
	if len(o.confirms) == 0 {
		return nil
	}
	err := o.confirms[0]
	o.confirms = o.confirms[1:]
	return err
}

func (o *testOrigins) Lost() { o.note("lost") }

func (o *testOrigins) Ended() { o.note("ended") }

// versionEvents streams up to last events that name the version. A run from the start breaks
// off after the second one.
func versionEvents(version string, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get(testResume))
		for id := from + 1; id <= last; id++ {
			fmt.Fprintf(w, "id: %d\ndata: version %s\n\n", id, version)
			_ = http.NewResponseController(w).Flush()
			if from == 0 && id == 2 {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// addVersions adds a server of each version, whose id is its position.
func (s *testStack) addVersions(handler func(version string) http.HandlerFunc, versions ...string) {
	for _, version := range versions {
		s.addServer(strconv.Itoa(len(s.servers)), handler(version))
		s.servers[len(s.servers)-1].Version = version
		s.servers[len(s.servers)-1].Capacity = 64
	}
	s.balancer.SetServers(s.servers)
}

func fourEvents(version string) http.HandlerFunc { return versionEvents(version, 4) }

// versionsOf returns how many events of a stream each version wrote.
func versionsOf(stream string) map[string]int {
	found := map[string]int{}
	for line := range strings.Lines(stream) {
		if version, ok := strings.CutPrefix(strings.TrimSpace(line), "data: version"); ok {
			found[strings.TrimSpace(version)]++
		}
	}
	return found
}

// TestStreamContinuesOnItsVersionOnly guards against an answer whose events come from servers of
// two software versions.
func TestStreamContinuesOnItsVersionOnly(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		ends     bool
	}{
		"two of each": {[]string{"v1", "v2", "v1", "v2"}, true},
		"one of each": {[]string{"v1", "v2"}, false},
		"no version":  {[]string{"", "v2", "v3"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.addVersions(fourEvents, c.versions...)
			for n := range 20 {
				got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, strconv.Itoa(n))
				is.Equal(len(versionsOf(got.body)), 1)
				is.Equal(!got.truncated, c.ends)
			}
		})
	}
}

// TestTakeUpGoesToTheVersionThatBeganIt guards against a stream that a caller takes up again and
// that goes on at another version.
func TestTakeUpGoesToTheVersionThatBeganIt(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	origins := &testOrigins{version: "v1"}
	s.gateway.options.Origins = origins
	s.addVersions(fourEvents, "v2", "v1", "v2", "v2")
	for n := range 20 {
		got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, strconv.Itoa(n), testResume, "2", testResumed, "first")
		is.Equal(got.status, http.StatusOK)
		is.True(!got.truncated)
		is.Equal(versionsOf(got.body), map[string]int{"v1": 2})
	}
	is.Equal(origins.calls[0], "find first s")
	is.Equal(len(origins.calls), 20) // nothing is recorded
}

// TestTakeUpWithoutServerOfVersionIsRefused guards against a resumption that runs elsewhere, or
// whose caller returns in vain.
func TestTakeUpWithoutServerOfVersionIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		origins *testOrigins
		drained bool
		code    result.Code
		after   string
		reason  string
	}{
		"not listed":  {&testOrigins{version: "v0"}, false, result.StreamVersionUnavailable, "", refusedVersionMissing},
		"drained":     {&testOrigins{version: "v1"}, true, result.StreamVersionUnavailable, "1.000", refusedVersionUnusable},
		"never known": {&testOrigins{unknown: &OriginUnknownError{Reason: "no record"}}, false, result.StreamOriginUnknown, "", refusedOriginUnknown},
		"not known now": {&testOrigins{unknown: &OriginUnknownError{Reason: "no store", RetryAfter: 2 * time.Second}}, false,
			result.StreamOriginUnknown, "2.000", refusedOriginNotKnown},
		"late": {&testOrigins{unknown: context.DeadlineExceeded}, false, result.StreamOriginUnknown, "1.000", refusedOriginNotKnown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.gateway.options.Origins = c.origins
			s.addVersions(fourEvents, "v1", "v2")
			if c.drained {
				s.servers[0].Zone = "other"
				s.balancer.SetServers(s.servers)
				s.balancer.SetDrainedZones([]string{"other"})
			}
			began := time.Now()
			got := s.call(http.MethodPost, "/stream/x", "ask", testResume, "2")
			is.True(time.Since(began) < time.Second)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(strings.Contains(got.body, fmt.Sprintf(`"code":%d`, c.code)))
			is.True(strings.Contains(got.body, `"not_run":true`))
			is.Equal(got.header.Get("Retry-After"), c.after)
			is.Equal(s.runCount("a"), int64(0))
			var metrics strings.Builder
			s.gateway.WriteMetrics(&metrics)
			is.True(strings.Contains(metrics.String(), fmt.Sprintf("hawthornwick_resumptions_refused_total{route=\"stream\",reason=%q} 1", c.reason)))
		})
	}
}

// addRestarted adds a server of v1 in whose place a process of v2 runs, which the directory does
// not list yet.
func (s *testStack) addRestarted(startedMillis int) *atomic.Int64 {
	id := strconv.Itoa(len(s.servers))
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == testIdentityPath {
			w.Header().Set(testID, id)
			w.Header().Set(testStart, strconv.Itoa(startedMillis))
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
	s.servers[len(s.servers)-1].Capacity = 64
	s.balancer.SetServers(s.servers)
	return &runs
}

// TestRestartedServerOfOtherVersionDoesNotContinue guards against events of a process that has
// taken the place of the one that was chosen, under its id and address.
func TestRestartedServerOfOtherVersionDoesNotContinue(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Origins = &testOrigins{version: "v1"}
	log := &sampleLog{}
	s.gateway.options.Versions = log.observe
	runs := s.addRestarted(testStarted + 1)
	s.addVersions(fourEvents, "v1")
	for n := range 20 {
		got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, strconv.Itoa(n), testResume, "2")
		is.Equal(got.status, http.StatusOK)
		is.Equal(versionsOf(got.body), map[string]int{"v1": 2})
	}
	is.True(runs.Load() > 0) // otherwise nothing was tested
	_, failed := log.ends()
	is.Equal(failed, 0) // no evidence against a version
}

// TestServerReplacedBeforeFirstEventBeginsNoStream guards against a stream that is recorded, or
// goes on, at another version than that of the process which sent its first event.
func TestServerReplacedBeforeFirstEventBeginsNoStream(t *testing.T) {
	for _, when := range []string{"before the first event", "before its directory entry"} {
		t.Run(when, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			var once sync.Once
			var replaced atomic.Value
			replace := func(id string) {
				once.Do(func() {
					replaced.Store(id)
					n, _ := strconv.Atoi(id)
					listed := append(s.servers[:0:0], s.servers...)
					listed[n].Version, listed[n].StartedMillis = "v2", testStarted+1
					s.balancer.SetServers(listed)
				})
			}
			handler := func(id string) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					first := r.Header.Get(testResume) == ""
					if first && when == "before the first event" {
						replace(id)
					}
					w.Header().Set("Content-Type", "text/event-stream")
					from, _ := strconv.Atoi(r.Header.Get(testResume))
					for i := from + 1; i <= 4; i++ {
						fmt.Fprintf(w, "id: %d\ndata: version server %s\n\n", i, id)
						_ = http.NewResponseController(w).Flush()
						if first && i == 2 && when != "before the first event" {
							time.Sleep(100 * time.Millisecond)
							replace(id)
							panic(http.ErrAbortHandler)
						}
					}
				}
			}
			s.addServer("0", handler("0"))
			s.addServer("1", handler("1"))
			s.servers[0].Version, s.servers[1].Version = "v1", "v1"
			s.balancer.SetServers(s.servers)
			got := s.call(http.MethodPost, "/stream/x", "ask")
			is.Equal(len(versionsOf(got.body)), 1)
			before := when == "before the first event"
			is.Equal(got.truncated, !before)
			is.Equal(versionsOf(got.body)["server "+replaced.Load().(string)] == 0, before)
		})
	}
}

// TestOriginBecomesUnknownWhenServerWasReplaced guards against a stream that others take for one of
// the version that was chosen, although another process under the server's id began it.
func TestOriginBecomesUnknownWhenServerWasReplaced(t *testing.T) {
	for _, started := range []int64{testStarted + 1, time.Now().Add(time.Hour).UnixMilli()} {
		t.Run(fmt.Sprint("started ", started), func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			origins := &testOrigins{}
			s.gateway.options.Origins = origins
			s.addServer("0", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for i := 1; i <= 3; i++ {
					fmt.Fprintf(w, "id: %d\ndata: version v2\n\n", i)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(50 * time.Millisecond)
					if i == 1 {
						listed := slices.Clone(s.servers)
						listed[0].Version, listed[0].StartedMillis = "v2", started
						s.balancer.SetServers(listed)
					}
				}
			})
			s.servers[0].Version = "v1"
			s.balancer.SetServers(s.servers)
			s.call(http.MethodPost, "/stream/x", "ask")
			is.Equal(slices.Contains(origins.calls, "lost"), started == testStarted+1)
		})
	}
}

// TestLeavingServerKeepsStreamWithoutOtherOfItsVersion guards against a stream that is taken from
// a server that still writes it, although only another version could go on with it.
func TestLeavingServerKeepsStreamWithoutOtherOfItsVersion(t *testing.T) {
	for version, continued := range map[string]bool{"v1": true, "v2": false} {
		t.Run(version, func(t *testing.T) {
			is := is.New(t)
			s, ended := newDepartureStack(t, routes.Route{Resumable: true, Target: time.Second}, 100)
			s.servers[0].Version = "v1"
			s.balancer.SetServers(s.servers)
			done := make(chan reply)
			go func() { done <- s.call(http.MethodPost, "/r/x", "ask") }()
			time.Sleep(50 * time.Millisecond)
			s.addServer("1", streamEvents(60, false))
			s.servers[0].Draining = true
			s.leaveSoon(version)
			got := <-done
			is.True(!got.truncated)
			is.Equal(strings.Contains(got.body, "chunk"), continued)
			is.Equal(ended.Load() > 0, continued)
		})
	}
}

// TestFirstEventWaitsForItsRecord guards against a stream whose version other instances cannot
// find, and against one that is lost because one record was not kept.
func TestFirstEventWaitsForItsRecord(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	origins := &testOrigins{confirms: []error{errors.New("no store")}}
	s.gateway.options.Origins = origins
	s.addVersions(func(string) http.HandlerFunc { return streamEvents(4, false) }, "v1", "v1")
	got := s.call(http.MethodPost, "/stream/x", "ask")
	is.True(!got.truncated)
	is.Equal(len(eventIDs(got.body)), 4)
	for end := time.Now().Add(time.Second); s.gateway.Active() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(origins.calls, []string{"track a s", "sending v1", "confirm", "sending v1", "confirm", "ended"})
}

// TestTakeUpReachesTheServiceOfItsStream guards against a resumption that is refused because the
// weights of a route lead it to another service than the attempt which began the stream.
func TestTakeUpReachesTheServiceOfItsStream(t *testing.T) {
	is := is.New(t)
	route := &routes.Route{Kind: routes.Stream, Split: []routes.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}}
	services := map[string]int{}
	for n := range 100 {
		first := &exchange{route: route, head: CallerHead{Attempt: fmt.Sprint("first", n)}}
		resumed := &exchange{route: route, head: CallerHead{Attempt: fmt.Sprint("next", n), ResumeAfter: "2", ResumedAttempt: first.head.Attempt}}
		service := route.Choose(first.serviceSeed())
		services[service]++
		is.Equal(route.Choose(resumed.serviceSeed()), service)
	}
	is.Equal(len(services), 2) // otherwise nothing was tested
}

// TestStreamThatMayNotBeResumedNeedsNoRecord guards against a stream that does not begin since the
// store is away, although nobody may resume it.
func TestStreamThatMayNotBeResumedNeedsNoRecord(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	origins := &testOrigins{confirms: []error{errors.New("no store")}}
	s.gateway.options.Origins = origins
	s.addServer("0", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: version v1\n\n")
	})
	got := s.call(http.MethodPost, "/plain-stream/x", "ask")
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(origins.calls), 0)
}
