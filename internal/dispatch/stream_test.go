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

var created = regexp.MustCompile(`"created":\d+`)

// same compares answers but for their time of creation and field order.
func same(a, b string) bool { return normal(a) == normal(b) }

var contentField = regexp.MustCompile(`"content":"([^"]*)"`)

func normal(s string) string {
	var texts []string
	for _, m := range contentField.FindAllStringSubmatch(s, -1) {
		texts = append(texts, m[1])
	}
	ids := make(map[string]bool)
	for _, m := range regexp.MustCompile(`"id":"([^"]*)"`).FindAllStringSubmatch(s, -1) {
		ids[m[1]] = true
	}
	finishes := strings.Count(s, `"finish_reason":"stop"`)
	roles := strings.Count(s, `"role"`)
	tail := s[max(0, len(s)-len("data: [DONE]\n\n")):]
	return strings.Join(texts, "|") + created.ReplaceAllString(tail, "") +
		strings.Repeat("f", finishes) + strings.Repeat("r", roles) + strings.Repeat("i", len(ids))
}

func TestWholeStreamHidesUsageAndBillsIt(t *testing.T) {
	is := is.New(t)
	l := engineTargets(startEngine(t, engine.Options{}))
	out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, l))
	is.True(out.Err == nil)
	is.True(!strings.Contains(w.Body.String(), `"usage"`))
	is.True(strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
	is.True(out.Usage.OutputTokens > 0 && !out.Usage.Estimated)
	is.Equal(out.Usage.OutputTokens, l.observed[0].OutputTokens)
	is.True(l.observed[0].Whole)
	asked := strings.Replace(streamBody, "}}", `},"stream_options":{"include_usage":true}}`, 1)
	_, w = do(t, newDispatcher(t, Options{}), modelCall(asked, l))
	is.Equal(strings.Count(w.Body.String(), `"usage"`), 1)
}

// A stream is cut after each possible number of events; the caller must get
// every event once, by resumption and by replay.
func TestCutStreamContinuesElsewhere(t *testing.T) {
	want := whole(t, streamBody, engine.Options{})
	for _, ignores := range []bool{false, true} {
		for after := 1; after <= 5; after++ {
			is := is.New(t)
			broken, sound := startEngine(t, engine.Options{}), startEngine(t, engine.Options{IgnoresResume: ignores})
			broken.Set(fault.Settings{BreakAfter: after})
			l := engineTargets(broken, sound)
			out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, l))
			is.True(out.Err == nil)
			is.True(same(w.Body.String(), want)) // no event missing or repeated
			is.Equal(out.Attempts, 2)
			is.Equal(len(l.observed), l.handed)
			is.True(!l.failures[0].Crashed) // the engine lives, its connection died
			is.Equal(l.wasted() > 0, ignores)
			is.Equal(out.Usage.OutputTokens, int64(strings.Count(want, `"content"`)))
		}
	}
}

// An engine may name the stream anew on a replay; the caller sees one name.
func TestReplayKeepsTheStreamsIdentity(t *testing.T) {
	is := is.New(t)
	want := whole(t, streamBody, engine.Options{})
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
	is.True(same(w.Body.String(), want))
	is.True(!strings.Contains(w.Body.String(), "chatcmpl-other"))
}

func TestStreamWithoutTerminalEventIsBroken(t *testing.T) {
	is := is.New(t)
	truncated, sound := startEngine(t, engine.Options{}), startEngine(t, engine.Options{})
	truncated.Set(fault.Settings{Truncated: true})
	want := whole(t, streamBody, engine.Options{})
	out, w := do(t, newDispatcher(t, Options{}), modelCall(streamBody, engineTargets(truncated, sound)))
	is.True(out.Err == nil)
	is.Equal(out.Attempts, 2)
	is.True(same(w.Body.String(), want))
	out, w = do(t, newDispatcher(t, Options{}), modelCall(streamBody, engineTargets(truncated)))
	is.Equal(out.Err.Code, result.StreamBroken)
	is.True(strings.Contains(w.Body.String(), `"type":"stream_broken"`)) // explicit, not a silent cut
	is.True(!strings.Contains(w.Body.String(), "[DONE]"))
}

// other answers the replay with a different text.
func TestDifferingReplayEndsWithErrorEvent(t *testing.T) {
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

func TestNonIdempotentStreamIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	ring := timeline.NewRing("e", 0, nil)
	broken := startEngine(t, engine.Options{Recorder: ring})
	broken.Set(fault.Settings{BreakAfter: 2})
	c := modelCall(streamBody, engineTargets(broken))
	c.Request.Idempotent = false
	out, w := do(t, newDispatcher(t, Options{}), c)
	is.Equal(out.Err.Code, result.OutcomeUnknown)
	is.True(!out.Err.NotRun())
	is.Equal(kinds(ring, timeline.BackendRan), 1)
	is.True(strings.Contains(w.Body.String(), `"type":"outcome_unknown"`))
}

func TestSilentStreamIsLeftWithinItsPhase(t *testing.T) {
	is := is.New(t)
	silent, sound := startEngine(t, engine.Options{BetweenTokens: time.Hour}), startEngine(t, engine.Options{})
	c := modelCall(streamBody, engineTargets(silent, sound))
	c.Timeouts = Timeouts{BetweenTokens: 30 * time.Millisecond}
	out, w := do(t, newDispatcher(t, Options{}), c)
	is.True(out.Err == nil)
	is.True(same(w.Body.String(), whole(t, streamBody, engine.Options{})))
	is.Equal(c.Targets.(*list).failures[0].Code, result.AttemptTimeout)
}

func TestCallerGoneCancelsEngine(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{BetweenTokens: time.Hour})
	l := engineTargets(e)
	ctx, cancel := context.WithCancel(t.Context())
	w := &cancelOnFlush{ResponseRecorder: httptest.NewRecorder(), cancel: cancel}
	out := newDispatcher(t, Options{}).Do(ctx, modelCall(streamBody, l), w)
	is.Equal(out.Err.Code, result.CallerGone)
	is.Equal(out.Usage.OutputTokens, int64(1)) // what the caller got is billed
	eventually(t, func() bool { return e.InFlight() == 0 })
	is.Equal(len(l.observed), 1)
	is.Equal(len(l.failures), 0) // no retry for a caller that is gone
}

// cancelOnFlush ends the caller's context with the first content event.
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

// A deadline that passes while tokens flow is no fault of the server's.
func TestPassedDeadlineDoesNotBlameTheServer(t *testing.T) {
	is := is.New(t)
	l := engineTargets(startEngine(t, engine.Options{BetweenTokens: 5 * time.Millisecond, AnswerTokens: 1 << 20}))
	c := modelCall(streamBody, l)
	c.Request.Deadline = time.Now().Add(100 * time.Millisecond)
	out, w := do(t, newDispatcher(t, Options{}), c)
	is.Equal(out.Err.Code, result.AttemptTimeout)
	is.True(!out.Err.NotRun())
	is.True(strings.Contains(w.Body.String(), "deadline passed"))
	is.Equal(l.observed[0].Failure.Code, result.DeadlineHopeless)
	is.Equal(len(l.failures), 0) // and no other server is tried
}

func TestWithdrawnKeyEndsStream(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{BetweenTokens: time.Hour})
	ctx, cancel := context.WithCancelCause(t.Context())
	w := &cancelOnFlush{ResponseRecorder: httptest.NewRecorder(), cancel: func() {
		cancel(result.MayHaveRun(result.KeyWithdrawn, "withdrawn"))
	}}
	out := newDispatcher(t, Options{}).Do(ctx, modelCall(streamBody, engineTargets(e)), w)
	is.Equal(out.Err.Code, result.StreamKeyLapsed)
	is.True(strings.Contains(w.Body.String(), `"type":"stream_key_withdrawn"`))
}

func TestPreemptedStreamContinuesElsewhere(t *testing.T) {
	is := is.New(t)
	slow, sound := startEngine(t, engine.Options{BetweenTokens: time.Hour}), startEngine(t, engine.Options{})
	l := engineTargets(slow, sound)
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
	is.True(same(w.Body.String(), whole(t, streamBody, engine.Options{})))
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
