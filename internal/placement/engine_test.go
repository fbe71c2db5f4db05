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

// rig is an engine with one model and a simulated clock.
type rig struct {
	t      *testing.T
	engine *Engine
	config *config.Snapshot
	now    time.Time
	next   int
}

// recordingListener records what the engine reports of a job.
type recordingListener struct {
	job       *Job
	targets   []traffic.Target
	refusal   *result.Error
	preempted bool
}

func (h *recordingListener) Started(t traffic.Target)      { h.targets = append(h.targets, t) }
func (h *recordingListener) Refused(refusal *result.Error) { h.refusal = refusal }
func (h *recordingListener) Preempt()                      { h.preempted = true }

func (h *recordingListener) waits() bool { return len(h.targets) == 0 && h.refusal == nil }

func testClasses() []config.Class {
	return []config.Class{
		{Name: "status", Tier: 1, FirstToken: config.Duration(time.Second), Deadline: config.Duration(time.Minute)},
		{Name: "draft", Tier: 5, Deadline: config.Duration(time.Minute), AllowPreemptible: true},
		{Name: "batch", Tier: 7, Deadline: config.Duration(time.Minute), AllowPreemptible: true},
	}
}

// newRig returns an engine with the given servers, each with the given warm
// limit and ramped up to it.
func newRig(t *testing.T, warm int, servers ...platform.Server) *rig {
	return newRigOf(t, "i0", warm, servers...)
}

// newRigOf is newRig for the engine of the named instance.
func newRigOf(t *testing.T, instance string, warm int, servers ...platform.Server) *rig {
	zero := 0.0
	classes := append(testClasses(), config.Class{Name: "once", Tier: 2, RetryBudget: &zero})
	r := &rig{t: t, engine: New(Options{Instance: instance, Zone: "a"}), now: origin}
	r.config = config.NewSnapshot(1, "", config.Config{
		Classes: classes,
		Models:  []config.Model{{Name: "m", Class: "draft", WarmLimit: warm}},
		Services: []config.Service{
			{Name: "desk", Class: "status", Route: true, DependsOn: []string{"m"}, Servers: []config.Endpoint{{Address: "127.0.0.1:7", Zone: "a"}}},
		},
		Zones: []config.Zone{{Name: "a"}, {Name: "b"}},
	}, nil, nil)
	r.engine.SetConfig(r.now, r.config)
	r.engine.SetMembers(r.now, []string{instance}, r.now)
	r.engine.SetServers(r.now, servers)
	for range 16 {
		r.now = r.now.Add(time.Second)
		for _, s := range servers {
			r.engine.LoadReport(r.now, s.Name, engineapi.LoadReport{Epoch: 1, UnixMillis: r.now.UnixMilli()})
		}
	}
	return r
}

func onDemandServer(n int) platform.Server {
	return platform.Server{
		Name: fmt.Sprint("s", n), Address: "127.0.0.1:1", Zone: "a", Model: "m", Epoch: 1, State: platform.ServerRunning,
	}
}

func preemptibleServer(n int, zone string) platform.Server {
	s := onDemandServer(n)
	s.Preemptible, s.Zone = true, zone
	return s
}

func (r *rig) request(class string) *traffic.Request {
	r.next++
	return &traffic.Request{
		ID: fmt.Sprint(r.next), Organisation: "club", Class: r.config.Class(class), Pool: "m",
		Idempotent: true, Stream: true, Arrived: r.now, Gate: &result.Gate{},
	}
}

func (r *rig) submit(class string) *recordingListener { return r.submitRequest(r.request(class)) }

func (r *rig) submitRequest(q *traffic.Request) *recordingListener {
	h := &recordingListener{}
	h.job = r.engine.Submit(r.now, q, h)
	return h
}

func (r *rig) pass(d time.Duration) {
	r.now = r.now.Add(d)
	r.engine.Tick(r.now)
}

// answer ends a running job with a complete answer.
func (r *rig) answer(h *recordingListener, first time.Duration) {
	r.engine.Observe(r.now, h.job, traffic.Observation{Target: h.targets[len(h.targets)-1], Complete: true, FirstToken: first, OutputTokens: 10})
	r.engine.Finish(r.now, h.job)
}

func (r *rig) failure(h *recordingListener, sent bool) traffic.Failure {
	return traffic.Failure{Target: h.targets[len(h.targets)-1], Code: result.StreamBroken, Sent: sent}
}

func TestReserveForHigherTiers(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 10, onDemandServer(0))
	r.answer(r.submit("status"), time.Millisecond) // marks tier 1 as active
	started := 0
	for range 20 {
		if !r.submit("draft").waits() {
			started++
		}
	}
	is.Equal(started, 9)
	is.True(!r.submit("status").waits())
}

func TestFreedSlotGoesToHigherTier(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, onDemandServer(0))
	first := r.submit("draft")
	low, high := r.submit("draft"), r.submit("status")
	r.answer(first, time.Millisecond)
	is.True(low.waits())
	is.True(!high.waits())
}

func TestHopelessRequestRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, onDemandServer(0))
	for range 40 { // each answer occupies the only slot for one second
		h := r.submit("status")
		r.pass(time.Second)
		r.answer(h, 100*time.Millisecond)
	}
	running := r.submit("status")
	r.submit("status") // the only waiting request of a class is never refused early
	late := r.submit("status")
	is.Equal(late.refusal.Code, result.DeadlineHopeless)
	is.True(late.refusal.NotRun())
	is.True(late.refusal.RetryAfter >= minRetryAfter)
	is.True(running.refusal == nil)
}

// Preemption must not stop requests that cannot be resumed, or that are not of
// a lower tier.
func TestPreemptionVictims(t *testing.T) {
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
			r := newRig(t, 1, onDemandServer(0))
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
	r := newRig(t, 1, onDemandServer(0))
	running := r.submit("status")
	r.submit("draft")
	r.pass(30 * time.Second)
	is.True(!running.preempted)
}

func TestNonIdempotentRequestNotRetriedOnceSent(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0), onDemandServer(1))
	q := r.request("draft")
	q.Idempotent = false
	h := r.submitRequest(q)
	is.True(q.Gate.Open())
	r.engine.Retry(r.now, h.job, r.failure(h, true))
	is.Equal(h.refusal.Code, result.OutcomeUnknown)
	is.True(!h.refusal.NotRun())
	is.Equal(len(h.targets), 1)
}

func TestUnsentAttemptRetriedWithoutBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0), onDemandServer(1))
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

func TestMaxAttempts(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0), onDemandServer(1), onDemandServer(2), onDemandServer(3), onDemandServer(4), onDemandServer(5))
	h := r.submit("draft")
	for range 10 {
		if h.refusal == nil {
			r.engine.Retry(r.now, h.job, r.failure(h, false))
		}
	}
	is.Equal(len(h.targets), maxAttempts)
	is.True(h.refusal.NotRun()) // no attempt was ever sent
}

func TestHedgeNeedsFreeSlot(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, onDemandServer(0), onDemandServer(1))
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

func TestPreemptibleServerEligibility(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, preemptibleServer(0, "a"))
	is.True(r.submit("status").waits())
	q := r.request("batch")
	q.Idempotent = false
	is.True(r.submitRequest(q).waits())
	is.True(!newRig(t, 4, preemptibleServer(0, "a")).submit("batch").waits())
}

// If all preemptible servers of a zone are withdrawn together, their requests
// must fit on the remaining servers. Requests of higher tiers would otherwise
// lose their slots.
func TestPreemptibleZoneLossIsAbsorbed(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0), preemptibleServer(1, "b"), preemptibleServer(2, "b"))
	use := &r.engine.pools["m"].use
	for use.onDemandFree > 0 {
		r.submit("draft")
		if use.onDemandFree > 0 {
			// If zone b were lost, all draft requests would have to fit on the on-demand server.
			is.True(use.preemptible[1].upTo(5)+use.onDemand.upTo(5) <= 4)
		}
	}
	is.True(use.preemptible[1].upTo(5) <= 3)
}

func TestPreemptibleSlotsPreferHigherTier(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, preemptibleServer(1, "b"))
	running := r.submit("batch")
	low, high := r.submit("batch"), r.submit("draft")
	r.answer(running, time.Millisecond)
	is.True(low.waits())
	is.True(!high.waits()) // no on-demand server is free: the zone cap must not pass the slot to the lower tier
}

func TestUnavailableDependencyRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0))
	q := r.request("status")
	q.Pool, q.Plain = "desk", true
	is.Equal(r.submitRequest(q).refusal, nil)
	leaving := onDemandServer(0)
	leaving.State = platform.ServerDraining
	r.engine.SetServers(r.now, []platform.Server{leaving})
	q = r.request("status")
	q.Pool, q.Plain = "desk", true
	h := r.submitRequest(q)
	is.Equal(h.refusal.Code, result.DependencyDown)
	is.True(h.refusal.NotRun())
}

func TestPoolWithoutServersRefuses(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4)
	h := r.submit("draft")
	is.True(h.waits())
	r.pass(noServerTimeout)
	is.Equal(h.refusal.Code, result.NoBackendServer)
	is.True(h.refusal.NotRun())
}

func TestDrainedZoneGetsNoRequests(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0))
	out := config.NewSnapshot(2, "", r.config.Config, nil, map[string]bool{"a": true})
	r.engine.SetConfig(r.now, out)
	is.True(r.submit("draft").waits())
	r.engine.SetConfig(r.now, r.config) // an older version must not undo the drain
	is.True(r.submit("draft").waits())
}

// Keys change often. A change must not rebuild the pools of a large fleet.
func TestKeyChangeKeepsPools(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0))
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

// A second Observe or Finish of the same attempt must not release its slot
// again.
func TestObserveIgnoresReleasedTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, onDemandServer(0))
	h := r.submit("draft")
	o := traffic.Observation{Target: h.targets[0], Complete: true}
	r.engine.Observe(r.now, h.job, o)
	r.engine.Observe(r.now, h.job, o)
	r.engine.Finish(r.now, h.job)
	r.engine.Finish(r.now, h.job)
	is.Equal(r.engine.store.Live("s0").Outstanding(), 0)
	is.True(!r.submit("draft").waits())
	is.True(r.submit("draft").waits()) // the released slot is not counted twice
}
