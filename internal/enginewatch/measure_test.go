package enginewatch

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"
)

const (
	// envelopeBytes is what a digest takes beside its body: the envelope and a
	// QUIC packet around it.
	envelopeBytes = 43
	// cacheReadBytes is a read of cache events without the events.
	cacheReadBytes = 250
	// cacheEventBytes is one event in the engine's answer.
	cacheEventBytes = 65
	measuredModels  = 28
	measuredEvents  = 128 // kept by an engine
)

// spending is what one instance spent over the measured time.
type spending struct{ sent, got, reads, total float64 } // bytes per second

// fleetFigures is the traffic of a measured fleet.
type fleetFigures struct {
	subset, owned, receivers             float64 // mean by instance
	messages                             float64 // sent per second and instance
	mean, worst                          spending
	readEvery, flushEvery, stalest, aged time.Duration
}

// receiversOf is the mean number of instances that one sends to.
func (f *testFleet) receiversOf() float64 {
	n := 0
	for _, i := range f.instances {
		n += i.core.duties().receivers
	}
	return float64(n) / float64(len(f.instances))
}

func measureFleet(t *testing.T, members, servers, models int) fleetFigures {
	f := newFleet(t, testMembers(members, testZones), testServers(servers, testZones, models))
	random := seeded(7)
	f.each = func() { // every engine stores 20 prefixes a second
		if members > cacheFleet {
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
		i.counting = true
	}
	if members > cacheFleet {
		f.tick = 10 * testTick
	}
	window := 30 * time.Second
	if members <= smallFleet {
		window = 12 * time.Second
	}
	f.run(window)
	for _, i := range f.instances {
		i.sent, i.got, i.asked = count{}, count{}, count{}
	}
	f.run(window)
	return f.figures(window)
}

func (f *testFleet) figures(window time.Duration) fleetFigures {
	var r fleetFigures
	n := float64(len(f.instances))
	for _, i := range f.instances {
		s := spending{
			sent:  float64(i.sent.bytes+i.sent.messages*envelopeBytes) / window.Seconds(),
			got:   float64(i.got.bytes+i.got.messages*envelopeBytes) / window.Seconds(),
			reads: float64(i.asked.bytes) / window.Seconds(),
		}
		s.total = s.sent + s.reads
		r.mean.add(s, n)
		r.worst.raise(s)
		r.messages += float64(i.sent.messages) / window.Seconds() / n
		r.subset += float64(len(i.core.tracks)) / n
		r.owned += float64(i.core.duties().owned) / n
		r.readEvery = max(r.readEvery, i.core.pace.read)
		r.flushEvery = max(r.flushEvery, i.core.pace.flush)
		for _, t := range i.core.tracks {
			r.aged += f.now.Sub(t.measured) / time.Duration(len(f.instances)*len(i.core.tracks))
		}
	}
	r.receivers = f.receiversOf()
	r.stalest = f.stalest()
	return r
}

func (s *spending) add(o spending, n float64) {
	s.sent += o.sent / n
	s.got += o.got / n
	s.reads += o.reads / n
	s.total += o.total / n
}

func (s *spending) raise(o spending) {
	s.sent = max(s.sent, o.sent)
	s.got = max(s.got, o.got)
	s.reads = max(s.reads, o.reads)
	s.total = max(s.total, o.total)
}

// heapOf is the memory of one instance's plan and core.
func heapOf(members, servers, models int) float64 {
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

// table makes TestSpendingOfAnInstance measure every size.
var table = flag.Bool("table", false, "measure every size of fleet")

const tableHead = "| instances | servers | subset | reads | sends to | read every | digest every | messages/s | sent B/s | received B/s | reads B/s | sent and reads B/s | most | mean age | oldest | KiB |"

// TestSpendingOfAnInstance prints what this package costs by size of the fleet
// and holds it to its part of the 3 KB per second that a node spends for control.
func TestSpendingOfAnInstance(t *testing.T) {
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
			t.Log(r.row(members, servers, heapOf(members, servers, models)))
			if members == 410 && r.worst.total > totalBudget {
				t.Errorf("an instance of %d before %d servers spends %.0f bytes per second, more than %d",
					members, servers, r.worst.total, totalBudget)
			}
			if today && r.stalest > time.Second {
				t.Errorf("a report is %s old in a fleet of %d instances", r.stalest, members)
			}
		}
	}
}

func (r *fleetFigures) row(members, servers int, heap float64) string {
	return fmt.Sprintf("| %d | %d | %.0f | %.1f | %.1f | %.1fs | %.1fs | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1fs | %.1fs | %.0f |",
		members, servers, r.subset, r.owned, r.receivers, r.readEvery.Seconds(), r.flushEvery.Seconds(), r.messages,
		r.mean.sent, r.mean.got, r.mean.reads, r.mean.total, r.worst.total,
		r.aged.Seconds(), r.stalest.Seconds(), heap)
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
		for _, r := range core.due(now) {
			core.done(now, r, readResult{load: (&testEngine{epoch: 1}).answer(now, r).load})
		}
		core.flush(now)
	}
}
