package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
)

// addAsked adds a server of v1 that is asked who it is by identify, which may be changed at any time.
func (s *testStack) addAsked(identify *atomic.Value) *atomic.Int64 {
	id := strconv.Itoa(len(s.servers))
	var asked atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == testIdentityPath {
			asked.Add(1)
			w.Header().Set(testID, id)
			identify.Load().(func(http.ResponseWriter))(w)
			return
		}
		w.Header().Set(testAttempt, r.Header.Get(testAttempt))
		w.Header().Set(testSigned, id)
		streamEvents(4, false)(w, r)
	}))
	s.t.Cleanup(server.Close)
	s.addAddress(id, strings.TrimPrefix(server.URL, "http://"))
	s.servers[len(s.servers)-1].Version = "v1"
	s.balancer.SetServers(s.servers)
	return &asked
}

func statesStart(millis int) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { w.Header().Set(testStart, strconv.Itoa(millis)) }
}

func closesConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func identity(f func(http.ResponseWriter)) *atomic.Value {
	v := &atomic.Value{}
	v.Store(f)
	return v
}

// TestServerIsAskedOnceForConnection guards against a question for each stream.
func TestServerIsAskedOnceForConnection(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Origins = &testOrigins{}
	asked := s.addAsked(identity(statesStart(testStarted)))
	for n := range 20 {
		got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, strconv.Itoa(n))
		is.Equal(got.status, http.StatusOK)
		is.True(!got.truncated)
	}
	is.True(asked.Load() <= 2) // the question has a connection of its own, which the next stream takes
	s.call(http.MethodPost, "/plain-stream/x", "ask")
	s.call(http.MethodPost, "/safe/x", "ask")
	is.True(asked.Load() <= 2)
}

// TestRunIsBelievedByTheListReadAfterwards guards against a run at a server that does not answer who
// it is which is believed by an old list, and against one that is dropped although a later list
// still has its process.
func TestRunIsBelievedByTheListReadAfterwards(t *testing.T) {
	for name, asOf := range map[string]func() boottime.Instant{
		"later list":  func() boottime.Instant { return boottime.Now().Add(time.Minute) },
		"read beside": boottime.Now,
		"old list":    func() boottime.Instant { return 1 },
		"not read":    func() boottime.Instant { return 0 },
	} {
		for _, resumed := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				s := newTestStack(t)
				s.gateway.options.Origins = &testOrigins{version: "v1"}
				s.gateway.options.ServersAsOf = asOf
				s.addAsked(identity(closesConnection))
				fields := []string{testLeft, "3000"}
				if resumed {
					fields = append(fields, testResume, "2", testResumed, "first")
				}
				got := s.call(http.MethodPost, "/stream/x", "ask", fields...)
				is.Equal(got.status == http.StatusOK, name == "later list" || name == "read beside")
			})
		}
	}
}

// TestRestartAtTheSameVersionBeginsStream guards against a stream that is dropped at a server that
// has started again with the version that it had, once the directory lists that.
func TestRestartAtTheSameVersionBeginsStream(t *testing.T) {
	for _, listed := range []string{"v1", "v2"} {
		t.Run(listed, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.gateway.options.Origins = &testOrigins{}
			var once sync.Once
			v := identity(func(w http.ResponseWriter) {
				once.Do(func() {
					s.servers[0].StartedMillis, s.servers[0].Version = testStarted+1, listed
					s.balancer.SetServers(s.servers)
				})
				statesStart(testStarted + 1)(w)
			})
			s.addAsked(v)
			got := s.call(http.MethodPost, "/stream/x", "ask", testLeft, "1000")
			is.Equal(got.status == http.StatusOK, listed == "v1")
		})
	}
}

// TestProcessIsKnownByLaterAnswersOnly guards against a connection that is taken for that of a process
// that may have ended before.
func TestProcessIsKnownByLaterAnswersOnly(t *testing.T) {
	is := is.New(t)
	p := newProcesses()
	who := process{address: "a", peer: guardconn.Peer{Server: "s", StartedMillis: 1}}
	p.saw(who, 10)
	p.saw(who, 5)
	is.True(p.ranAt(who, 10))
	is.True(!p.ranAt(who, 11))
	later := who
	later.peer.StartedMillis = 2
	is.True(!p.ranAt(later, 1))
	for n := range 3 * maxSeenProcesses {
		p.saw(process{address: strconv.Itoa(n)}, 20)
	}
	is.True(len(p.seen) <= maxSeenProcesses)
	asked := boottime.Instant(0)
	got := p.check(who, 3, func() processCheck { asked++; return processCheck{askedAt: asked} })
	is.Equal(got.askedAt, boottime.Instant(3))
}

// TestRunWithoutCheckDoesNotWaitForOne guards against a run that waits for the answer to a question
// that nobody has asked, since its connection was taken for that of its process at first.
func TestRunWithoutCheckDoesNotWaitForOne(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Origins = &testOrigins{}
	asked := s.addAsked(identity(statesStart(testStarted)))
	assignment, err := s.balancer.Acquire(t.Context(), &balance.Query{Service: "s"})
	is.NoErr(err)
	defer assignment.End(balance.Abandoned)
	a := &attempt{x: &exchange{gateway: s.gateway, route: &s.source.table.Routes[0]}, assignment: assignment, ctx: t.Context()}
	a.run.conn = &guardconn.Conn{}
	a.run.conn.SetPeer(guardconn.Peer{Server: "0", StartedMillis: testStarted + 1})
	is.Equal(a.findProcess(), sameProcess)
	is.Equal(asked.Load(), int64(1))
}
