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

// testEngine simulates an engine.
type testEngine struct {
	name   string
	epoch  uint64
	events []engineapi.CacheEvent
	clock  time.Duration // offset from the instances' clocks
	lag    time.Duration // time between two reports
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

func (e *testEngine) answer(now time.Time, r readTask) readResult {
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

// testInstance is one instance of a testFleet, with what its sink received.
type testInstance struct {
	name       string
	core       *Core
	crashed    bool
	reports    map[string]engineapi.LoadReport
	lastReport map[string]time.Time // arrival of the last report
	hints      map[string]map[uint64]bool
	lastEvent  map[string]uint64 // sequence number of the last cache event
	epochs     map[string]uint64
	gaps       int
	// ignoreHints disables the tracking of hints in measurements.
	ignoreHints   bool
	sent          traffic // to other instances
	received      traffic
	engineTraffic traffic // requests to engines and their responses
}

type traffic struct{ messages, bytes int }

func (c *traffic) add(bytes int) {
	c.messages++
	c.bytes += bytes
}

// testMessage is a digest in transit.
type testMessage struct {
	from, to string
	body     []byte
	at       time.Time
}

// testFleet runs cores with a network and engines in memory. The clock advances
// in run only.
type testFleet struct {
	t            *testing.T
	now          time.Time
	instances    []*testInstance
	byName       map[string]*testInstance
	engines      []*testEngine
	engineByName map[string]*testEngine
	network      []testMessage
	tick         time.Duration
	// copyDelays returns the delay of each copy of a message. None means that
	// the message is lost.
	copyDelays func(testMessage) []time.Duration
	onTick     func()
}

func newFleet(t *testing.T, members []Member, servers []Server) *testFleet {
	f := &testFleet{
		t: t, now: time.Unix(testStart, 0), tick: testTick,
		byName: make(map[string]*testInstance), engineByName: make(map[string]*testEngine),
		copyDelays: func(testMessage) []time.Duration { return []time.Duration{time.Millisecond} },
	}
	for _, s := range servers {
		e := &testEngine{name: s.Name, epoch: 1}
		f.engines = append(f.engines, e)
		f.engineByName[s.Name] = e
	}
	for _, m := range members {
		i := &testInstance{
			name: m.Name, core: newCore(m.Name),
			reports: make(map[string]engineapi.LoadReport), lastReport: make(map[string]time.Time),
			hints: make(map[string]map[uint64]bool), lastEvent: make(map[string]uint64), epochs: make(map[string]uint64),
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
		if f.onTick != nil {
			f.onTick()
		}
		f.deliver()
		for _, i := range f.instances {
			if !i.crashed {
				f.step(i)
			}
		}
	}
}

func (f *testFleet) step(i *testInstance) {
	for _, r := range i.core.dueReads(f.now) {
		result := f.engineByName[r.server.name].answer(f.now, r)
		i.engineTraffic.add(readBytes)
		if r.cache {
			i.engineTraffic.add(cacheReadBytes + cacheEventBytes*len(result.cache.Events))
		}
		i.apply(f, i.core.finishRead(f.now, r, result))
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
	for _, delay := range f.copyDelays(m) {
		copied := m
		copied.at = f.now.Add(delay)
		f.network = append(f.network, copied)
	}
}

func (f *testFleet) deliver() {
	inTransit := f.network[:0]
	for _, m := range f.network {
		if m.at.After(f.now) {
			inTransit = append(inTransit, m)
			continue
		}
		to := f.byName[m.to]
		if to == nil || to.crashed {
			continue
		}
		d, err := decodeDigest(m.body)
		if err != nil {
			f.t.Fatal(err)
		}
		to.received.add(len(m.body))
		to.apply(f, to.core.applyDigest(f.now, m.from, &d))
	}
	f.network = inTransit
}

// apply processes updates as a router does, and fails if they are out of order.
func (i *testInstance) apply(f *testFleet, list []update) {
	for _, n := range list {
		if n.load != nil {
			last := i.reports[n.server]
			if n.load.Epoch < last.Epoch || n.load.Epoch == last.Epoch && n.load.UnixMillis < last.UnixMillis {
				f.t.Fatalf("%s received an older report of %s", i.name, n.server)
			}
			if n.load.Epoch == last.Epoch && n.load.Running < last.Running {
				f.t.Fatalf("%s received report %d of %s after report %d", i.name, n.load.Running, n.server, last.Running)
			}
			i.reports[n.server] = *n.load
			i.lastReport[n.server] = f.now
			i.observeEpoch(n.server, n.load.Epoch)
		}
		if n.cache != nil {
			i.observeEpoch(n.server, n.cache.Epoch)
			i.cacheEvents(n.server, n.cache.Events)
		}
	}
}

func (i *testInstance) observeEpoch(server string, epoch uint64) {
	if epoch > i.epochs[server] {
		i.epochs[server] = epoch
		i.hints[server] = make(map[uint64]bool)
		i.lastEvent[server] = 0
	}
}

func (i *testInstance) cacheEvents(server string, events []engineapi.CacheEvent) {
	if i.ignoreHints {
		return
	}
	for _, e := range events {
		if last := i.lastEvent[server]; last != 0 && e.Sequence != last+1 {
			i.gaps++
			i.hints[server] = make(map[uint64]bool)
		}
		i.lastEvent[server] = e.Sequence
		i.hints[server][e.Prefix] = e.Stored
	}
}

// maxReportAge returns the longest time since an instance last received a
// report of a server in its subset.
func (f *testFleet) maxReportAge() time.Duration {
	var maxAge time.Duration
	for _, i := range f.instances {
		if i.crashed {
			continue
		}
		for _, t := range i.core.tracks {
			maxAge = max(maxAge, f.now.Sub(i.lastReport[t.server.name]))
		}
	}
	return maxAge
}

func (f *testFleet) countReads(run func()) int {
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

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func newSmallFleet(t *testing.T, members, engines int) *testFleet {
	return newFleet(t, testMembers(members, 4), testServers(engines, 4, 3))
}

func (f *testFleet) reader(server string) *testInstance {
	for _, i := range f.instances {
		if t := i.core.byName[server]; t != nil && len(t.predecessors) == 0 && !i.crashed {
			return i
		}
	}
	f.t.Fatal(fmt.Errorf("no running instance is the first reader of %s", server))
	return nil
}
