package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const randomRequests = 120

var streamedContent = regexp.MustCompile(`"delta":\{[^}]*"content":"([^"]+)"`)

// contents joins the tokens that a stream gave.
func contents(stream string) string {
	var b strings.Builder
	for _, m := range streamedContent.FindAllStringSubmatch(stream, -1) {
		b.WriteString(m[1])
	}
	return b.String()
}

// randomFaults draws the faults of one engine.
func randomFaults(random *rand.Rand) fault.Settings {
	s := fault.Settings{Paused: random.IntN(10) == 0, Crossed: random.IntN(8) == 0, Late: random.IntN(8) == 0, Truncated: random.IntN(8) == 0}
	if random.IntN(3) == 0 {
		s.BreakAfter, s.Breaks = 1+random.IntN(20), random.IntN(2)
	}
	if random.IntN(10) == 0 {
		s.Poison = "hi"
	}
	return s
}

// scene is three engines with faults that change from request to request.
type scene struct {
	t       *testing.T
	random  *rand.Rand
	engines []*engine.Engine
	d       *Dispatcher
	ring    *timeline.Ring
	want    string // text of the whole answer
}

func newScene(t *testing.T) *scene {
	s := &scene{t: t, random: rand.New(rand.NewPCG(4, 2)), ring: timeline.NewRing("engines", 1<<17, nil)}
	for i := range 3 {
		s.engines = append(s.engines, startEngine(t, engine.Options{
			Name: fmt.Sprint(i), Recorder: s.ring, BetweenTokens: 200 * time.Microsecond, IgnoresResume: i == 2,
		}))
	}
	s.d = newDispatcher(t, Options{Suspects: Quarantine(quarantine.New(quarantine.Options{}))})
	s.want = contents(whole(t, streamBody, engine.Options{}))
	return s
}

// disturb changes the faults and sometimes acts on open connections.
func (s *scene) disturb() {
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

// request draws a request and sends it.
func (s *scene) request(number int) (Call, Outcome, string) {
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

// Under any mix of faults an answer is whole, or the caller is told; what it
// has is a prefix of the whole answer; it is billed for that; "not run" is true.
func TestRandomFaults(t *testing.T) {
	s := newScene(t)
	whole := 0
	for number := range randomRequests {
		s.disturb()
		before := kinds(s.ring, timeline.BackendReceived)
		c, out, given := s.request(number)
		received := kinds(s.ring, timeline.BackendReceived) - before
		if fault := s.check(c, out, given, received); fault != "" {
			t.Fatalf("request %d (stream %v, idempotent %v, attempts %d, error %v): %s\n%s",
				number, c.Request.Stream, c.Request.Idempotent, out.Attempts, out.Err, fault, given)
		}
		if out.Err == nil {
			whole++
		}
	}
	if whole < randomRequests/3 {
		t.Fatalf("only %d of %d requests were answered", whole, randomRequests)
	}
}

func (s *scene) check(c Call, out Outcome, given string, received int) (fault string) {
	l := c.Targets.(*list)
	text := contents(given)
	switch {
	case len(l.observed) != l.handed:
		return fmt.Sprintf("%d targets observed of %d", len(l.observed), l.handed)
	case out.Err != nil && out.Err.NotRun() && (received > 0 || given != ""):
		return fmt.Sprintf("not run, but received %d times", received)
	case !c.Request.Idempotent && received > 1:
		return fmt.Sprintf("received %d times", received)
	case out.Err == nil && c.Request.Stream && (text != s.want || !strings.HasSuffix(given, "[DONE]\n\n")):
		return fmt.Sprintf("not the whole answer %q", s.want)
	case out.Err == nil && !c.Request.Stream && !strings.Contains(given, s.want):
		return fmt.Sprintf("not the whole answer %q", s.want)
	case out.Err != nil && out.Started && !strings.Contains(given, `"error"`):
		return "silent end"
	case !strings.HasPrefix(s.want, text):
		return fmt.Sprintf("no prefix of %q", s.want)
	}
	if tokens := int64(strings.Count(text, " ")); c.Request.Stream && out.Usage.OutputTokens != tokens {
		return fmt.Sprintf("billed %d tokens of %d", out.Usage.OutputTokens, tokens)
	}
	return ""
}
