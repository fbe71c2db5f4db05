package reports

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

// fakeBalancer records what it is given.
type fakeBalancer struct {
	mu       sync.Mutex
	own      map[string]balance.Load
	sent     []balance.SentPrompt
	others   map[string]balance.Load
	recorded []balance.SentPrompt
	limits   []balance.NamedLimit
	heard    map[string][]balance.NamedLimit // the newest, by origin
}

func (f *fakeBalancer) NamedLimits() []balance.NamedLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits
}

func (f *fakeBalancer) ObserveNamedLimits(instance string, _ time.Duration, limits []balance.NamedLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard == nil {
		f.heard = map[string][]balance.NamedLimit{}
	}
	f.heard[instance] = limits
}

func (f *fakeBalancer) Loads() map[string]balance.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own
}

func (f *fakeBalancer) TakeSent() []balance.SentPrompt {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := f.sent
	f.sent = nil
	return sent
}

func (f *fakeBalancer) SetOthers(loads map[string]balance.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others = loads
}

func (f *fakeBalancer) RecordSent(sent []balance.SentPrompt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded = append(f.recorded, sent...)
}

func (f *fakeBalancer) othersOn(server string) balance.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.others[server]
}

func (f *fakeBalancer) recordedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.recorded)
}

// testHub is a hub whose clock the test advances.
type testHub struct {
	*Hub
	balancer *fakeBalancer
	tracker  *quarantine.Tracker
	clock    boottime.Instant
}

func newTestHub(own map[string]balance.Load) *testHub {
	h := &testHub{balancer: &fakeBalancer{own: own}, clock: boottime.Instant(time.Hour)}
	h.tracker = quarantine.New(quarantine.Options{Instance: "i", Notify: func(n quarantine.Notice) { h.QueueCrash(n) }})
	h.Hub = NewHub("i", h.balancer, h.tracker, func() boottime.Instant { return h.clock })
	return h
}

func newTracker(instance string) *quarantine.Tracker {
	return quarantine.New(quarantine.Options{Instance: instance})
}

func loadsOf(inFlight, pending int) map[string]balance.Load {
	return map[string]balance.Load{"s": {InFlight: inFlight, PendingPrefill: pending}}
}

// snapshotOf returns the snapshot of an instance that has run for a minute.
func snapshotOf(origin string, sequence uint64, loads map[string]balance.Load) Snapshot {
	return Snapshot{Origin: origin, Incarnation: 1, Sequence: sequence, UptimeMillis: 60_000, Loads: loads}
}

// receiveLoad delivers the first snapshot of an instance, which sends it itself.
func (h *testHub) receiveLoad(origin string, relation Relation, loads map[string]balance.Load) {
	h.receive(origin, relation, Report{Snapshots: []Snapshot{snapshotOf(origin, 1, loads)}})
}

// promptsOf returns the snapshot of an instance that sent one prompt.
func promptsOf(origin string, sequence, part uint64) Report {
	s := snapshotOf(origin, sequence, nil)
	s.Sent = []balance.SentPrompt{{Server: "s", Parts: []uint64{part}}}
	return Report{Snapshots: []Snapshot{s}}
}

// totalLoad returns the sum of the loads in a report.
func totalLoad(r Report) balance.Load {
	var total balance.Load
	for _, s := range r.Snapshots {
		total = total.Add(s.Loads["s"].After(s.age()))
	}
	return total
}

func reportedLoad(t *testing.T, h *testHub, s *subscriber) balance.Load {
	t.Helper()
	r, ok := h.nextReport(s)
	if !ok {
		t.Fatalf("no report for %s", s.instance)
	}
	return totalLoad(r)
}

// TestLoadCountedOnce guards against loads that reach an instance twice or not at
// all. A reader must report itself and its followers to other readers, and to each
// follower everything but that follower's own load.
func TestLoadCountedOnce(t *testing.T) {
	is := is.New(t)
	h := newTestHub(loadsOf(1, 0))
	reader, first, second := h.subscribe("r", RelationPeer), h.subscribe("f1", RelationFollower), h.subscribe("f2", RelationFollower)
	h.receiveLoad("r", RelationPeer, loadsOf(10, 0))
	h.receiveLoad("f1", RelationFollower, loadsOf(100, 0))
	h.receiveLoad("f2", RelationFollower, loadsOf(1000, 0))
	h.publish()
	is.Equal(reportedLoad(t, h, reader).InFlight, 1101)
	is.Equal(reportedLoad(t, h, first).InFlight, 1011)
	is.Equal(reportedLoad(t, h, second).InFlight, 111)
	is.Equal(h.balancer.othersOn("s").InFlight, 1110)
	late := h.subscribe("f3", RelationFollower)
	is.Equal(reportedLoad(t, h, late).InFlight, 1111)
}

// TestLoadHeardTwice guards against a load that counts again when it arrives again, over
// another instance, out of order, or as this instance's own.
func TestLoadHeardTwice(t *testing.T) {
	is := is.New(t)
	h := newTestHub(loadsOf(1, 0))
	follower := h.subscribe("f", RelationFollower)
	first, second := snapshotOf("x", 1, loadsOf(10, 0)), snapshotOf("x", 2, loadsOf(20, 0))
	own := snapshotOf("i", 9, loadsOf(1000, 0))
	for _, from := range []string{"r", "q", "r"} {
		h.receive(from, RelationPeer, Report{Snapshots: []Snapshot{second, first, own, second}})
	}
	h.publish()
	is.Equal(h.balancer.othersOn("s").InFlight, 20)
	is.Equal(reportedLoad(t, h, follower).InFlight, 21)
	h.receive("q", RelationPeer, Report{Snapshots: []Snapshot{second, first, own}})
	h.publish()
	_, ok := h.nextReport(follower)
	is.True(!ok)
	is.Equal(h.origins.refused, [len(refusalNames)]uint64{refusedOwn: 4, refusedKnown: 10})
}

// TestRestartedInstance guards against the loads of a restarted instance that are
// ignored because it counts from 1 again, and against loads of before the restart.
func TestRestartedInstance(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	before := snapshotOf("x", 70, loadsOf(10, 0))
	h.receive("x", RelationPeer, Report{Snapshots: []Snapshot{before}})
	h.clock = h.clock.Add(time.Second)
	after := Snapshot{Origin: "x", Incarnation: 2, Sequence: 1, UptimeMillis: 200, Loads: loadsOf(3, 0)}
	h.receive("x", RelationPeer, Report{Snapshots: []Snapshot{after}})
	before.Sequence, before.UptimeMillis, before.AgeMillis = 71, 60_100, 900
	h.receive("r", RelationPeer, Report{Snapshots: []Snapshot{before}})
	h.publish()
	is.Equal(h.balancer.othersOn("s").InFlight, 3)
	is.Equal(h.origins.refused[refusedStart], uint64(1))
}

func TestPromptsForwardedOnce(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	reader, other, follower := h.subscribe("r", RelationPeer), h.subscribe("r2", RelationPeer), h.subscribe("f", RelationFollower)
	h.balancer.sent = []balance.SentPrompt{{Server: "s", Parts: []uint64{1}}}
	for range 2 {
		h.receive("r", RelationPeer, promptsOf("r", 1, 2))
		h.receive("f", RelationFollower, promptsOf("f", 1, 3))
		h.receive("f", RelationFollower, promptsOf("f", 2, 4))
	}
	h.publish()
	prompts := func(s *subscriber) (ids []uint64) {
		r, _ := h.nextReport(s)
		for _, snapshot := range r.Snapshots {
			for _, p := range snapshot.Sent {
				ids = append(ids, p.Parts...)
			}
		}
		slices.Sort(ids)
		return ids
	}
	is.Equal(prompts(reader), []uint64{1, 3, 4})
	is.Equal(prompts(other), []uint64{1, 3, 4})
	is.Equal(prompts(follower), []uint64{1, 2})
	is.Equal(prompts(follower), nil)
	is.Equal(h.balancer.recordedCount(), 3)
	is.Equal(prompts(h.subscribe("f2", RelationFollower)), nil) // only prompts sent since the subscription
}

func TestLoadsExpire(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	h.receiveLoad("r", RelationPeer, loadsOf(1, 50_000))
	h.publish()
	is.Equal(h.balancer.othersOn("s"), balance.Load{InFlight: 1, PendingPrefill: 50_000})
	follower := h.subscribe("f", RelationFollower)
	h.clock = h.clock.Add(500 * time.Millisecond)
	is.Equal(reportedLoad(t, h, follower), balance.Load{InFlight: 1, PendingPrefill: 25_000}) // half of it is prefilled
	h.clock = h.clock.Add(loadsTTL)
	h.publish()
	is.Equal(h.balancer.othersOn("s"), balance.Load{})
	old := snapshotOf("r", 2, loadsOf(1, 0))
	old.AgeMillis = loadsTTL.Milliseconds() + 1
	h.receive("q", RelationPeer, Report{Snapshots: []Snapshot{old}})
	h.publish()
	is.Equal(h.balancer.othersOn("s"), balance.Load{})
}

// TestLoadEndsWithItsOrigin guards against the load of a stopped instance that others
// keep passing on: its time to live counts from the origin.
func TestLoadEndsWithItsOrigin(t *testing.T) {
	is := is.New(t)
	circle := []*testHub{newTestHub(nil), newTestHub(nil), newTestHub(nil)}
	var next []*subscriber
	for _, h := range circle {
		next = append(next, h.subscribe("next", RelationFollower))
	}
	circle[0].receiveLoad("stopped", RelationFollower, loadsOf(7, 0))
	const step = 250 * time.Millisecond
	for elapsed := time.Duration(0); elapsed <= loadsTTL; elapsed += step {
		for n, h := range circle {
			h.publish()
			if r, ok := h.nextReport(next[n]); ok {
				circle[(n+1)%len(circle)].receive("previous", RelationFollower, r)
			}
		}
		for _, h := range circle {
			h.clock = h.clock.Add(step)
		}
	}
	for _, h := range circle {
		h.publish()
		is.Equal(h.balancer.othersOn("s"), balance.Load{})
		is.True(h.origins.byName["stopped"] != nil) // a late copy is still recognised
		h.clock = h.clock.Add(originTTL)
		h.publish()
		is.Equal(len(h.origins.byName), 0)
	}
}

func TestHubSkipsUnchangedReports(t *testing.T) {
	is := is.New(t)
	h := newTestHub(loadsOf(1, 0))
	s := h.subscribe("r", RelationPeer)
	h.publish()
	reportedLoad(t, h, s)
	h.publish()
	_, ok := h.nextReport(s)
	is.True(!ok)
	h.clock = h.clock.Add(heartbeatInterval)
	h.publish()
	is.Equal(reportedLoad(t, h, s).InFlight, 1)
}

func TestQueuedPromptsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	s := h.subscribe("f", RelationFollower)
	for n := range uint64(2 * maxQueued) {
		h.receive("r", RelationPeer, promptsOf("r", n+1, n))
	}
	r, _ := h.nextReport(s)
	is.Equal(len(r.Snapshots), 1)
	is.Equal(len(r.Snapshots[0].Sent), maxQueued)
	is.Equal(r.Snapshots[0].Sent[maxQueued-1].Parts[0], uint64(2*maxQueued-1)) // the oldest were dropped
}

func TestOriginsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	for n := range maxOrigins + 10 {
		h.receiveLoad(fmt.Sprint(n), RelationPeer, loadsOf(1, 0))
	}
	h.publish()
	is.Equal(h.balancer.othersOn("s").InFlight, maxOrigins)
}

// TestCrashNoticesReachLateSubscribers: a newly started instance must not run a
// request that crashed servers before it started.
func TestCrashNoticesReachLateSubscribers(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	early := h.subscribe("r", RelationPeer)
	run, ok := h.tracker.Start(quarantine.Request{Fingerprint: 7}, "s", 0, time.Now())
	is.True(ok)
	run.Crashed(time.Now())
	for _, s := range []*subscriber{early, h.subscribe("f", RelationFollower)} {
		r, _ := h.nextReport(s)
		is.Equal(len(r.Crashes), 1)
		is.Equal(r.Crashes[0].Fingerprints, []uint64{7})
		_, ok := h.nextReport(s)
		is.True(!ok)
	}
}

// TestCrashNoticesAreForwarded: after two crashes of one request, seen by another
// instance, all instances must reject it.
func TestCrashNoticesAreForwarded(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	reader := h.subscribe("r", RelationPeer)
	start := time.Now().Add(-time.Minute).UnixMilli()
	for i, server := range []string{"s", "t"} {
		n := quarantine.Notice{Reporter: "f", Server: server, UnixMillis: start + int64(i), Fingerprints: []uint64{7}}
		h.receive("f", RelationFollower, Report{Crashes: []quarantine.Notice{n}})
	}
	is.True(h.tracker.Refused(quarantine.Request{Fingerprint: 7}, time.Now()))
	r, _ := h.nextReport(reader)
	is.Equal(len(r.Crashes), 2)
}

// TestCrashNoticesEnd guards against notices that instances pass on for ever while they
// disagree on who follows whom: each of three takes the next one for its follower.
func TestCrashNoticesEnd(t *testing.T) {
	is := is.New(t)
	circle := []*testHub{newTestHub(nil), newTestHub(nil), newTestHub(nil)}
	var next []*subscriber
	for _, h := range circle {
		next = append(next, h.subscribe("next", RelationFollower))
	}
	crash := quarantine.Notice{Reporter: "x", Server: "s", UnixMillis: time.Now().UnixMilli(), Fingerprints: []uint64{7, 8}}
	cleared := quarantine.Notice{Reporter: "x", UnixMillis: time.Now().UnixMilli(), Cleared: 8}
	harmless := quarantine.Notice{Reporter: "x", Server: "t", UnixMillis: crash.UnixMillis, Fingerprints: []uint64{8}}
	circle[0].receive("x", RelationFollower, Report{Crashes: []quarantine.Notice{crash, harmless, cleared}})
	for range 2 * len(circle) {
		for n := range circle {
			if r, ok := circle[n].nextReport(next[n]); ok {
				circle[(n+1)%len(circle)].receive("previous", RelationFollower, r)
			}
		}
	}
	for n, h := range circle {
		is.Equal(len(next[n].crashes), 0)
		is.Equal(len(h.tracker.Notices(time.Now())), 1)
	}
}

// TestNamedLimitsArePassedOn guards against rate limits of servers that followers do not
// learn of, and against those of an instance under the name of another one.
func TestNamedLimitsArePassedOn(t *testing.T) {
	is := is.New(t)
	h := newTestHub(loadsOf(1, 0))
	own := []balance.NamedLimit{{Server: "s", Rate: 1, FromMillis: 20, ToMillis: 10}}
	other := []balance.NamedLimit{{Server: "t", Rate: 2, FromMillis: 40, ToMillis: 30}}
	h.balancer.limits = own
	follower := h.subscribe("f", RelationFollower)
	s := snapshotOf("x", 1, nil)
	s.Limits = other
	h.receive("r", RelationPeer, Report{Snapshots: []Snapshot{s}})
	is.Equal(h.balancer.heard["x"], other)
	h.publish()
	h.clock = h.clock.Add(300 * time.Millisecond)
	r, ok := h.nextReport(follower)
	is.True(ok)
	limits := map[string][]balance.NamedLimit{}
	for _, s := range r.Snapshots {
		limits[s.Origin] = s.Limits
		is.Equal(s.AgeMillis, int64(300))
	}
	is.Equal(limits, map[string][]balance.NamedLimit{"i": own, "x": other})
}
