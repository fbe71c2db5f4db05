package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
)

// A crashed server must be distinguished from a broken connection, so that the
// run is reported as a crash and the request is tried on another server.
func TestCrashDetection(t *testing.T) {
	is := is.New(t)
	crashing, healthy := startEngine(t, engine.Options{}), startEngine(t, engine.Options{})
	crashing.Set(fault.Settings{Poison: "hi"})
	runs := &countingSuspects{}
	l := engineTargets(crashing, healthy)
	c := modelCall(chatBody, l)
	c.Request.Fingerprint = 7
	out, _ := do(t, newDispatcher(t, Options{Suspects: runs}), c)
	is.True(out.Err == nil)
	is.True(l.failures[0].Crashed)
	is.Equal(*runs, countingSuspects{started: 2, ended: 1, crashed: 1})
	runs.refuses = true
	c.Request.Gate = new(result.Gate)
	out, _ = do(t, newDispatcher(t, Options{Suspects: runs}), c)
	is.Equal(out.Err.Code, result.RequestQuarantined)
	is.True(out.Err.NotRun())
}

// A request that crashes every engine it runs on is refused after two crashes.
func TestCrashingRequestQuarantine(t *testing.T) {
	is := is.New(t)
	tracker := quarantine.New(quarantine.Options{})
	d := newDispatcher(t, Options{Suspects: NewTrackerSuspects(tracker)})
	var engines []*engine.Engine
	for range 4 {
		e := startEngine(t, engine.Options{})
		e.Set(fault.Settings{Poison: "poison"})
		engines = append(engines, e)
	}
	crashes := func() (n uint64) {
		for _, e := range engines {
			n += e.Epoch() - 1
		}
		return n
	}
	crashingBody := strings.Replace(chatBody, "hi", "poison", 1)
	c := modelCall(crashingBody, engineTargets(engines...))
	c.Request.Fingerprint = 1
	out, _ := do(t, d, c)
	is.True(out.Err != nil)
	is.Equal(crashes(), uint64(2))
	eventually(t, func() bool { return tracker.Refused(quarantine.Request{Fingerprint: 1}, time.Now()) })
	c.Request.Gate = new(result.Gate)
	out, _ = do(t, d, c)
	is.Equal(out.Err.Code, result.RequestQuarantined)
	is.Equal(crashes(), uint64(2))
	bystander := modelCall(chatBody, engineTargets(engines...))
	bystander.Request.Fingerprint = 2
	out, _ = do(t, d, bystander)
	is.True(out.Err == nil)
}

type countingSuspects struct {
	started, ended, crashed int
	refuses                 bool
}

func (s *countingSuspects) Refused(quarantine.Request, time.Time) bool { return s.refuses }

func (*countingSuspects) Waits(quarantine.Request, time.Time) bool { return false }

func (s *countingSuspects) Start(quarantine.Request, string, uint64, time.Time) (Run, bool) {
	s.started++
	return s, true
}

func (s *countingSuspects) Ended(bool, time.Time) { s.ended++ }

func (s *countingSuspects) Crashed(time.Time) { s.crashed++ }
