package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"regexp"
	"runtime"
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

var createdField = regexp.MustCompile(`"created":\d+`)

// sameAnswer compares two answers and ignores creation times and field order.
func sameAnswer(a, b string) bool { return normalizeAnswer(a) == normalizeAnswer(b) }

var contentFieldPattern = regexp.MustCompile(`"content":"([^"]*)"`)

func normalizeAnswer(s string) string {
	var texts []string
	for _, m := range contentFieldPattern.FindAllStringSubmatch(s, -1) {
		texts = append(texts, m[1])
	}
	ids := make(map[string]bool)
	for _, m := range regexp.MustCompile(`"id":"([^"]*)"`).FindAllStringSubmatch(s, -1) {
		ids[m[1]] = true
	}
	finishes := strings.Count(s, `"finish_reason":"stop"`)
	roles := strings.Count(s, `"role"`)
	tail := s[max(0, len(s)-len("data: [DONE]\n\n")):]
	return strings.Join(texts, "|") + createdField.ReplaceAllString(tail, "") +
		strings.Repeat("f", finishes) + strings.Repeat("r", roles) + strings.Repeat("i", len(ids))
}

// The router always requests the usage event for billing, but relays it only to
// callers that requested it.
func TestStreamUsage(t *testing.T) {
	is := is.New(t)
	l := engineTargets(startEngine(t, engine.Options{}))
	out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, l))
	is.True(out.Err == nil)
	is.True(!strings.Contains(w.Body.String(), `"usage"`))
	is.True(strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
	is.True(out.Usage.OutputTokens > 0 && !out.Usage.Estimated)
	is.Equal(out.Usage.OutputTokens, l.observed[0].OutputTokens)
	is.True(l.observed[0].Complete)
	requested := strings.Replace(streamBody, "}}", `},"stream_options":{"include_usage":true}}`, 1)
	_, w = do(t, newDispatcher(t, Options{}), modelCall(requested, l))
	is.Equal(strings.Count(w.Body.String(), `"usage"`), 1)
}

// A stream breaks after each possible number of events. The caller must receive
// every event exactly once, whether the second engine resumes the stream or
// replays it from the start.
func TestBrokenStreamResumed(t *testing.T) {
	want := expectedAnswer(t, streamBody, engine.Options{})
	for _, ignores := range []bool{false, true} {
		for after := 1; after <= 5; after++ {
			is := is.New(t)
			broken, healthy := startEngine(t, engine.Options{}), startEngine(t, engine.Options{IgnoresResume: ignores})
			broken.Set(fault.Settings{BreakAfter: after})
			l := engineTargets(broken, healthy)
			out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, l))
			is.True(out.Err == nil)
			is.True(sameAnswer(w.Body.String(), want)) // no event missing or repeated
			is.Equal(out.Attempts, 2)
			is.Equal(len(l.observed), l.handedOut)
			is.True(!l.failures[0].Crashed) // the connection broke, the engine did not crash
			is.Equal(l.wasted() > 0, ignores)
			is.Equal(out.Usage.OutputTokens, int64(strings.Count(want, `"content"`)))
		}
	}
}

// An engine may replay a stream under a new id. The caller must see a single
// id.
func TestReplayKeepsStreamIdentity(t *testing.T) {
	is := is.New(t)
	want := expectedAnswer(t, streamBody, engine.Options{})
	broken := startEngine(t, engine.Options{})
	broken.Set(fault.Settings{BreakAfter: 3})
	renamed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(strings.ReplaceAll(want, "chatcmpl-r1", "chatcmpl-other")))
	}))
	defer renamed.Close()
	l := engineTargets(broken)
	l.targets = append(l.targets, traffic.Target{Server: "renamed", Address: renamed.Listener.Addr().String()})
	out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, l))
	is.True(out.Err == nil)
	is.True(sameAnswer(w.Body.String(), want))
	is.True(!strings.Contains(w.Body.String(), "chatcmpl-other"))
}

// A stream that ends without its terminal event is broken: it continues on
// another server, or ends with an error event.
func TestMissingTerminalEvent(t *testing.T) {
	is := is.New(t)
	truncated, healthy := startEngine(t, engine.Options{}), startEngine(t, engine.Options{})
	truncated.Set(fault.Settings{Truncated: true})
	want := expectedAnswer(t, streamBody, engine.Options{})
	out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, engineTargets(truncated, healthy)))
	is.True(out.Err == nil)
	is.Equal(out.Attempts, 2)
	is.True(sameAnswer(w.Body.String(), want))
	out, w = do(t, newDispatcher(t, Options{}), modelCall(streamBody, engineTargets(truncated)))
	is.Equal(out.Err.Code, result.StreamBroken)
	is.True(strings.Contains(w.Body.String(), `"type":"stream_broken"`)) // an explicit error event, not a truncated stream
	is.True(!strings.Contains(w.Body.String(), "[DONE]"))
}

// A replay whose content differs from what the caller already received must end
// the stream with an error event.
func TestReplayMismatch(t *testing.T) {
	is := is.New(t)
	broken := startEngine(t, engine.Options{})
	broken.Set(fault.Settings{BreakAfter: 3})
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
		w.Header().Set("Content-Type", "text/event-stream")
		for range 20 {
			_, _ = w.Write([]byte(`data: {"choices":[{"index":0,"delta":{"content":"other"}}]}` + "\n\n"))
		}
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}))
	defer other.Close()
	l := engineTargets(broken)
	l.targets = append(l.targets, traffic.Target{Server: "other", Address: other.Listener.Addr().String()})
	out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, l))
	is.Equal(out.Err.Code, result.StreamBroken)
	is.True(!strings.Contains(w.Body.String(), "other"))
	is.True(strings.Contains(w.Body.String(), `"code":4005`))
	is.Equal(out.Usage, Usage{InputTokens: 3, OutputTokens: 3, Estimated: true})
}

// A non-idempotent stream that breaks must not be sent again.
func TestNonIdempotentStreamNotRetried(t *testing.T) {
	is := is.New(t)
	ring := timeline.NewRing("e", 0, nil)
	broken := startEngine(t, engine.Options{Recorder: ring})
	broken.Set(fault.Settings{BreakAfter: 2})
	c := modelCall(streamBody, engineTargets(broken))
	c.Request.Idempotent = false
	out, w := do(t, newDispatcher(t, Options{}), c)
	is.Equal(out.Err.Code, result.OutcomeUnknown)
	is.True(!out.Err.NotRun())
	is.Equal(countEvents(ring, timeline.BackendRan), 1)
	is.True(strings.Contains(w.Body.String(), `"type":"outcome_unknown"`))
}

// A stream that makes no progress must be abandoned after the timeout of its
// phase and continue on another server.
func TestSilentStreamTimeout(t *testing.T) {
	is := is.New(t)
	silent, healthy := startEngine(t, engine.Options{BetweenTokens: time.Hour}), startEngine(t, engine.Options{})
	c := modelCall(streamBody, engineTargets(silent, healthy))
	c.Timeouts = Timeouts{BetweenTokens: 30 * time.Millisecond}
	out, w := do(t, newDispatcher(t, Options{}), c)
	is.True(out.Err == nil)
	is.True(sameAnswer(w.Body.String(), expectedAnswer(t, streamBody, engine.Options{})))
	is.Equal(c.Targets.(*targetList).failures[0].Code, result.AttemptTimeout)
}

// When the caller disconnects, the engine's work is cancelled, the delivered
// tokens are billed and no retry is made.
func TestCallerDisconnectCancelsEngine(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{BetweenTokens: time.Hour})
	l := engineTargets(e)
	ctx, cancel := context.WithCancel(t.Context())
	w := &cancelOnFlush{ResponseRecorder: httptest.NewRecorder(), cancel: cancel}
	out := newDispatcher(t, Options{}).Do(ctx, modelCall(streamBody, l), w)
	is.Equal(out.Err.Code, result.CallerGone)
	is.Equal(out.Usage.OutputTokens, int64(1)) // the delivered token is billed
	eventually(t, func() bool { return e.InFlight() == 0 })
	is.Equal(len(l.observed), 1)
	is.Equal(len(l.failures), 0) // no retry for a disconnected caller
}

// cancelOnFlush calls cancel on each flush once a content event was written.
type cancelOnFlush struct {
	*httptest.ResponseRecorder
	cancel context.CancelFunc
}

func (c *cancelOnFlush) Flush() {
	c.ResponseRecorder.Flush()
	if strings.Contains(c.Body.String(), `"content"`) {
		c.cancel()
	}
}

// A deadline that passes while tokens are streaming must not be counted as a
// failure of the server.
func TestDeadlineDuringStream(t *testing.T) {
	is := is.New(t)
	l := engineTargets(startEngine(t, engine.Options{BetweenTokens: 5 * time.Millisecond, AnswerTokens: 1 << 20}))
	c := modelCall(streamBody, l)
	c.Request.Deadline = time.Now().Add(100 * time.Millisecond)
	out, w := do(t, newDispatcher(t, Options{}), c)
	is.Equal(out.Err.Code, result.AttemptTimeout)
	is.True(!out.Err.NotRun())
	is.True(strings.Contains(w.Body.String(), "deadline passed"))
	is.Equal(l.observed[0].Failure.Code, result.DeadlineHopeless)
	is.Equal(len(l.failures), 0) // no other server is tried
}

// Withdrawing the key during a stream must end the stream with an error event.
func TestKeyWithdrawnDuringStream(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{BetweenTokens: time.Hour})
	ctx, cancel := context.WithCancelCause(t.Context())
	w := &cancelOnFlush{ResponseRecorder: httptest.NewRecorder(), cancel: func() {
		cancel(result.MayHaveRun(result.KeyWithdrawn, "withdrawn"))
	}}
	out := newDispatcher(t, Options{}).Do(ctx, modelCall(streamBody, engineTargets(e)), w)
	is.Equal(out.Err.Code, result.StreamKeyWithdrawn)
	is.True(strings.Contains(w.Body.String(), `"type":"stream_key_withdrawn"`))
}

// A stream whose slot is preempted by a higher tier must continue on another
// server.
func TestPreemptedStreamResumed(t *testing.T) {
	is := is.New(t)
	slow, healthy := startEngine(t, engine.Options{BetweenTokens: time.Hour}), startEngine(t, engine.Options{})
	l := engineTargets(slow, healthy)
	l.preempted = make(chan struct{})
	w := &cancelOnFlush{ResponseRecorder: httptest.NewRecorder(), cancel: func() {
		if l.preempted != nil && slow.InFlight() > 0 {
			select {
			case <-l.preempted:
			default:
				close(l.preempted)
			}
		}
	}}
	out := newDispatcher(t, Options{}).Do(t.Context(), modelCall(streamBody, l), w)
	is.True(out.Err == nil)
	is.Equal(l.failures[0].Code, result.Preempted)
	is.True(sameAnswer(w.Body.String(), expectedAnswer(t, streamBody, engine.Options{})))
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met")
		}
		runtime.Gosched()
	}
}
