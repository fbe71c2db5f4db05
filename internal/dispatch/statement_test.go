package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// startHandler starts a backend server with a handler and returns its target.
func startHandler(t *testing.T, h http.HandlerFunc) traffic.Target {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
		h(w, r)
	}))
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	return traffic.Target{Server: address, Address: address}
}

// TestStatementsReported guards against answers whose statements do not reach the choice
// of servers, or only after a long stream has ended.
func TestStatementsReported(t *testing.T) {
	is := is.New(t)
	target := startHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engineapi.LeavingHeader, "1")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	l := &targetList{targets: []traffic.Target{target, engineTargets(startEngine(t, engine.Options{})).targets[0]}}
	out, _ := do(t, newDispatcher(t, Options{}), modelCall(chatBody, l))
	is.Equal(out.Err, nil)
	is.Equal(l.statements[0].Status, http.StatusEarlyHints)
	is.True(l.statements[0].Advisory.Leaving)
	is.Equal(l.statements[1].Advisory.Pause, 2*time.Second)
	is.True(l.failures[0].Paused)
	is.Equal(l.statements[2].Status, http.StatusOK)
}

// TestUnwantedRequestNotSent guards against a request that is sent to a server which has
// stated meanwhile that it wants none.
func TestUnwantedRequestNotSent(t *testing.T) {
	is := is.New(t)
	reached := false
	target := startHandler(t, func(http.ResponseWriter, *http.Request) { reached = true })
	l := &targetList{targets: []traffic.Target{target, plainTargets(startPlain(t)).targets[0]}, unwanted: target.Server}
	out, _ := do(t, newDispatcher(t, Options{}), plainCall(l))
	is.Equal(out.Err, nil) // another server ran it, although it is not idempotent
	is.True(!reached)
	is.Equal(l.failures[0].Code, result.NoBackendServer)
	is.True(!l.failures[0].Sent)
}

// TestInformationalAnswersAreBounded guards against an attempt that never ends because its
// server sends informational answers without end.
func TestInformationalAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	target := startHandler(t, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			w.WriteHeader(http.StatusEarlyHints)
		}
	})
	l := &targetList{targets: []traffic.Target{target, engineTargets(startEngine(t, engine.Options{})).targets[0]}}
	out, _ := do(t, newDispatcher(t, Options{}), modelCall(chatBody, l))
	is.Equal(out.Err, nil)
	is.True(len(l.statements) < 20)
}
