package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const randomRequests = 120

var streamedContentPattern = regexp.MustCompile(`"delta":\{[^}]*"content":"([^"]+)"`)

// joinContents returns the concatenated content of a stream.
func joinContents(stream string) string {
	var b strings.Builder
	for _, m := range streamedContentPattern.FindAllStringSubmatch(stream, -1) {
		b.WriteString(m[1])
	}
	return b.String()
}

// randomFaults returns random faults for one engine.
func randomFaults(random *rand.Rand) fault.Settings {
	s := fault.Settings{Paused: random.IntN(10) == 0, Crossed: random.IntN(8) == 0, Late: random.IntN(8) == 0, Truncated: random.IntN(8) == 0}
	if random.IntN(3) == 0 {
		s.BreakAfter, s.MaxBreaks = 1+random.IntN(20), random.IntN(2)
	}
	if random.IntN(10) == 0 {
		s.Poison = "hi"
	}
	return s
}

// faultHarness runs three engines whose faults change from request to request.
type faultHarness struct {
	t       *testing.T
	random  *rand.Rand
	engines []*engine.Engine
	d       *Dispatcher
	ring    *timeline.Ring // of the engines and of d
	want    string         // content of the complete answer
}

func newFaultHarness(t *testing.T) *faultHarness {
	s := &faultHarness{t: t, random: rand.New(rand.NewPCG(4, 2)), ring: timeline.NewRing("all", 1<<17, nil)}
	for i := range 3 {
		s.engines = append(s.engines, startEngine(t, engine.Options{
			Name: fmt.Sprint(i), Recorder: s.ring, BetweenTokens: 200 * time.Microsecond, IgnoresResume: i == 2,
		}))
	}
	s.d = newDispatcher(t, Options{Suspects: NewTrackerSuspects(quarantine.New(quarantine.Options{})), Recorder: s.ring})
	s.want = joinContents(expectedAnswer(t, streamBody, engine.Options{}))
	return s
}

// injectFaults sets new random faults and at times crashes an engine or
// disturbs its open connections.
func (s *faultHarness) injectFaults() {
	for _, e := range s.engines {
		e.Set(randomFaults(s.random))
		if err := e.Refuse(s.random.IntN(8) == 0); err != nil {
			s.t.Fatal(err)
		}
		switch s.random.IntN(12) {
		case 0:
			e.SilenceConnections()
		case 1:
			e.ResetConnections()
		case 2:
			e.Crash()
		}
	}
}

// sendRandom sends a random request.
func (s *faultHarness) sendRandom(number int) (Call, Outcome, string) {
	l := engineTargets(s.engines...)
	s.random.Shuffle(len(l.targets), func(i, j int) { l.targets[i], l.targets[j] = l.targets[j], l.targets[i] })
	body := streamBody
	if s.random.IntN(3) == 0 {
		body = chatBody
	}
	c := modelCall(body, l)
	c.Request.Idempotent = s.random.IntN(3) > 0
	c.Request.Fingerprint = uint64(number)
	c.Timeouts = Timeouts{Headers: 40 * time.Millisecond, FirstToken: 40 * time.Millisecond, BetweenTokens: 40 * time.Millisecond}
	if s.random.IntN(3) == 0 {
		c.Request.Class.HedgeAfter = config.Duration(5 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer cancel()
	w := httptest.NewRecorder()
	return c, s.d.Do(ctx, c, w), w.Body.String()
}

// Under any mix of faults, the caller receives a complete answer or an explicit
// error. The delivered content is a prefix of the complete answer and is what
// is billed. A result marked "not run" reached no engine.
func TestRandomFaults(t *testing.T) {
	s := newFaultHarness(t)
	answered := 0
	var done []finishedRequest
	for number := range randomRequests {
		s.injectFaults()
		first := len(s.attempts())
		c, out, written := s.sendRandom(number)
		f := finishedRequest{c.Request, out, s.attempts()[first:]}
		done = append(done, f)
		if fault := s.check(c, f, written); fault != "" {
			t.Fatalf("request %d (stream %v, idempotent %v, attempts %d, error %v): %s\n%s",
				number, c.Request.Stream, c.Request.Idempotent, out.Attempts, out.Err, fault, written)
		}
		if out.Err == nil {
			answered++
		}
	}
	if answered < randomRequests/3 {
		t.Fatalf("only %d of %d requests were answered", answered, randomRequests)
	}
	for number, f := range done {
		if fault := s.checkReceipts(f); fault != "" {
			t.Errorf("request %d, after the last request: %s", number, fault)
		}
	}
}

// finishedRequest is a request with its outcome and the ids of its attempts.
type finishedRequest struct {
	request  *traffic.Request
	outcome  Outcome
	attempts []string
}

// attempts returns the ids of all attempts of all requests until now, in order.
func (s *faultHarness) attempts() (ids []string) {
	events, _ := s.ring.Snapshot()
	for _, e := range events {
		if e.Kind == timeline.AttemptStarted {
			ids = append(ids, e.Attempt)
		}
	}
	return ids
}

// receipts returns how often engines have received one of the attempts.
func (s *faultHarness) receipts(attempts []string) (n int) {
	events, _ := s.ring.Snapshot()
	for _, e := range events {
		if e.Kind == timeline.BackendReceived && slices.Contains(attempts, e.Attempt) {
			n++
		}
	}
	return n
}

// An engine may receive an attempt after its request has ended, for example a hedge
// that was cancelled, so each request counts its own attempts only.
func (s *faultHarness) checkReceipts(f finishedRequest) (fault string) {
	received := s.receipts(f.attempts)
	switch {
	case f.outcome.Err != nil && f.outcome.Err.NotRun() && received > 0:
		return fmt.Sprintf("reported as not run, but engines received it %d times", received)
	case !f.request.Idempotent && received > 1:
		return fmt.Sprintf("non-idempotent request received %d times", received)
	case f.outcome.Err == nil && received == 0:
		return "answered, but no engine received it"
	}
	return ""
}

func (s *faultHarness) check(c Call, f finishedRequest, written string) (fault string) {
	l := c.Targets.(*targetList)
	out := f.outcome
	text := joinContents(written)
	if fault := s.checkReceipts(f); fault != "" {
		return fault
	}
	switch {
	case len(l.observed) != l.handedOut:
		return fmt.Sprintf("%d of %d targets observed", len(l.observed), l.handedOut)
	case out.Err != nil && out.Err.NotRun() && written != "":
		return "reported as not run, but an answer was written"
	case out.Err == nil && c.Request.Stream && (text != s.want || !strings.HasSuffix(written, "[DONE]\n\n")):
		return fmt.Sprintf("answer is not complete, want %q", s.want)
	case out.Err == nil && !c.Request.Stream && !strings.Contains(written, s.want):
		return fmt.Sprintf("answer is not complete, want %q", s.want)
	case out.Err != nil && out.AnswerStarted && !strings.Contains(written, `"error"`):
		return "answer ended without an error event"
	case !strings.HasPrefix(s.want, text):
		return fmt.Sprintf("content is not a prefix of %q", s.want)
	}
	if tokens := int64(strings.Count(text, " ")); c.Request.Stream && out.Usage.OutputTokens != tokens {
		return fmt.Sprintf("billed %d tokens, delivered %d", out.Usage.OutputTokens, tokens)
	}
	return ""
}
