package gateway

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWriter is a caller that takes its time over each event after the first.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay  time.Duration
	writes int
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if w.writes++; w.writes > 1 {
		time.Sleep(w.delay)
	}
	return w.ResponseRecorder.Write(p)
}

// restartedUnderItsID is an endingServer.beforeEnd. The new process states its id only.
func restartedUnderItsID(downtime time.Duration) func(*endingServer, *http.Request) {
	return func(s *endingServer, _ *http.Request) {
		address := s.listener.Addr().String()
		s.kill()
		time.AfterFunc(downtime, func() {
			l, err := net.Listen("tcp", address)
			if err != nil {
				return
			}
			e := &endingServer{listener: l, part: testPieces, endScript: endScript{identify: states("0", 0)}}
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go e.serve(c)
			}
		})
	}
}

// TestEndThatIsSeenAfterARestartIsNotConfirmed guards against a stream of a killed server that
// ends as complete since a slow caller delayed its end until the server was back under its id.
func TestEndThatIsSeenAfterARestartIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.addEndingServer(&endingServer{id: "0", part: 2, endScript: endScript{beforeEnd: restartedUnderItsID(700 * time.Millisecond)}})
	r := httptest.NewRequest(http.MethodPost, "/plain-stream/x", nil)
	r.Host = "test"
	r.Header.Set(testAttempt, "a")
	r.Header.Set(testKey, "key")
	w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), delay: 1500 * time.Millisecond}
	aborted := false
	func() {
		defer func() {
			err, _ := recover().(error)
			aborted = errors.Is(err, http.ErrAbortHandler)
		}()
		s.gateway.ServeHTTP(w, r)
	}()
	is.Equal(eventIDs(w.Body.String()), []string{"1", "2"})
	is.True(aborted)
}

// TestEndOfServerThatIsListedAgain guards against a part of an answer that looks whole: its
// server crashed behind a cut, was back under its id before the end of the connection arrived,
// and states only its id. The directory lists its new start by then.
func TestEndOfServerThatIsListedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		ago   time.Duration // of the listed start
		whole bool
	}{"started since": {0, false}, "started before the request": {2 * time.Second, true}} {
		for _, path := range []string{"/plain-stream/x", "/once/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				s := newTestStack(t)
				listAgain := func(*endingServer, *http.Request) {
					s.servers[0].StartedMillis = time.Now().Add(-c.ago).UnixMilli()
					s.balancer.SetServers(s.servers)
				}
				s.addEndingServer(&endingServer{id: "0", part: 2, endScript: endScript{beforeEnd: listAgain, identify: states("0", 0)}})
				got := s.call(http.MethodPost, path, "ask")
				is.Equal(got.status == http.StatusOK && !got.truncated, c.whole)
			})
		}
	}
}
