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
	sitePauseTime     = 1500 * time.Millisecond
	siteOutageTime    = 1500 * time.Millisecond
	queueDelay        = 200 * time.Millisecond
	injectionTimeout  = 10 * time.Second
	callTimeout       = 20 * time.Second
)

// site is a complete demo, two instances with stand-ins, and the faults of one cell.
// They are injected when the probe's request reaches the cell's step.
type site struct {
	t     *testing.T
	demo  *demo.Demo
	cell  Cell
	wait  sync.WaitGroup
	probe probe

	injectionDone chan struct{} // closed at the first injection
	queued        chan struct{} // closed when a request of another caller is queued

	mu                sync.Mutex
	armed             bool
	injected          bool
	othersQueued      bool
	crashAt           int              // content event at which a crash-causing request crashes the server next
	attempts          map[string]bool  // of the probe
	record            string           // of the probe; empty if it is idempotent
	server            string           // server of the probe's newest attempt
	eventsBeforeCrash []timeline.Event // events of the first instance, if it crashed
}

// probe is the request into which the faults are injected.
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
		injectionDone: make(chan struct{}), queued: make(chan struct{})}
	d.Timeline(0).SetHook(s.handleEvent)
	d.Backends.Timeline.SetHook(s.handleEvent)
	return s
}

// triggerKinds maps each step to the event that shows that the probe reached it.
var triggerKinds = map[Step]timeline.Kind{
	Key: timeline.KeyAccepted, Class: timeline.RequestReceived,
	Admission: timeline.RequestQueued, Queue: timeline.RequestQueued, Routing: timeline.RequestAdmitted,
	LedgerInsert: timeline.RequestAdmitted, Connect: timeline.AttemptStarted, Send: timeline.AttemptSent,
	FirstByte: timeline.BackendReceived, LedgerComplete: timeline.BackendRan, UsageAdd: timeline.UsageMetered,
}

// triggerKind returns the kind of event at which the faults are injected. A crash or
// pause at the insert of an idempotency record is injected right after the insert
// took effect.
func (s *site) triggerKind() timeline.Kind {
	if s.cell.Step == LedgerInsert && (s.has(InstanceCrash) || s.has(InstancePause)) {
		return timeline.RecordInserted
	}
	return triggerKinds[s.cell.Step]
}

func (s *site) atLedger() bool { return slices.Contains(ledgerSteps, s.cell.Step) }

// handleEvent injects the faults when an event of the probe shows that it reached
// the step.
func (s *site) handleEvent(e timeline.Event) {
	s.mu.Lock()
	if e.Organisation == probeOrganisation && e.Attempt != "" {
		s.attempts[e.Attempt] = true
		s.server = e.Server
	}
	if e.Organisation == probeOrganisation && e.Record != "" {
		s.record = e.Record
	}
	fromProbe := e.Organisation == probeOrganisation || s.attempts[e.Attempt] || (e.Record != "" && e.Record == s.record)
	hit := s.armed && fromProbe && e.Kind == s.triggerKind()
	if hit {
		s.armed = false
	}
	if e.Kind == timeline.RequestQueued && !fromProbe && !s.othersQueued {
		s.othersQueued = true
		close(s.queued)
	}
	s.mu.Unlock()
	switch {
	case hit && s.cell.Step == Queue:
		s.wait.Go(func() {
			time.Sleep(queueDelay)
			s.injectFaults()
		})
	case hit:
		s.injectFaults()
	}
}

func (s *site) injectFaults() {
	s.mu.Lock()
	if !s.injected {
		s.injected = true
		defer close(s.injectionDone)
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

// plain returns the plain service that runs the probe, or nil if none does. The
// router's name of the server consists of service and address.
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

// engine returns the engine that runs the probe. Before it is selected, engine
// returns any engine with the probe's model.
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
		time.Sleep(sitePauseTime)
	case CrashRequest:
		if s.cell.Step == Stream || s.cell.Step == EndOfStream {
			s.switches().Restart()
		}
	case ServerCrash, ColdTurn:
		s.crashServer()
	case Silence:
		s.switches().SilenceConnections()
	case Slow:
		s.switches().Set(fault.Settings{SlowFactor: 10})
	case LostReply:
		s.switches().Set(fault.Settings{BreakAfter: 1, MaxBreaks: 1, Truncated: s.cell.Step == EndOfStream})
	case ServerLeaves:
		s.switches().Set(fault.Settings{Leaving: true})
	case ServerLimits:
		s.switches().Set(fault.Settings{RateLimit: 0.5})
	case ServerPauses:
		s.switches().Set(fault.Settings{Pause: time.Second})
	case CrossedAnswer:
		s.switches().Set(fault.Settings{Crossed: true})
	case StoreDown:
		s.platformFault(standin.Fault{Down: true})
	case StoreSlow:
		s.platformFault(standin.Fault{Delay: 300 * time.Millisecond, ReplyDelay: 300 * time.Millisecond})
	case KeyWithdrawn:
		s.runOperation(func(ctx context.Context, c config.Editor) error {
			_, err := c.WithdrawKey(ctx, config.DigestKey(s.demo.Description.Keys[probeOrganisation]))
			return err
		})
	case ZoneOut:
		s.runOperation(func(ctx context.Context, c config.Editor) error {
			_, err := c.SetZoneDrained(ctx, "zone-a", true)
			return err
		})
	case Reclaim:
		backends.Platform.Reclaim("zone-b")
	case Duplicate, Race:
		s.wait.Go(func() { s.check(s.send(1)) })
	default:
		s.t.Fatalf("fault %q cannot be injected into a request", f)
	}
}

// crash isolates the first instance from the platform and aborts it. Events that it
// records afterwards are ignored.
func (s *site) crash() {
	s.eventsBeforeCrash, _ = s.demo.Timeline(0).Snapshot()
	for _, iface := range interfaces {
		s.demo.Backends.Platform.SetCallerFault("instance-1", iface, standin.Fault{Down: true})
	}
	go s.demo.Abort(0)
}

// injectStore injects the faults that affect the table service at the steps of the
// ledger. It returns false for other faults.
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
		time.Sleep(siteOutageTime)
		s.demo.Backends.Platform.SetFault(standin.TableInterface, standin.Fault{})
	})
}

// answer is the response that a caller received.
type answer struct {
	status int
	code   result.Code
	notRun bool
	events int  // content events of a stream
	whole  bool // whether the response is complete
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

// read parses the response, and injects the faults of the steps within the probe's
// stream.
func (s *site) read(body io.Reader, a *answer) {
	var text bytes.Buffer
	lines := bufio.NewScanner(io.TeeReader(body, &text))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		s.readEvent(data, a)
		s.handleStreamEvent(a.events)
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

// handleStreamEvent injects the faults of the steps that are visible to the caller:
// in the stream and near its end.
func (s *site) handleStreamEvent(events int) {
	at := map[Step]int{Stream: 2, EndOfStream: s.expectedEvents() - 1}[s.cell.Step]
	s.mu.Lock()
	hit := s.armed && at > 0 && events >= max(at, s.crashAt)
	if hit {
		s.armed = s.cell.Fault == CrashRequest
		s.crashAt = events + 1
	}
	s.mu.Unlock()
	if hit {
		s.injectFaults()
	}
}

// expectedEvents returns the number of content events in the complete answer to the
// probe. The stand-in's answer lengths depend only on the prompt.
func (s *site) expectedEvents() int { return probeEvents }

// check checks one response to the probe against the cell.
func (s *site) check(a answer) {
	s.t.Helper()
	if a.status == http.StatusOK && a.whole && a.code == 0 {
		if a.events != 0 && a.events != s.expectedEvents() {
			s.t.Errorf("got %d content events, want %d", a.events, s.expectedEvents())
		}
		return
	}
	if a.code == 0 && a.cut != nil && s.has(InstanceCrash) {
		return // the crash of the instance closed the connection
	}
	if a.code == 0 && a.status == http.StatusServiceUnavailable && s.has(ServerPauses) && s.probe.idempotencyKey != "" {
		return // the refusal of the backend server, which is the request's one answer
	}
	codes := s.cell.Codes
	if s.probe.idempotencyKey != "" {
		codes = slices.Concat(codes, creditCodes)
	}
	if !slices.Contains(codes, a.code) {
		s.t.Errorf("unexpected response: status %d, result %d, whole %v, %d events, %v: %.200s",
			a.status, int(a.code), a.whole, a.events, a.cut, a.body)
	}
}

func (s *site) has(f Fault) bool { return s.cell.has(f) }

// awaitInjection waits until the faults are injected, at most injectionTimeout.
func (s *site) awaitInjection() {
	select {
	case <-s.injectionDone:
	case <-time.After(injectionTimeout):
	}
}

// awaitQueue waits until a request of another caller is queued.
func (s *site) awaitQueue() {
	select {
	case <-s.queued:
	case <-time.After(injectionTimeout):
		s.t.Error("no request was queued")
	}
}

// runOperation runs an operator's change through the second instance.
func (s *site) runOperation(act func(ctx context.Context, c config.Editor) error) {
	s.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := act(ctx, s.demo.Editor(1)); err != nil {
			s.t.Errorf("operator's change: %v", err)
		}
	})
}

// finish clears all faults, checks that the site serves requests again, stops it and
// checks the invariants on the timeline.
func (s *site) finish() {
	s.t.Helper()
	s.wait.Wait()
	s.demo.Backends.Platform.SetFault(standin.TableInterface, standin.Fault{})
	s.mu.Lock()
	if !s.injected {
		s.t.Errorf("step %q was never reached", s.cell.Step)
	}
	s.mu.Unlock()
	for _, e := range s.demo.Backends.Engines {
		e.Set(fault.Settings{})
	}
	for _, p := range s.demo.Backends.Plain {
		p.Set(fault.Settings{})
	}
	if a := s.sendAs(1, otherOrganisation, otherProbe); !a.whole || a.code != 0 {
		s.t.Errorf("request failed after the faults were cleared: status %d, result %d, %v: %.200s", a.status, int(a.code), a.cut, a.body)
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
	if s.eventsBeforeCrash != nil {
		first = s.eventsBeforeCrash
	}
	second, _ := s.demo.Timeline(1).Snapshot()
	backends, _ := s.demo.Backends.Timeline.Snapshot()
	return timeline.Merge(first, second, backends)
}
