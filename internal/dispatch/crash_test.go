package dispatch

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
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

// loadServer serves load reports with the current epoch. Its first report is held back
// after its epoch was read.
type loadServer struct {
	*httptest.Server
	epoch   atomic.Uint64
	reports atomic.Int64
	read    chan struct{} // closed when the first report has its epoch
	release chan struct{} // lets the first report go
}

func startLoadServer(t *testing.T) *loadServer {
	s := &loadServer{read: make(chan struct{}), release: make(chan struct{})}
	s.epoch.Store(1)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		report := engineapi.LoadReport{Epoch: s.epoch.Load()}
		if s.reports.Add(1) == 1 {
			close(s.read)
			<-s.release
		}
		_ = json.NewEncoder(w).Encode(report)
	}))
	t.Cleanup(s.Close)
	return s
}

// A check of the server that began before an answer ended knows nothing of that end.
func TestCrashCheckBeginsAfterEndOfAnswer(t *testing.T) {
	is := is.New(t)
	s := startLoadServer(t)
	d := newDispatcher(t, Options{ProbeTimeout: 10 * time.Second})
	target := traffic.Target{Server: "s", Address: s.Listener.Addr().String()}
	early, late := make(chan bool, 1), make(chan bool, 1)
	go func() { early <- d.hasCrashed(target, incarnation{epoch: 1}, false) }()
	<-s.read
	s.epoch.Store(2)
	go func() { late <- d.hasCrashed(target, incarnation{epoch: 1}, false) }()
	time.Sleep(50 * time.Millisecond) // the second check finds the first one running
	close(s.release)
	is.True(!<-early)
	is.True(<-late)
	is.Equal(s.reports.Load(), int64(2))
}

// The engine of this test renews its load report once an hour.
func TestCrashIsSeenAfterRecentLoadReport(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{ReportLag: time.Hour})
	d := newDispatcher(t, Options{})
	target := engineTargets(e).targets[0]
	is.True(!d.hasCrashed(target, incarnation{epoch: e.Epoch()}, false))
	e.Crash()
	is.True(d.hasCrashed(target, incarnation{epoch: e.Epoch() - 1}, false))
}

func TestLowerEpochAfterAnswerHeadIsAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	answering := startRawServer(t, rawAnswer{body: roleEvent + contentEvents(1, 3), epoch: 5})
	runs := &countingSuspects{}
	c := modelCall(streamBody, answering)
	c.Request.Fingerprint = 7
	out, _ := do(t, newDispatcher(t, Options{Suspects: runs, MaxAttempts: 1}), c)
	is.True(out.Err != nil)
	is.Equal(*runs, countingSuspects{started: 1, crashed: 1}) // the load report names epoch 1
}

// A model server crashes inside an answer that has neither a length nor chunks.
func TestCrashInsideUnframedAnswerIsCounted(t *testing.T) {
	for epoch, want := range map[int]countingSuspects{
		1: {started: 1, ended: 1}, // the load report names the same epoch
		5: {started: 1, crashed: 1},
	} {
		is := is.New(t)
		runs := &countingSuspects{}
		c := modelCall(chatBody, startRawServer(t, rawAnswer{body: `{"half":`, epoch: epoch}))
		c.Request.Fingerprint = 7
		out, w := do(t, newDispatcher(t, Options{Suspects: runs, MaxAttempts: 1}), c)
		is.True(out.Err != nil)
		is.Equal(w.Body.Len(), 0)
		is.Equal(*runs, want)
	}
}
