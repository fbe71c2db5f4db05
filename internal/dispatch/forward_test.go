package dispatch

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// A request whose connection was refused must be reported as not run.
func TestRefusedConnectionNotRun(t *testing.T) {
	is := is.New(t)
	s := startPlain(t)
	is.NoErr(s.Refuse(true))
	out, _ := do(t, newDispatcher(t, Options{}), plainCall(plainTargets(s)))
	is.True(out.Err.NotRun())
	is.Equal(out.Err.Code, result.ConnectFailed)
	is.Equal(s.TotalRuns(), 0)
}

// A non-idempotent request of which nothing was sent may go to another server.
// It must keep the attempt id that its idempotency record stores.
func TestUnsentRequestKeepsAttemptID(t *testing.T) {
	is := is.New(t)
	ring := timeline.NewRing("d", 0, nil)
	down, up := startPlain(t), startPlain(t)
	is.NoErr(down.Refuse(true))
	l := plainTargets(down)
	l.targets = append(l.targets, plainTargets(up).targets...)
	out, _ := do(t, newDispatcher(t, Options{Recorder: ring}), plainCall(l))
	is.True(out.Err == nil)
	is.Equal(out.Attempt, "attempt-1")
	is.Equal(up.Runs("record"), 1)
	is.Equal(countEvents(ring, timeline.AttemptStarted), 2)
	is.Equal(countEvents(ring, timeline.AttemptSent), 1)
}

// After a non-idempotent request was sent and its answer lost, its outcome is
// unknown. It must not be sent again and must not be reported as not run.
func TestNonIdempotentAnswerLost(t *testing.T) {
	for name, settings := range map[string]fault.Settings{
		"crash":   {Poison: "{}"},
		"silence": {Paused: true},
		"crossed": {Crossed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startPlain(t)
			s.Set(settings)
			l := plainTargets(s)
			c := plainCall(l)
			c.Timeouts.Headers = 50 * time.Millisecond
			out, w := do(t, newDispatcher(t, Options{}), c)
			is.Equal(out.Err.Code, result.OutcomeUnknown)
			is.True(!out.Err.NotRun())
			is.Equal(l.handedOut, 1) // no second attempt
			is.True(s.TotalRuns() <= 1)
			is.Equal(w.Body.Len(), 0) // nothing of a wrong answer is relayed
		})
	}
}

// An answer that carries the id of another attempt must not reach the caller;
// the request is tried on another server.
func TestCrossedAnswerDiscarded(t *testing.T) {
	is := is.New(t)
	ring := timeline.NewRing("d", 0, nil)
	crossed, healthy := startEngine(t, engine.Options{}), startEngine(t, engine.Options{})
	crossed.Set(fault.Settings{Crossed: true})
	l := engineTargets(crossed, healthy)
	out, _ := do(t, newDispatcher(t, Options{Recorder: ring}), modelCall(chatBody, l))
	is.True(out.Err == nil)
	is.Equal(out.Server, healthy.Address())
	is.Equal(countEvents(ring, timeline.AttemptDiscarded), 1)
	is.Equal(l.failures[0].Code, result.AnswerCrossed)
}

// An answer that breaks off must not reach the caller; the request is tried on
// another server.
func TestTruncatedAnswerRetried(t *testing.T) {
	is := is.New(t)
	broken, healthy := startEngine(t, engine.Options{}), startEngine(t, engine.Options{})
	broken.Set(fault.Settings{BreakAfter: 1})
	out, w := do(t, newDispatcher(t, Options{}), modelCall(chatBody, engineTargets(broken, healthy)))
	is.True(out.Err == nil)
	is.True(json.Valid(w.Body.Bytes()))
	is.True(out.Usage.OutputTokens > 0)
}

// Nothing may be sent once the gate is sealed or Call.SendBefore has passed.
func TestSendNotPermitted(t *testing.T) {
	is := is.New(t)
	s := startPlain(t)
	sealed := plainCall(plainTargets(s))
	_, ok := sealed.Request.Gate.Seal()
	is.True(ok)
	late := plainCall(plainTargets(s))
	late.SendBefore = time.Now().Add(-time.Second)
	for _, c := range []Call{sealed, late} {
		out, _ := do(t, newDispatcher(t, Options{}), c)
		is.True(out.Err.NotRun())
		is.Equal(s.TotalRuns(), 0)
	}
}

// If a request is refused before its first byte is sent, the refusal is its
// result, even if its context has not been cancelled yet.
func TestRefusalBeforeSend(t *testing.T) {
	is := is.New(t)
	s := startPlain(t)
	c := plainCall(plainTargets(s))
	c.Request.Gate.Refuse(result.KeyWithdrawn, "the key was withdrawn while the request waited")
	out, _ := do(t, newDispatcher(t, Options{}), c) // the context is not cancelled yet
	is.True(out.Err.NotRun())
	is.Equal(out.Err.Code, result.KeyWithdrawn)
	is.Equal(s.TotalRuns(), 0)
}

// A backend server must not receive the caller's keys, hop-by-hop fields or
// router fields set by the caller. Unknown fields must reach it.
func TestForwardedRequestFields(t *testing.T) {
	is := is.New(t)
	var header http.Header
	var query, body string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header, query = r.Header.Clone(), r.URL.RawQuery
		read, _ := io.ReadAll(r.Body)
		body = string(read)
		w.Header().Set(engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
	}))
	defer s.Close()
	c := modelCall(streamBody, &targetList{targets: []traffic.Target{{Server: "s", Address: s.Listener.Addr().String()}}})
	c.RawQuery = "api_key=secret&page=2"
	c.Header = http.Header{
		"Authorization": {"Bearer secret"}, "X-Api-Key": {"secret"}, "Cookie": {"a=1; api_key=secret"},
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Vendor": {"kept"}, engineapi.PriorityHeader: {"1"}, engineapi.ResumeHeader: {"5"},
	}
	_, _ = do(t, newDispatcher(t, Options{}), c)
	for name, values := range header {
		is.True(!strings.Contains(strings.Join(values, ","), "secret")) // no header contains the key
		is.True(name != "X-Hop")
	}
	is.Equal(query, "page=2")
	is.Equal(header.Get("Cookie"), "a=1")
	is.Equal(header.Get("X-Vendor"), "kept")
	is.Equal(header.Get(engineapi.PriorityHeader), "2") // from the class, not from the caller
	is.Equal(header.Get(engineapi.ResumeHeader), "")
	is.True(strings.Contains(body, `"vendor_field":{"a":1}`))
	is.True(strings.Contains(body, `"include_usage":true`))
}
