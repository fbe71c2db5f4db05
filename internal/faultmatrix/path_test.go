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

// bystanderProbe is another request for the same model.
var bystanderProbe = probe{
	method: http.MethodPost, path: "/v1/chat/completions",
	body: `{"model":"label-2b","stream":true,"messages":[{"role":"user","content":"and what does label 4 mean"}]}`,
}

// creditProbe is a non-idempotent request.
var creditProbe = probe{method: http.MethodPost, path: "/services/credits/run", body: `{"drums":3}`, idempotencyKey: "credit-1"}

// creditCodes may end a non-idempotent request whatever the fault.
var creditCodes = []result.Code{
	result.OutcomeUnknown, result.AlreadyRunning, result.WillNotRunAgain, result.LedgerUnavailable, result.ConnectFailed,
}

const (
	// probeEvents is the number of content events of the whole answer to chatProbe.
	probeEvents = 17
	// crowd is the number of requests that fill the engines so that the probe waits.
	crowd = 200
	// settleRounds bounds how often a non-idempotent request is sent again.
	settleRounds = 6
	settlePause  = 500 * time.Millisecond
)

// runPath strikes a streamed model request at the cell's step, and a
// non-idempotent one where the step is of its path.
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
		release = s.fill()
	}
	if poisoned {
		s.poisonEngines()
	}
	var probing sync.WaitGroup
	s.arm()
	probing.Go(func() { s.judge(s.send(0)) })
	s.awaitStrike()
	release()
	probing.Wait()
	s.finish()
}

// runCredit sends a non-idempotent request, then again through both instances
// until its outcome is settled. It must have run at most once.
func runCredit(t *testing.T, c Cell) {
	s := newSite(t, c, creditProbe)
	s.arm()
	first := s.send(0)
	s.judge(first)
	s.awaitStrike()
	s.wait.Wait()
	runs := map[string]bool{first.run(): true}
	for round := range settleRounds {
		a := s.send(1 - round%2*s.alive())
		s.judge(a)
		runs[a.run()] = true
		if a.settled() && round >= 2 {
			break
		}
		time.Sleep(settlePause)
	}
	delete(runs, "")
	if len(runs) > 1 {
		t.Errorf("answers of several runs: %v", runs)
	}
	if n := s.creditRuns(); n > 1 {
		t.Errorf("the request ran %d times", n)
	}
	s.finish()
}

// alive is 1 while the first instance can take a resend.
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

// run is the id of the run that answered; empty without an answer.
func (a answer) run() string {
	var r plain.Run
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &r) != nil {
		return ""
	}
	return r.Run
}

// settled reports whether sending the request again can change nothing.
func (a answer) settled() bool {
	return a.status == http.StatusOK || a.code == result.WillNotRunAgain || a.code == result.KeyWithdrawn
}

func (s *site) arm() {
	s.mu.Lock()
	s.armed = true
	s.mu.Unlock()
}

// fill pauses the engines and occupies all the slots of the probe's model.
func (s *site) fill() (release func()) {
	engines := s.demo.Backends.Engines
	for _, e := range engines {
		e.Set(fault.Settings{Paused: true})
	}
	for range crowd {
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
