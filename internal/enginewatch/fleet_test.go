package enginewatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

const (
	testTick  = 50 * time.Millisecond
	testStart = 1_700_000_000 // Unix seconds
)

// testEngine answers reads as an engine does.
type testEngine struct {
	name   string
	epoch  uint64
	events []engineapi.CacheEvent
	clock  time.Duration // ahead of the instances' clocks
	lag    time.Duration // between two reports
	reads  int
}

func (e *testEngine) store(prefixes ...uint64) {
	for _, p := range prefixes {
		e.events = append(e.events, engineapi.CacheEvent{Sequence: e.last() + 1, Prefix: p, Stored: true})
	}
}

func (e *testEngine) last() uint64 {
	if len(e.events) == 0 {
		return 0
	}
	return e.events[len(e.events)-1].Sequence
}

func (e *testEngine) restart() {
	e.epoch++
	e.events = nil
}

func (e *testEngine) answer(now time.Time, r read) readResult {
	e.reads++
	measured := now.Add(e.clock).Truncate(max(e.lag, time.Millisecond))
	result := readResult{
		load:     engineapi.LoadReport{Epoch: e.epoch, Running: int(measured.Unix() - testStart), UnixMillis: measured.UnixMilli()},
		hasCache: r.cache,
		cache:    engineapi.CacheEvents{Epoch: e.epoch},
	}
	for _, event := range e.events {
		if r.cache && event.Sequence > r.after {
			result.cache.Events = append(result.cache.Events, event)
		}
	}
	return result
}

// testInstance is one instance of a testFleet, with what its sink got.
type testInstance struct {
	name    string
	core    *Core
	dead    bool
	reports map[string]engineapi.LoadReport
	fresh   map[string]time.Time // arrival of the last report
	hints   map[string]map[uint64]bool
	next    map[string]uint64 // sequence of the last cache event
	epochs  map[string]uint64
	gaps    int
	// counting leaves hints out of a measurement.
	counting bool
	sent     count // to other instances
	got      count
	asked    count // of engines, requests and answers
}

type count struct{ messages, bytes int }

func (c *count) add(bytes int) {
	c.messages++
	c.bytes += bytes
}

// testMessage is a digest under way.
type testMessage struct {
	from, to string
	body     []byte
	at       time.Time
}

// testFleet runs cores over a network and engines in memory. Time passes by run.
type testFleet struct {
	t         *testing.T
	now       time.Time
	instances []*testInstance
	byName    map[string]*testInstance
	engines   []*testEngine
	byEngine  map[string]*testEngine
	network   []testMessage
	tick      time.Duration
	// fate returns the delays of the copies of a message; none means lost.
	fate func(testMessage) []time.Duration
	each func()
}

func newFleet(t *testing.T, members []Member, servers []Server) *testFleet {
	f := &testFleet{
		t: t, now: time.Unix(testStart, 0), tick: testTick,
		byName: make(map[string]*testInstance), byEngine: make(map[string]*testEngine),
		fate: func(testMessage) []time.Duration { return []time.Duration{time.Millisecond} },
	}
	for _, s := range servers {
		e := &testEngine{name: s.Name, epoch: 1}
		f.engines = append(f.engines, e)
		f.byEngine[s.Name] = e
	}
	for _, m := range members {
		i := &testInstance{
			name: m.Name, core: newCore(m.Name),
			reports: make(map[string]engineapi.LoadReport), fresh: make(map[string]time.Time),
			hints: make(map[string]map[uint64]bool), next: make(map[string]uint64), epochs: make(map[string]uint64),
		}
		f.instances = append(f.instances, i)
		f.byName[m.Name] = i
	}
	f.setPlan(NewPlan(members, servers), f.instances...)
	return f
}

func (f *testFleet) setPlan(p *Plan, instances ...*testInstance) {
	list := make([]watched, len(f.engines))
	for i, e := range f.engines {
		list[i] = watched{name: e.name, address: e.name}
	}
	for _, i := range instances {
		i.core.setPlan(f.now, p, list)
	}
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(f.tick) {
		if f.each != nil {
			f.each()
		}
		f.deliver()
		for _, i := range f.instances {
			if !i.dead {
				f.step(i)
			}
		}
	}
}

func (f *testFleet) step(i *testInstance) {
	for _, r := range i.core.due(f.now) {
		result := f.byEngine[r.server.name].answer(f.now, r)
		i.asked.add(readBytes)
		if r.cache {
			i.asked.add(cacheReadBytes + cacheEventBytes*len(result.cache.Events))
		}
		i.take(f, i.core.done(f.now, r, result))
	}
	for _, o := range i.core.flush(f.now) {
		body, err := o.digest.encode()
		if err != nil {
			f.t.Fatal(err)
		}
		i.sent.add(len(body))
		f.send(testMessage{from: i.name, to: o.peer, body: body, at: f.now})
	}
}

func (f *testFleet) send(m testMessage) {
	for _, delay := range f.fate(m) {
		copied := m
		copied.at = f.now.Add(delay)
		f.network = append(f.network, copied)
	}
}

func (f *testFleet) deliver() {
	kept := f.network[:0]
	for _, m := range f.network {
		if m.at.After(f.now) {
			kept = append(kept, m)
			continue
		}
		to := f.byName[m.to]
		if to == nil || to.dead {
			continue
		}
		d, err := decodeDigest(m.body)
		if err != nil {
			f.t.Fatal(err)
		}
		to.got.add(len(m.body))
		to.take(f, to.core.take(f.now, m.from, &d))
	}
	f.network = kept
}

// take does what a router does with news, and judges their order.
func (i *testInstance) take(f *testFleet, list []news) {
	for _, n := range list {
		if n.load != nil {
			last := i.reports[n.server]
			if n.load.Epoch < last.Epoch || n.load.Epoch == last.Epoch && n.load.UnixMillis < last.UnixMillis {
				f.t.Fatalf("%s got an older report of %s", i.name, n.server)
			}
			if n.load.Epoch == last.Epoch && n.load.Running < last.Running {
				f.t.Fatalf("%s got report %d of %s after %d", i.name, n.load.Running, n.server, last.Running)
			}
			i.reports[n.server] = *n.load
			i.fresh[n.server] = f.now
			i.see(n.server, n.load.Epoch)
		}
		if n.cache != nil {
			i.see(n.server, n.cache.Epoch)
			i.cacheEvents(n.server, n.cache.Events)
		}
	}
}

func (i *testInstance) see(server string, epoch uint64) {
	if epoch > i.epochs[server] {
		i.epochs[server] = epoch
		i.hints[server] = make(map[uint64]bool)
		i.next[server] = 0
	}
}

func (i *testInstance) cacheEvents(server string, events []engineapi.CacheEvent) {
	if i.counting {
		return
	}
	for _, e := range events {
		if last := i.next[server]; last != 0 && e.Sequence != last+1 {
			i.gaps++
			i.hints[server] = make(map[uint64]bool)
		}
		i.next[server] = e.Sequence
		i.hints[server][e.Prefix] = e.Stored
	}
}

// stalest returns the greatest time since an instance got a report of a server
// in its subset.
func (f *testFleet) stalest() time.Duration {
	var worst time.Duration
	for _, i := range f.instances {
		if i.dead {
			continue
		}
		for _, t := range i.core.tracks {
			worst = max(worst, f.now.Sub(i.fresh[t.server.name]))
		}
	}
	return worst
}

func (f *testFleet) readsOf(run func()) int {
	before := 0
	for _, e := range f.engines {
		before -= e.reads
	}
	run()
	for _, e := range f.engines {
		before += e.reads
	}
	return before
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func smallFleetOf(t *testing.T, members, engines int) *testFleet {
	return newFleet(t, testMembers(members, 4), testServers(engines, 4, 3))
}

func (f *testFleet) owner(server string) *testInstance {
	for _, i := range f.instances {
		if t := i.core.byName[server]; t != nil && len(t.better) == 0 && !i.dead {
			return i
		}
	}
	f.t.Fatal(fmt.Errorf("no instance owns %s", server))
	return nil
}
