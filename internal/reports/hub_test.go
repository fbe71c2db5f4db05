package reports

import (
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
	h.Hub = NewHub(h.balancer, h.tracker, func() boottime.Instant { return h.clock })
	return h
}

func newTracker(instance string) *quarantine.Tracker {
	return quarantine.New(quarantine.Options{Instance: instance})
}

func loadsOf(inFlight, pending int) map[string]balance.Load {
	return map[string]balance.Load{"s": {InFlight: inFlight, PendingPrefill: pending}}
}

func reportedLoad(t *testing.T, h *testHub, s *subscriber) balance.Load {
	t.Helper()
	r, ok := h.nextReport(s)
	if !ok {
		t.Fatalf("no report for %s", s.instance)
	}
	return r.Loads["s"]
}

// TestLoadCountedOnce guards against loads that reach an instance twice or not at
// all. A reader must report itself and its followers to other readers, and to each
// follower everything but that follower's own load.
func TestLoadCountedOnce(t *testing.T) {
	is := is.New(t)
	h := newTestHub(loadsOf(1, 0))
	reader, first, second := h.subscribe("r", Reader), h.subscribe("f1", Follower), h.subscribe("f2", Follower)
	h.receive("r", Reader, Report{Loads: loadsOf(10, 0)})
	h.receive("f1", Follower, Report{Loads: loadsOf(100, 0)})
	h.receive("f2", Follower, Report{Loads: loadsOf(1000, 0)})
	h.publish()
	is.Equal(reportedLoad(t, h, reader).InFlight, 1101)
	is.Equal(reportedLoad(t, h, first).InFlight, 1011)
	is.Equal(reportedLoad(t, h, second).InFlight, 111)
	is.Equal(h.balancer.othersOn("s").InFlight, 1110)
}

func TestPromptsForwardedOnce(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	reader, other, follower := h.subscribe("r", Reader), h.subscribe("r2", Reader), h.subscribe("f", Follower)
	h.balancer.sent = []balance.SentPrompt{{Server: "s", Parts: []uint64{1}}}
	h.receive("r", Reader, Report{Sent: []balance.SentPrompt{{Server: "s", Parts: []uint64{2}}}})
	h.receive("f", Follower, Report{Sent: []balance.SentPrompt{{Server: "s", Parts: []uint64{3}}}})
	h.publish()
	prompts := func(s *subscriber) (ids []uint64) {
		r, _ := h.nextReport(s)
		for _, p := range r.Sent {
			ids = append(ids, p.Parts...)
		}
		return ids
	}
	is.Equal(prompts(reader), []uint64{3, 1})
	is.Equal(prompts(other), []uint64{3, 1})
	is.Equal(prompts(follower), []uint64{2, 1})
	is.Equal(prompts(follower), nil)
	is.Equal(h.balancer.recordedCount(), 2)
}

func TestLoadsExpire(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	h.receive("r", Reader, Report{Loads: loadsOf(1, 50_000)})
	h.publish()
	is.Equal(h.balancer.othersOn("s"), balance.Load{InFlight: 1, PendingPrefill: 50_000})
	follower := h.subscribe("f", Follower)
	h.clock = h.clock.Add(500 * time.Millisecond)
	is.Equal(reportedLoad(t, h, follower), balance.Load{InFlight: 1, PendingPrefill: 25_000}) // half of it is prefilled
	h.clock = h.clock.Add(loadsTTL)
	h.publish()
	is.Equal(h.balancer.othersOn("s"), balance.Load{})
	h.receive("r", Reader, Report{Loads: loadsOf(1, 0)})
	h.remove("r")
	h.publish()
	is.Equal(h.balancer.othersOn("s"), balance.Load{})
}

func TestHubSkipsUnchangedReports(t *testing.T) {
	is := is.New(t)
	h := newTestHub(loadsOf(1, 0))
	s := h.subscribe("r", Reader)
	h.publish()
	reportedLoad(t, h, s)
	_, ok := h.nextReport(s)
	is.True(!ok)
	h.clock = h.clock.Add(heartbeatInterval)
	reportedLoad(t, h, s)
}

func TestQueuedPromptsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	s := h.subscribe("f", Follower)
	for id := range uint64(2 * maxQueued) {
		h.receive("r", Reader, Report{Sent: []balance.SentPrompt{{Server: "s", Parts: []uint64{id}}}})
	}
	r, _ := h.nextReport(s)
	is.Equal(len(r.Sent), maxQueued)
	is.Equal(r.Sent[maxQueued-1].Parts[0], uint64(2*maxQueued-1)) // the oldest were dropped
}

// TestCrashNoticesReachLateSubscribers: a newly started instance must not run a
// request that crashed servers before it started.
func TestCrashNoticesReachLateSubscribers(t *testing.T) {
	is := is.New(t)
	h := newTestHub(nil)
	early := h.subscribe("r", Reader)
	run, ok := h.tracker.Start(7, "s", 0, time.Now())
	is.True(ok)
	run.Crashed(time.Now())
	for _, s := range []*subscriber{early, h.subscribe("f", Follower)} {
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
	reader := h.subscribe("r", Reader)
	start := time.Now().Add(-time.Minute).UnixMilli()
	for i, server := range []string{"s", "t"} {
		n := quarantine.Notice{Reporter: "f", Server: server, UnixMillis: start + int64(i), Fingerprints: []uint64{7}}
		h.receive("f", Follower, Report{Crashes: []quarantine.Notice{n}})
	}
	is.True(h.tracker.Refused(7, time.Now()))
	r, _ := h.nextReport(reader)
	is.Equal(len(r.Crashes), 2)
}
