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

// chooser is a balancer that keeps what it is told.
type chooser struct {
	mu     sync.Mutex
	own    map[string]balance.Load
	sent   []balance.Sent
	others map[string]balance.Load
	noted  []balance.Sent
}

func (c *chooser) Loads() map[string]balance.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own
}

func (c *chooser) TakeSent() []balance.Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.sent
	c.sent = nil
	return sent
}

func (c *chooser) SetOthers(loads map[string]balance.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others = loads
}

func (c *chooser) NoteSent(sent []balance.Sent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noted = append(c.noted, sent...)
}

func (c *chooser) has(server string) balance.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.others[server]
}

func (c *chooser) notes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.noted)
}

// bench is a hub on a clock that tests move.
type bench struct {
	*Hub
	chooser  *chooser
	suspects *quarantine.Tracker
	clock    boottime.Instant
}

func newBench(own map[string]balance.Load) *bench {
	b := &bench{chooser: &chooser{own: own}, clock: boottime.Instant(time.Hour)}
	b.suspects = quarantine.New(quarantine.Options{Instance: "i", Notify: func(n quarantine.Notice) { b.Crashed(n) }})
	b.Hub = NewHub(b.chooser, b.suspects, func() boottime.Instant { return b.clock })
	return b
}

func newSuspects(instance string) *quarantine.Tracker {
	return quarantine.New(quarantine.Options{Instance: instance})
}

func loadsOf(inFlight, unread int) map[string]balance.Load {
	return map[string]balance.Load{"s": {InFlight: inFlight, Unread: unread}}
}

func told(t *testing.T, b *bench, s *subscriber) balance.Load {
	t.Helper()
	r, ok := b.report(s)
	if !ok {
		t.Fatalf("nothing is told to %s", s.instance)
	}
	return r.Loads["s"]
}

// TestEveryLoadReachesEveryInstanceOnce: a reader tells other readers of itself and
// its followers, and a follower of all but itself.
func TestEveryLoadReachesEveryInstanceOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(loadsOf(1, 0))
	reader, first, second := b.subscribe("r", Reader), b.subscribe("f1", Follower), b.subscribe("f2", Follower)
	b.took("r", Reader, Report{Loads: loadsOf(10, 0)})
	b.took("f1", Follower, Report{Loads: loadsOf(100, 0)})
	b.took("f2", Follower, Report{Loads: loadsOf(1000, 0)})
	b.turn()
	is.Equal(told(t, b, reader).InFlight, 1101)
	is.Equal(told(t, b, first).InFlight, 1011)
	is.Equal(told(t, b, second).InFlight, 111)
	is.Equal(b.chooser.has("s").InFlight, 1110)
}

func TestPromptsAreToldOnceToEachThatDoesNotKnowThem(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	reader, other, follower := b.subscribe("r", Reader), b.subscribe("r2", Reader), b.subscribe("f", Follower)
	b.chooser.sent = []balance.Sent{{Server: "s", Parts: []uint64{1}}}
	b.took("r", Reader, Report{Sent: []balance.Sent{{Server: "s", Parts: []uint64{2}}}})
	b.took("f", Follower, Report{Sent: []balance.Sent{{Server: "s", Parts: []uint64{3}}}})
	b.turn()
	prompts := func(s *subscriber) (ids []uint64) {
		r, _ := b.report(s)
		for _, p := range r.Sent {
			ids = append(ids, p.Parts...)
		}
		return ids
	}
	is.Equal(prompts(reader), []uint64{3, 1})
	is.Equal(prompts(other), []uint64{3, 1})
	is.Equal(prompts(follower), []uint64{2, 1})
	is.Equal(prompts(follower), nil)
	is.Equal(b.chooser.notes(), 2)
}

func TestLoadsFadeWhenAnInstanceFallsSilent(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.took("r", Reader, Report{Loads: loadsOf(1, 50_000)})
	b.turn()
	is.Equal(b.chooser.has("s"), balance.Load{InFlight: 1, Unread: 50_000})
	follower := b.subscribe("f", Follower)
	b.clock = b.clock.Add(500 * time.Millisecond)
	is.Equal(told(t, b, follower), balance.Load{InFlight: 1, Unread: 25_000}) // half is read
	b.clock = b.clock.Add(lifetime)
	b.turn()
	is.Equal(b.chooser.has("s"), balance.Load{})
	b.took("r", Reader, Report{Loads: loadsOf(1, 0)})
	b.lost("r")
	b.turn()
	is.Equal(b.chooser.has("s"), balance.Load{})
}

func TestNothingIsToldWithoutNewsButTheHeartbeat(t *testing.T) {
	is := is.New(t)
	b := newBench(loadsOf(1, 0))
	s := b.subscribe("r", Reader)
	b.turn()
	told(t, b, s)
	_, again := b.report(s)
	is.True(!again)
	b.clock = b.clock.Add(heartbeat)
	told(t, b, s)
}

func TestQueuedPromptsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	s := b.subscribe("f", Follower)
	for id := range uint64(2 * mostQueued) {
		b.took("r", Reader, Report{Sent: []balance.Sent{{Server: "s", Parts: []uint64{id}}}})
	}
	r, _ := b.report(s)
	is.Equal(len(r.Sent), mostQueued)
	is.Equal(r.Sent[mostQueued-1].Parts[0], uint64(2*mostQueued-1)) // the newest are kept
}

// TestCrashesAreToldToAllAlsoToThoseThatComeLater: an instance that has just come up
// must not run what crashed servers before.
func TestCrashesAreToldToAllAlsoToThoseThatComeLater(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	early := b.subscribe("r", Reader)
	run, ok := b.suspects.Start(7, "s", 0, time.Now())
	is.True(ok)
	run.Crashed(time.Now())
	for _, s := range []*subscriber{early, b.subscribe("f", Follower)} {
		r, _ := b.report(s)
		is.Equal(len(r.Crashes), 1)
		is.Equal(r.Crashes[0].Fingerprints, []uint64{7})
		_, again := b.report(s)
		is.True(!again)
	}
}

// TestCrashesThatOthersSawAreLearntAndPassedOn: two crashes of one request make all
// refuse it.
func TestCrashesThatOthersSawAreLearntAndPassedOn(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	reader := b.subscribe("r", Reader)
	long := time.Now().Add(-time.Minute).UnixMilli()
	for i, server := range []string{"s", "t"} {
		n := quarantine.Notice{Reporter: "f", Server: server, UnixMillis: long + int64(i), Fingerprints: []uint64{7}}
		b.took("f", Follower, Report{Crashes: []quarantine.Notice{n}})
	}
	is.True(b.suspects.Refused(7, time.Now()))
	r, _ := b.report(reader)
	is.Equal(len(r.Crashes), 2)
}
