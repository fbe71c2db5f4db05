package gateway

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/invariant"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// kindsOf returns the kinds of the events about a request, in order.
func kindsOf(s *testStack, request string) []timeline.Kind {
	var kinds []timeline.Kind
	events, _ := s.ring.Snapshot()
	for _, e := range events {
		if e.Request == request {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// TestRequestEvents guards against requests whose timeline lacks an event or holds one
// that breaks an invariant.
func TestRequestEvents(t *testing.T) {
	bad := answerWith(http.StatusInternalServerError, "broken")
	var truncated atomic.Bool
	truncatesOnce := func(w http.ResponseWriter, r *http.Request) {
		if truncated.CompareAndSwap(false, true) {
			streamEvents(2, true)(w, r)
		}
		streamEvents(4, false)(w, r)
	}
	var wasOverloaded atomic.Bool
	overloadedOnce := func(w http.ResponseWriter, r *http.Request) {
		if wasOverloaded.CompareAndSwap(false, true) {
			overloaded(w, r)
			return
		}
		answerWith(http.StatusOK, "x")(w, r)
	}
	for name, c := range map[string]struct {
		servers      []http.HandlerFunc
		method, path string
		fields       []string
		want         []timeline.Kind
	}{
		"answered": {
			[]http.HandlerFunc{answerWith(http.StatusOK, "x")}, http.MethodPost, "/once/x", nil,
			[]timeline.Kind{timeline.RequestReceived, timeline.AttemptSent, timeline.RequestAnswered},
		},
		"retried": {
			[]http.HandlerFunc{bad, bad}, http.MethodGet, "/safe/x", nil,
			[]timeline.Kind{timeline.RequestReceived, timeline.AttemptSent, timeline.AttemptFailed, timeline.AttemptSent, timeline.RequestAnswered},
		},
		"resumed": {
			[]http.HandlerFunc{truncatesOnce, truncatesOnce}, http.MethodPost, "/stream/x", nil,
			[]timeline.Kind{timeline.RequestReceived, timeline.AttemptSent, timeline.AttemptFailed, timeline.AttemptSent, timeline.RequestAnswered},
		},
		"refused by one server": {
			[]http.HandlerFunc{overloadedOnce, overloadedOnce}, http.MethodPost, "/once/x", nil,
			[]timeline.Kind{timeline.RequestReceived, timeline.AttemptSent, timeline.AttemptDeclined, timeline.AttemptSent, timeline.RequestAnswered},
		},
		"answer lost": {
			[]http.HandlerFunc{abort}, http.MethodPost, "/once/x", nil,
			[]timeline.Kind{timeline.RequestReceived, timeline.AttemptSent, timeline.AttemptFailed, timeline.RequestFailed},
		},
		"refused by the only server": {
			[]http.HandlerFunc{overloaded}, http.MethodPost, "/once/x", nil,
			[]timeline.Kind{
				timeline.RequestReceived, timeline.AttemptSent, timeline.AttemptDeclined, timeline.RequestQueued, timeline.RequestRefused,
			},
		},
		"no server": {
			nil, http.MethodPost, "/once/x", nil,
			[]timeline.Kind{timeline.RequestReceived, timeline.RequestQueued, timeline.RequestRefused},
		},
		"no route": {nil, http.MethodPost, "/none/x", nil, []timeline.Kind{timeline.RequestRefused}},
		"no key": {
			nil, http.MethodPost, "/once/x", []string{testKey, "unknown"}, []timeline.Kind{timeline.RequestRefused},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t, c.servers...)
			s.call(c.method, c.path, "", c.fields...)
			is.Equal(kindsOf(s, "a"), c.want)
			all, _ := s.ring.Snapshot()
			is.Equal(len(invariant.Check(all, invariant.Options{})), 0) // the timeline breaks no invariant
		})
	}
}

// TestAttemptSentDetail pins the key=value pairs that explain the choice of a server.
func TestAttemptSentDetail(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, answerWith(http.StatusOK, "x"))
	s.call(http.MethodPost, "/once/x", "")
	all, _ := s.ring.Snapshot()
	i := slices.IndexFunc(all, func(e timeline.Event) bool { return e.Kind == timeline.AttemptSent })
	is.Equal(all[i].Detail, `home=false cold=false in_flight=0 others=0 unread=0 uncached=0 repeat=false resume_after=""`)
	is.Equal(all[i].Server, "0")
	is.Equal(all[i].Version, uint64(1))
	is.Equal(all[i].Organisation, "org")
}

// TestAnsweredStreamDetail pins the figures that explain why a stream was late.
func TestAnsweredStreamDetail(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var p pauses
	is.Equal(p.describe(start), "")
	for _, millis := range []int{40, 60, 400, 410} {
		p.record(start.Add(time.Duration(millis) * time.Millisecond))
	}
	is.Equal(p.describe(start), "first_event_ms=40 longest_pause_ms=340 pause_ended_ms=400")
}

// TestServerStatementsAreLogged guards against answers that say that their server leaves
// or wants a pause, while the log does not tell so.
func TestServerStatementsAreLogged(t *testing.T) {
	is := is.New(t)
	early := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testLeaving, "1")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del(testLeaving)
		answerWith(http.StatusOK, "x")(w, r)
	}
	s := newTestStack(t, early)
	s.call(http.MethodPost, "/once/x", "pay")
	s.addServer("1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "0.2")
		w.Header().Set(testLeaving, "never")
		overloaded(w, r)
	})
	s.servers[0].Draining = true
	s.balancer.SetServers(s.servers)
	s.call(http.MethodPost, "/once/x", "pay", testAttempt, "b")
	states := map[timeline.Kind]timeline.Event{}
	events, _ := s.ring.Snapshot()
	for _, e := range events {
		states[e.Kind] = e
	}
	is.Equal(states[timeline.ServerLeaving].Server, "0")
	is.Equal(states[timeline.ServerLeaving].Detail, "request=a status=103")
	is.Equal(states[timeline.ServerPaused].Server, "1")
	is.Equal(states[timeline.ServerPaused].Duration, 200*time.Millisecond)
	is.Equal(states[timeline.ServerMalformed].Server, "1")
}
