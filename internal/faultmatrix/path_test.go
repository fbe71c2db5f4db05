package faultmatrix

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
)

var chatProbe = probe{
	method: http.MethodPost, path: "/v1/chat/completions",
	body: `{"model":"label-2b","stream":true,"messages":[{"role":"user","content":"what does label 3 mean"}]}`,
}

var poisonProbe = probe{
	method: http.MethodPost, path: "/v1/chat/completions",
	body: `{"model":"label-2b","stream":true,"messages":[{"role":"user","content":"` + poison + `"}]}`,
}

// otherProbe is a different request to the same model as chatProbe.
var otherProbe = probe{
	method: http.MethodPost, path: "/v1/chat/completions",
	body: `{"model":"label-2b","stream":true,"messages":[{"role":"user","content":"and what does label 4 mean"}]}`,
}

// creditProbe is a non-idempotent request.
var creditProbe = probe{method: http.MethodPost, path: "/services/credits/run", body: `{"drums":3}`, idempotencyKey: "credit-1"}

// creditCodes are the result codes with which a non-idempotent request may end
// under any fault.
var creditCodes = []result.Code{
	result.OutcomeUnknown, result.AlreadyRunning, result.WillNotRunAgain, result.LedgerUnavailable, result.ConnectFailed,
}

const (
	// probeEvents is the number of content events in the complete answer to chatProbe.
	probeEvents = 17
	// backgroundRequests is the number of requests that saturate the engines, so that
	// the probe is queued.
	backgroundRequests = 200
	// maxResends bounds the retries of a non-idempotent request.
	maxResends     = 6
	resendInterval = 500 * time.Millisecond
)

// runPath injects the cell's faults into a streamed model request, and into a
// non-idempotent request if that passes through the cell's step.
func runPath(t *testing.T, c Cell) {
	if !slices.Contains([]Step{LedgerInsert, LedgerComplete}, c.Step) {
		t.Run("chat", func(t *testing.T) { runChat(t, c) })
	}
	if c.Fault != CrashRequest && !slices.Contains([]Step{Admission, Queue, Stream, EndOfStream, UsageAdd}, c.Step) {
		t.Run("credit", func(t *testing.T) { runCredit(t, c) })
	}
}

func runChat(t *testing.T, c Cell) {
	p := chatProbe
	poisoned := c.Fault == CrashRequest && (c.Step == Send || c.Step == FirstByte)
	if poisoned {
		p = poisonProbe
	}
	s := newSite(t, c, p)
	release := func() {}
	if c.Step == Admission || c.Step == Queue {
		release = s.saturate()
	}
	if poisoned {
		s.poisonEngines()
	}
	var probing sync.WaitGroup
	s.arm()
	probing.Go(func() { s.check(s.send(0)) })
	s.awaitInjection()
	release()
	probing.Wait()
	s.finish()
}

// runCredit sends a non-idempotent request and retries it through both instances
// until its outcome is final. It must have run at most once.
func runCredit(t *testing.T, c Cell) {
	s := newSite(t, c, creditProbe)
	s.arm()
	first := s.send(0)
	s.check(first)
	s.awaitInjection()
	s.wait.Wait()
	runs := map[string]bool{first.run(): true}
	for round := range maxResends {
		a := s.send(1 - round%2*s.alive())
		s.check(a)
		runs[a.run()] = true
		if a.final() && round >= 2 {
			break
		}
		time.Sleep(resendInterval)
	}
	delete(runs, "")
	if len(runs) > 1 {
		t.Errorf("got answers of several runs: %v", runs)
	}
	if n := s.creditRuns(); n > 1 {
		t.Errorf("the request ran %d times, want at most 1", n)
	}
	s.finish()
}

// alive returns 1 if the first instance can serve retries, or else 0.
func (s *site) alive() int {
	if s.has(InstanceCrash) {
		return 0
	}
	return 1
}

func (s *site) creditRuns() int {
	runs := 0
	for _, p := range s.demo.Backends.Plain {
		if p.Service() == "credits" {
			runs += p.TotalRuns()
		}
	}
	return runs
}

// run returns the id of the run that produced the answer. It is empty if there is no
// complete answer.
func (a answer) run() string {
	var r plain.Run
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &r) != nil {
		return ""
	}
	return r.Run
}

// final reports whether a retry cannot change the outcome.
func (a answer) final() bool {
	return a.status == http.StatusOK || a.code == result.WillNotRunAgain || a.code == result.KeyWithdrawn
}

func (s *site) arm() {
	s.mu.Lock()
	s.armed = true
	s.mu.Unlock()
}

// saturate pauses the engines and occupies all slots of the probe's model. Call
// release to resume the engines.
func (s *site) saturate() (release func()) {
	engines := s.demo.Backends.Engines
	for _, e := range engines {
		e.Set(fault.Settings{Paused: true})
	}
	for range backgroundRequests {
		s.wait.Go(func() { s.sendAs(0, otherOrganisation, chatProbe) })
	}
	s.awaitQueue()
	return func() {
		for _, e := range engines {
			e.Set(fault.Settings{})
		}
	}
}

func (s *site) poisonEngines() {
	for _, e := range s.demo.Backends.Engines {
		e.Set(fault.Settings{Poison: poison})
	}
}
