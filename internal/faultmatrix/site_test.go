package faultmatrix

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/demo"
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/invariant"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	probeOrganisation = "alcacer-haulage"
	otherOrganisation = "setubal-depot"
	probeModel        = "label-2b"
	poison            = "poisoned prompt"
	answerTokens      = 12
	sitePause         = 1500 * time.Millisecond
	siteOutage        = 1500 * time.Millisecond
	waitInQueue       = 200 * time.Millisecond
	strikeTimeout     = 10 * time.Second
	callTimeout       = 20 * time.Second
)

// site is a whole demo: two instances before stand-ins, with one armed fault
// that strikes when the probe's request comes to a step.
type site struct {
	t     *testing.T
	demo  *demo.Demo
	cell  Cell
	wait  sync.WaitGroup
	probe probe

	strikes chan struct{} // closed at the first strike
	queued  chan struct{} // closed when a request of another caller waits

	mu       sync.Mutex
	armed    bool
	struck   bool
	crowded  bool
	crashAt  int              // content event at which a crash-causing request strikes next
	attempts map[string]bool  // of the probe
	record   string           // of the probe; empty if it is idempotent
	server   string           // that runs the probe
	dead     []timeline.Event // of an instance that crashed, up to then
}

// probe is the request that the fault strikes.
type probe struct {
	method, path, body, idempotencyKey string
}

func newSite(t *testing.T, c Cell, p probe) *site {
	t.Helper()
	d, err := demo.Start(context.Background(), demo.Options{Out: io.Discard, AnswerTokens: answerTokens})
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, demo: d, cell: c, probe: p, attempts: make(map[string]bool),
		strikes: make(chan struct{}), queued: make(chan struct{})}
	d.Timeline(0).Tap(s.seen)
	d.Backends.Timeline.Tap(s.seen)
	return s
}

// kindsOfSteps are the events that show that the probe came to a step.
var kindsOfSteps = map[Step]timeline.Kind{
	Key: timeline.KeyAccepted, Class: timeline.RequestReceived,
	Admission: timeline.RequestQueued, Queue: timeline.RequestQueued, Routing: timeline.RequestAdmitted,
	LedgerInsert: timeline.RequestAdmitted, Connect: timeline.AttemptStarted, Send: timeline.AttemptSent,
	FirstByte: timeline.BackendReceived, LedgerComplete: timeline.BackendRan, UsageAdd: timeline.UsageMetered,
}

// kind is the event at which the faults strike. A crash or pause in the insert
// of an idempotency record comes right after its effect.
func (s *site) kind() timeline.Kind {
	if s.cell.Step == LedgerInsert && (s.has(InstanceCrash) || s.has(InstancePause)) {
		return timeline.RecordInserted
	}
	return kindsOfSteps[s.cell.Step]
}

func (s *site) atLedger() bool { return slices.Contains(ledgerSteps, s.cell.Step) }

// seen injects the faults when the probe's events show the step.
func (s *site) seen(e timeline.Event) {
	s.mu.Lock()
	if e.Organisation == probeOrganisation && e.Attempt != "" {
		s.attempts[e.Attempt] = true
		s.server = e.Server
	}
	if e.Organisation == probeOrganisation && e.Record != "" {
		s.record = e.Record
	}
	mine := e.Organisation == probeOrganisation || s.attempts[e.Attempt] || (e.Record != "" && e.Record == s.record)
	hit := s.armed && mine && e.Kind == s.kind()
	if hit {
		s.armed = false
	}
	if e.Kind == timeline.RequestQueued && !mine && !s.crowded {
		s.crowded = true
		close(s.queued)
	}
	s.mu.Unlock()
	switch {
	case hit && s.cell.Step == Queue:
		s.wait.Go(func() {
			time.Sleep(waitInQueue)
			s.strike()
		})
	case hit:
		s.strike()
	}
}

func (s *site) strike() {
	s.mu.Lock()
	if !s.struck {
		s.struck = true
		defer close(s.strikes)
	}
	s.mu.Unlock()
	for _, f := range []Fault{s.cell.Fault, s.cell.With} {
		if f != "" {
			s.inject(f)
		}
	}
}

// switches returns the fault switches of the server that runs the probe.
func (s *site) switches() *fault.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.plain(); p != nil {
		return p.Server
	}
	return s.engine().Server
}

// plain returns the plain service that runs the probe, nil when none does. The
// router names it by its service and address.
func (s *site) plain() *plain.Service {
	for _, p := range s.demo.Backends.Plain {
		if strings.HasSuffix(s.server, "/"+p.Address()) {
			return p
		}
	}
	return nil
}

// crashServer crashes the server that runs the probe.
func (s *site) crashServer() {
	s.mu.Lock()
	p, e := s.plain(), s.engine()
	s.mu.Unlock()
	if p != nil {
		p.Crash()
		return
	}
	e.Crash()
}

// engine returns the engine that runs the probe, any of its model before that.
func (s *site) engine() *engine.Engine {
	engines := s.demo.Backends.Engines
	for _, e := range engines {
		if e.Name() == s.server {
			return e
		}
	}
	return engines[slices.IndexFunc(engines, func(e *engine.Engine) bool { return e.Model() == probeModel })]
}

func (s *site) inject(f Fault) {
	backends := s.demo.Backends
	if s.atLedger() && s.injectStore(f) {
		return
	}
	switch f {
	case InstanceCrash:
		s.crash()
	case InstancePause:
		time.Sleep(sitePause)
	case CrashRequest:
		if s.cell.Step == Stream || s.cell.Step == EndOfStream {
			s.switches().Restart()
		}
	case ServerCrash, ColdTurn:
		s.crashServer()
	case Silence:
		s.switches().SilenceConnections()
	case Slow:
		s.switches().Set(fault.Settings{Slow: 10})
	case LostReply:
		s.switches().Set(fault.Settings{BreakAfter: 1, Breaks: 1, Truncated: s.cell.Step == EndOfStream})
	case CrossedAnswer:
		s.switches().Set(fault.Settings{Crossed: true})
	case StoreDown:
		s.platformFault(standin.Fault{Down: true})
	case StoreSlow:
		s.platformFault(standin.Fault{Delay: 300 * time.Millisecond, ReplyDelay: 300 * time.Millisecond})
	case KeyWithdrawn:
		s.operate(func(ctx context.Context, c config.Editor) error {
			_, err := c.WithdrawKey(ctx, config.DigestKey(s.demo.Description.Keys[probeOrganisation]))
			return err
		})
	case ZoneOut:
		s.operate(func(ctx context.Context, c config.Editor) error {
			_, err := c.SetZone(ctx, "zone-a", true)
			return err
		})
	case Reclaim:
		backends.Platform.Reclaim("zone-b")
	case Duplicate, Race:
		s.wait.Go(func() { s.judge(s.send(1)) })
	default:
		s.t.Fatalf("fault %q is not for requests", f)
	}
}

// crash cuts the first instance off from everything and stops it. What it
// records from then on does not count.
func (s *site) crash() {
	s.dead, _ = s.demo.Timeline(0).Snapshot()
	for _, face := range faces {
		s.demo.Backends.Platform.SetCallerFault("instance-1", face, standin.Fault{Down: true})
	}
	go s.demo.Abort(0)
}

// injectStore brings about the faults that mean the table service at the
// ledger's steps.
func (s *site) injectStore(f Fault) bool {
	switch f {
	case LostReply:
		s.demo.Backends.Platform.SetFault(standin.TableInterface, standin.Fault{LoseReplies: 1})
	case Silence:
		s.platformFault(standin.Fault{Paused: true})
	case Slow:
		s.platformFault(standin.Fault{Delay: 100 * time.Millisecond})
	default:
		return false
	}
	return true
}

func (s *site) platformFault(f standin.Fault) {
	s.demo.Backends.Platform.SetFault(standin.TableInterface, f)
	s.wait.Go(func() {
		time.Sleep(siteOutage)
		s.demo.Backends.Platform.SetFault(standin.TableInterface, standin.Fault{})
	})
}

// answer is what a caller got.
type answer struct {
	status int
	code   result.Code
	notRun bool
	events int  // content events of a stream
	whole  bool // the answer has its end
	cut    error
	body   string
}

// send sends the probe through an instance.
func (s *site) send(instance int) answer {
	return s.sendAs(instance, probeOrganisation, s.probe)
}

func (s *site) sendAs(instance int, organisation string, p probe) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, p.method, s.demo.Description.Callers[instance]+p.path, strings.NewReader(p.body))
	if err != nil {
		return answer{cut: err}
	}
	r.Header.Set("Authorization", "Bearer "+s.demo.Description.Keys[organisation])
	if p.idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", p.idempotencyKey)
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{cut: err}
	}
	defer func() { _ = reply.Body.Close() }()
	a := answer{status: reply.StatusCode, notRun: reply.Header.Get(entry.NotRunHeader) == "true"}
	if code, err := strconv.Atoi(reply.Header.Get(entry.ResultHeader)); err == nil {
		a.code = result.Code(code)
	}
	s.read(reply.Body, &a)
	return a
}

// read takes the answer apart and strikes in the middle of the probe's stream.
func (s *site) read(body io.Reader, a *answer) {
	var text bytes.Buffer
	lines := bufio.NewScanner(io.TeeReader(body, &text))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		s.readEvent(data, a)
		s.seenEvent(a.events)
	}
	a.cut = lines.Err()
	a.body = text.String()
	if a.status == http.StatusOK && a.events == 0 && a.cut == nil {
		a.whole = json.Valid(bytes.TrimSpace(text.Bytes()))
	}
}

func (s *site) readEvent(data string, a *answer) {
	if data == "[DONE]" {
		a.whole = true
		return
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Code   result.Code `json:"code"`
			NotRun bool        `json:"not_run"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		a.cut = err
		return
	}
	if chunk.Error != nil {
		a.code, a.notRun = chunk.Error.Code, chunk.Error.NotRun
	}
	for _, c := range chunk.Choices {
		if c.Delta.Content != "" {
			a.events++
		}
	}
}

// seenEvent strikes at the steps that a caller sees: in the stream and near its end.
func (s *site) seenEvent(events int) {
	at := map[Step]int{Stream: 2, EndOfStream: s.expectedEvents() - 1}[s.cell.Step]
	s.mu.Lock()
	hit := s.armed && at > 0 && events >= max(at, s.crashAt)
	if hit {
		s.armed = s.cell.Fault == CrashRequest
		s.crashAt = events + 1
	}
	s.mu.Unlock()
	if hit {
		s.strike()
	}
}

// expectedEvents is the length of the whole answer to the probe; the stand-in's
// lengths depend on the prompt alone.
func (s *site) expectedEvents() int { return probeEvents }

// judge checks one answer to the probe against the cell.
func (s *site) judge(a answer) {
	s.t.Helper()
	if a.status == http.StatusOK && a.whole && a.code == 0 {
		if a.events != 0 && a.events != s.expectedEvents() {
			s.t.Errorf("the answer has %d events of %d", a.events, s.expectedEvents())
		}
		return
	}
	if a.code == 0 && a.cut != nil && s.has(InstanceCrash) {
		return // the connection died with the instance
	}
	codes := s.cell.Codes
	if s.probe.idempotencyKey != "" {
		codes = slices.Concat(codes, creditCodes)
	}
	if !slices.Contains(codes, a.code) {
		s.t.Errorf("unexpected answer: status %d, result %d, whole %v, %d events, %v: %.200s",
			a.status, int(a.code), a.whole, a.events, a.cut, a.body)
	}
}

func (s *site) has(f Fault) bool { return s.cell.has(f) }

// awaitStrike returns when the fault has struck, or the probe never came to the step.
func (s *site) awaitStrike() {
	select {
	case <-s.strikes:
	case <-time.After(strikeTimeout):
	}
}

// awaitQueue returns when requests of others wait for a slot.
func (s *site) awaitQueue() {
	select {
	case <-s.queued:
	case <-time.After(strikeTimeout):
		s.t.Error("no request waits")
	}
}

// operate carries out an operator's act through the second instance.
func (s *site) operate(act func(ctx context.Context, c config.Editor) error) {
	s.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := act(ctx, s.demo.Editor(1)); err != nil {
			s.t.Errorf("operator's act: %v", err)
		}
	})
}

// finish heals everything, proves that the site serves again, stops it and
// checks the time line.
func (s *site) finish() {
	s.t.Helper()
	s.wait.Wait()
	s.demo.Backends.Platform.SetFault(standin.TableInterface, standin.Fault{})
	s.mu.Lock()
	if !s.struck {
		s.t.Errorf("step %q was never reached", s.cell.Step)
	}
	s.mu.Unlock()
	for _, e := range s.demo.Backends.Engines {
		e.Set(fault.Settings{})
	}
	for _, p := range s.demo.Backends.Plain {
		p.Set(fault.Settings{})
	}
	if a := s.sendAs(1, otherOrganisation, bystanderProbe); !a.whole || a.code != 0 {
		s.t.Errorf("the site does not serve after the fault: status %d, result %d, %v: %.200s", a.status, int(a.code), a.cut, a.body)
	}
	if err := s.demo.Close(); err != nil {
		s.t.Error(err)
	}
	for _, v := range invariant.Check(s.events(), invariant.Options{Complete: true}) {
		s.t.Errorf("%v", v)
	}
}

func (s *site) events() []timeline.Event {
	first, _ := s.demo.Timeline(0).Snapshot()
	if s.dead != nil {
		first = s.dead
	}
	second, _ := s.demo.Timeline(1).Snapshot()
	backends, _ := s.demo.Backends.Timeline.Snapshot()
	return timeline.Merge(first, second, backends)
}
