package enginewatch

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"
)

const (
	// envelopeBytes is the overhead of a digest: the message envelope and a
	// QUIC packet around it.
	envelopeBytes = 43
	// cacheReadBytes is the size of a read of cache events without the events.
	cacheReadBytes = 250
	// cacheEventBytes is the size of one event in the engine's response.
	cacheEventBytes = 65
	measuredModels  = 28
	measuredEvents  = 128 // stored by an engine
)

// bandwidth is the traffic of one instance in bytes per second.
type bandwidth struct{ sent, received, reads, total float64 }

// fleetMetrics describes the traffic of a measured fleet.
type fleetMetrics struct {
	subset, owned, receivers                     float64 // mean per instance
	messages                                     float64 // sent per second and instance
	mean, worst                                  bandwidth
	readInterval, flushInterval, maxAge, meanAge time.Duration
}

// meanReceivers returns the mean number of instances that an instance sends to.
func (f *testFleet) meanReceivers() float64 {
	n := 0
	for _, i := range f.instances {
		n += i.core.workload().receivers
	}
	return float64(n) / float64(len(f.instances))
}

func measureFleet(t *testing.T, members, servers, models int) fleetMetrics {
	f := newFleet(t, testMembers(members, testZones), testServers(servers, testZones, models))
	random := newRand(7)
	f.onTick = func() { // every engine stores 20 prefixes a second
		if members > maxCacheFleet {
			return
		}
		for _, e := range f.engines {
			e.store(random.Uint64())
			if len(e.events) > measuredEvents {
				e.events = append(e.events[:0], e.events[len(e.events)/2:]...)
			}
		}
	}
	for _, i := range f.instances {
		i.ignoreHints = true
	}
	if members > maxCacheFleet {
		f.tick = 10 * testTick
	}
	window := 30 * time.Second
	if members <= maxSmallFleet {
		window = 12 * time.Second
	}
	f.run(window)
	for _, i := range f.instances {
		i.sent, i.received, i.engineTraffic = traffic{}, traffic{}, traffic{}
	}
	f.run(window)
	return f.metrics(window)
}

func (f *testFleet) metrics(window time.Duration) fleetMetrics {
	var r fleetMetrics
	n := float64(len(f.instances))
	for _, i := range f.instances {
		s := bandwidth{
			sent:     float64(i.sent.bytes+i.sent.messages*envelopeBytes) / window.Seconds(),
			received: float64(i.received.bytes+i.received.messages*envelopeBytes) / window.Seconds(),
			reads:    float64(i.engineTraffic.bytes) / window.Seconds(),
		}
		s.total = s.sent + s.reads
		r.mean.add(s, n)
		r.worst.maximize(s)
		r.messages += float64(i.sent.messages) / window.Seconds() / n
		r.subset += float64(len(i.core.tracks)) / n
		r.owned += float64(i.core.workload().engines) / n
		r.readInterval = max(r.readInterval, i.core.intervals.read)
		r.flushInterval = max(r.flushInterval, i.core.intervals.flush)
		for _, t := range i.core.tracks {
			r.meanAge += f.now.Sub(t.measuredAt) / time.Duration(len(f.instances)*len(i.core.tracks))
		}
	}
	r.receivers = f.meanReceivers()
	r.maxAge = f.maxReportAge()
	return r
}

func (s *bandwidth) add(o bandwidth, n float64) {
	s.sent += o.sent / n
	s.received += o.received / n
	s.reads += o.reads / n
	s.total += o.total / n
}

func (s *bandwidth) maximize(o bandwidth) {
	s.sent = max(s.sent, o.sent)
	s.received = max(s.received, o.received)
	s.reads = max(s.reads, o.reads)
	s.total = max(s.total, o.total)
}

// heapKiB returns the heap size of one instance's plan and core.
func heapKiB(members, servers, models int) float64 {
	m, s := testMembers(members, testZones), testServers(servers, testZones, models)
	list := make([]watched, len(s))
	for i := range s {
		list[i] = watched{name: s[i].Name, address: s[i].Name}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := NewPlan(m, s)
	core := newCore(m[0].Name)
	core.setPlan(time.Unix(0, 0), p, list)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(p)
	runtime.KeepAlive(core)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / 1024
}

// table makes TestInstanceBandwidth measure every fleet size.
var table = flag.Bool("table", false, "measure every size of fleet")

const tableHead = "| instances | servers | subset | reads | sends to | read every | digest every | messages/s | sent B/s | received B/s | reads B/s | sent and reads B/s | most | mean age | oldest | KiB |"

// TestInstanceBandwidth prints the traffic by fleet size and checks it against
// this package's part of the 3 KB per second that a node may use for control
// traffic.
func TestInstanceBandwidth(t *testing.T) {
	t.Log(tableHead)
	for _, members := range []int{2, 8, 50, 410} {
		for _, servers := range []int{20, 200, 12000} {
			target := members == 410 && servers == 12000
			today := members == 8 && servers == 20
			if !target && !today && !*table {
				continue
			}
			models := min(measuredModels, max(servers/10, 1))
			r := measureFleet(t, members, servers, models)
			t.Log(r.row(members, servers, heapKiB(members, servers, models)))
			if members == 410 && r.worst.total > totalBudget {
				t.Errorf("an instance of %d with %d servers uses %.0f bytes per second, limit %d",
					members, servers, r.worst.total, totalBudget)
			}
			if today && r.maxAge > time.Second {
				t.Errorf("a report is %s old in a fleet of %d instances", r.maxAge, members)
			}
		}
	}
}

func (r *fleetMetrics) row(members, servers int, heap float64) string {
	return fmt.Sprintf("| %d | %d | %.0f | %.1f | %.1f | %.1fs | %.1fs | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1fs | %.1fs | %.0f |",
		members, servers, r.subset, r.owned, r.receivers, r.readInterval.Seconds(), r.flushInterval.Seconds(), r.messages,
		r.mean.sent, r.mean.received, r.mean.reads, r.mean.total, r.worst.total,
		r.meanAge.Seconds(), r.maxAge.Seconds(), heap)
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ members, servers, models int }{{8, 20, 2}, {50, 200, 20}, {410, 12000, 28}} {
		m, s := testMembers(size.members, testZones), testServers(size.servers, testZones, size.models)
		b.Run(fmt.Sprintf("%dx%d", size.members, size.servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewPlan(m, s)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	m, s := testMembers(410, testZones), testServers(12000, testZones, 28)
	list := make([]watched, len(s))
	for i := range s {
		list[i] = watched{name: s[i].Name, address: s[i].Name}
	}
	core := newCore(m[0].Name)
	now := time.Unix(1_700_000_000, 0)
	core.setPlan(now, NewPlan(m, s), list)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(tickInterval)
		for _, r := range core.dueReads(now) {
			core.finishRead(now, r, readResult{load: (&testEngine{epoch: 1}).answer(now, r).load})
		}
		core.flush(now)
	}
}
