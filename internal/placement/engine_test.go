package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

var origin = time.Unix(1_000_000, 0)

// rig is an engine with one model, driven step by step.
type rig struct {
	t      *testing.T
	engine *Engine
	config *config.Snapshot
	now    time.Time
	next   int
}

// heard is what a job's listener was told.
type heard struct {
	job       *Job
	targets   []traffic.Target
	refusal   *result.Error
	preempted bool
}

func (h *heard) Started(t traffic.Target)      { h.targets = append(h.targets, t) }
func (h *heard) Refused(refusal *result.Error) { h.refusal = refusal }
func (h *heard) Preempt()                      { h.preempted = true }

func (h *heard) waits() bool { return len(h.targets) == 0 && h.refusal == nil }

func testClasses() []config.Class {
	return []config.Class{
		{Name: "status", Tier: 1, FirstToken: config.Duration(time.Second), Deadline: config.Duration(time.Minute)},
		{Name: "draft", Tier: 5, Deadline: config.Duration(time.Minute), Cheap: true},
		{Name: "batch", Tier: 7, Deadline: config.Duration(time.Minute), Cheap: true},
	}
}

// newRig returns an engine before warm servers with the given limit.
func newRig(t *testing.T, warm int, servers ...platform.Server) *rig {
	zero := 0.0
	classes := append(testClasses(), config.Class{Name: "once", Tier: 2, RetryBudget: &zero})
	r := &rig{t: t, engine: New(Options{Instance: "i0", Zone: "a"}), now: origin}
	r.config = config.NewSnapshot(1, "", config.Config{
		Classes: classes,
		Models:  []config.Model{{Name: "m", Class: "draft", WarmLimit: warm}},
		Services: []config.Service{
			{Name: "desk", Class: "status", Route: true, DependsOn: []string{"m"}, Servers: []config.Endpoint{{Address: "127.0.0.1:7", Zone: "a"}}},
		},
		Zones: []config.Zone{{Name: "a"}, {Name: "b"}},
	}, nil, nil)
	r.engine.SetConfig(r.now, r.config)
	r.engine.SetMembers(r.now, []string{"i0"}, r.now)
	r.engine.SetServers(r.now, servers)
	for range 16 {
		r.now = r.now.Add(time.Second)
		for _, s := range servers {
			r.engine.LoadReport(r.now, s.Name, engineapi.LoadReport{Epoch: 1, UnixMillis: r.now.UnixMilli()})
		}
	}
	return r
}

func steady(n int) platform.Server {
	return platform.Server{
		Name: fmt.Sprint("s", n), Address: "127.0.0.1:1", Zone: "a", Model: "m", Epoch: 1, State: platform.ServerRunning,
	}
}

func cheap(n int, zone string) platform.Server {
	s := steady(n)
	s.Cheap, s.Zone = true, zone
	return s
}

func (r *rig) request(class string) *traffic.Request {
	r.next++
	return &traffic.Request{
		ID: fmt.Sprint(r.next), Organisation: "club", Class: r.config.Class(class), Pool: "m",
		Idempotent: true, Stream: true, Arrived: r.now, Gate: &result.Gate{},
	}
}

func (r *rig) submit(class string) *heard { return r.submitRequest(r.request(class)) }

func (r *rig) submitRequest(q *traffic.Request) *heard {
	h := &heard{}
	h.job = r.engine.Submit(r.now, q, h)
	return h
}

func (r *rig) pass(d time.Duration) {
	r.now = r.now.Add(d)
	r.engine.Tick(r.now)
}

// answer ends a running job with a whole answer.
func (r *rig) answer(h *heard, first time.Duration) {
	r.engine.Observe(r.now, h.job, traffic.Observation{Target: h.targets[len(h.targets)-1], Whole: true, FirstToken: first, OutputTokens: 10})
	r.engine.Finish(r.now, h.job)
}

func (r *rig) failure(h *heard, sent bool) traffic.Failure {
	return traffic.Failure{Target: h.targets[len(h.targets)-1], Code: result.StreamBroken, Sent: sent}
}

func TestLowerTiersLeaveTheLastSlotsToHigherOnes(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 10, steady(0))
	r.answer(r.submit("status"), time.Millisecond) // the tier is in use
	started := 0
	for range 20 {
		if !r.submit("draft").waits() {
			started++
		}
	}
	is.Equal(started, 9)
	is.True(!r.submit("status").waits())
}

func TestFreedSlotGoesToTheHigherTier(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, steady(0))
	first := r.submit("draft")
	low, high := r.submit("draft"), r.submit("status")
	r.answer(first, time.Millisecond)
	is.True(low.waits())
	is.True(!high.waits())
}

func TestHopelessRequestIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, steady(0))
	for range 40 { // each answer holds the only slot for one second
		h := r.submit("status")
		r.pass(time.Second)
		r.answer(h, 100*time.Millisecond)
	}
	running := r.submit("status")
	r.submit("status") // one waits as a probe
	late := r.submit("status")
	is.Equal(late.refusal.Code, result.DeadlineHopeless)
	is.True(late.refusal.NotRun())
	is.True(late.refusal.RetryAfter >= retryAfterLeast)
	is.True(running.refusal == nil)
}

func TestPreemptionTakesOnlyLowerIdempotentWork(t *testing.T) {
	for name, c := range map[string]struct {
		class      string
		idempotent bool
		want       bool
	}{
		"lower tier":     {class: "draft", idempotent: true, want: true},
		"equal tier":     {class: "status", idempotent: true, want: false},
		"not idempotent": {class: "draft", idempotent: false, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 1, steady(0))
			q := r.request(c.class)
			q.Idempotent = c.idempotent
			running := r.submitRequest(q)
			waiting := r.submit("status")
			r.pass(600 * time.Millisecond)
			is.Equal(running.preempted, c.want)
			is.True(waiting.waits())
		})
	}
}

func TestLowerTierNeverPreempts(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, steady(0))
	running := r.submit("status")
	r.submit("draft")
	r.pass(30 * time.Second)
	is.True(!running.preempted)
}

func TestNonIdempotentRequestIsNotRetriedOnceSent(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, steady(0), steady(1))
	q := r.request("draft")
	q.Idempotent = false
	h := r.submitRequest(q)
	is.True(q.Gate.Open())
	r.engine.Retry(r.now, h.job, r.failure(h, true))
	is.Equal(h.refusal.Code, result.OutcomeUnknown)
	is.True(!h.refusal.NotRun())
	is.Equal(len(h.targets), 1)
}

func TestUnsentAttemptIsRetriedElsewhereWithoutBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, steady(0), steady(1))
	for range 20 {
		h := r.submit("once")
		r.engine.Release(r.now, h.job, h.targets[0])
		r.engine.Retry(r.now, h.job, r.failure(h, false))
		is.Equal(len(h.targets), 2)
		is.True(h.targets[0].Server != h.targets[1].Server)
		r.engine.Finish(r.now, h.job)
	}
	sent := r.submit("once")
	r.engine.Retry(r.now, sent.job, r.failure(sent, true))
	is.Equal(sent.refusal.Code, result.RetryBudgetSpent)
}

func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, steady(0), steady(1), steady(2), steady(3), steady(4), steady(5))
	h := r.submit("draft")
	for range 10 {
		if h.refusal == nil {
			r.engine.Retry(r.now, h.job, r.failure(h, false))
		}
	}
	is.Equal(len(h.targets), maxAttempts)
	is.True(h.refusal.NotRun()) // no attempt was ever sent
}

func TestHedgeNeedsFreeCapacityAndAnotherServer(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, steady(0), steady(1))
	h := r.submit("draft")
	second, ok := r.engine.Hedge(r.now, h.job, h.targets[0])
	is.True(ok)
	is.True(second.Server != h.targets[0].Server)
	r.engine.Finish(r.now, h.job)
	h = r.submit("draft")
	r.submit("draft")
	_, ok = r.engine.Hedge(r.now, h.job, h.targets[0])
	is.True(!ok) // both slots are in use
}

func TestOnlyAllowedWorkRunsOnCheapServers(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, cheap(0, "a"))
	is.True(r.submit("status").waits())
	q := r.request("batch")
	q.Idempotent = false
	is.True(r.submitRequest(q).waits())
	is.True(!newRig(t, 4, cheap(0, "a")).submit("batch").waits())
}

func TestLossOfACheapZoneLeavesHigherTiersServed(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, steady(0), cheap(1, "b"), cheap(2, "b"))
	use := &r.engine.pools["m"].use
	for use.steadyFree > 0 {
		r.submit("draft")
		if use.steadyFree > 0 {
			// Were zone b lost, all draft work would have to fit the steady server.
			is.True(use.cheap[1].upTo(5)+use.steady.upTo(5) <= 4)
		}
	}
	is.True(use.cheap[1].upTo(5) <= 3)
}

func TestCheapSlotsGoToTheHigherTierFirst(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, cheap(1, "b"))
	running := r.submit("batch")
	low, high := r.submit("batch"), r.submit("draft")
	r.answer(running, time.Millisecond)
	is.True(low.waits())
	is.True(!high.waits()) // no steady server is free: the cap must not hand the slot down
}

func TestDependencyWithoutServerRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, steady(0))
	q := r.request("status")
	q.Pool, q.Plain = "desk", true
	is.Equal(r.submitRequest(q).refusal, nil)
	gone := steady(0)
	gone.State = platform.ServerLeaving
	r.engine.SetServers(r.now, []platform.Server{gone})
	q = r.request("status")
	q.Pool, q.Plain = "desk", true
	h := r.submitRequest(q)
	is.Equal(h.refusal.Code, result.DependencyDown)
	is.True(h.refusal.NotRun())
}

func TestPoolWithoutServersRefusesAfterAShortWait(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4)
	h := r.submit("draft")
	is.True(h.waits())
	r.pass(noServerWait)
	is.Equal(h.refusal.Code, result.NoBackendServer)
	is.True(h.refusal.NotRun())
}

func TestZoneTakenOutGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, steady(0))
	out := config.NewSnapshot(2, "", r.config.Config, nil, map[string]bool{"a": true})
	r.engine.SetConfig(r.now, out)
	is.True(r.submit("draft").waits())
	r.engine.SetConfig(r.now, r.config) // an older version must not bring it back
	is.True(r.submit("draft").waits())
}

func TestChangeOfKeysDoesNotRebuildThePools(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, steady(0))
	version := func(n uint64, text string, out map[string]bool) *config.Snapshot {
		return config.NewSnapshot(n, text, r.config.Config, nil, out)
	}
	r.engine.SetConfig(r.now, version(2, "text", nil))
	before := r.engine.store.Snapshot()
	r.engine.SetConfig(r.now, version(3, "text", nil))
	is.Equal(r.engine.store.Snapshot(), before)
	r.engine.SetConfig(r.now, version(4, "text", map[string]bool{"a": true}))
	is.True(r.engine.store.Snapshot() != before)
	is.True(r.submit("draft").waits())
}

func TestObserveOfATargetNotHeldChangesNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, steady(0))
	h := r.submit("draft")
	o := traffic.Observation{Target: h.targets[0], Whole: true}
	r.engine.Observe(r.now, h.job, o)
	r.engine.Observe(r.now, h.job, o)
	r.engine.Finish(r.now, h.job)
	r.engine.Finish(r.now, h.job)
	is.Equal(r.engine.store.Live("s0").Outstanding(), 0)
	is.True(!r.submit("draft").waits())
	is.True(r.submit("draft").waits()) // the one slot is not counted twice
}
