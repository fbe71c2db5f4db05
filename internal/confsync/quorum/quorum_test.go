package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var sizes = []int{1, 2, 8, 50, 410}

// maxBytesPerSecond bounds the traffic of rounds per instance while the table
// service is unavailable and no changes are pushed.
const maxBytesPerSecond = 2000

func TestTableOutageKeepsInstancesFresh(t *testing.T) {
	for _, n := range sizes {
		is := is.New(t)
		f := newFleet(n)
		f.run(10 * time.Second)
		f.takeStaleCount()
		f.takeTraffic(time.Second)
		f.run(10 * time.Second)
		messages, bytes, most := f.takeTraffic(10 * time.Second)
		t.Logf("%3d instances, table up:   %5.2f messages/s, %6.0f B/s, busiest %6.0f B/s", n, messages, bytes, most)
		is.Equal(f.takeStaleCount(), 0)
		f.forEach(func(n *simNode) { n.tableReachable = false })
		f.run(30 * time.Second)
		messages, bytes, most = f.takeTraffic(30 * time.Second)
		t.Logf("%3d instances, table down: %5.2f messages/s, %6.0f B/s, busiest %6.0f B/s", n, messages, bytes, most)
		is.Equal(f.takeStaleCount(), 0)
		is.True(bytes < maxBytesPerSecond)
		f.forEach(func(n *simNode) { n.tableReachable = true })
		f.run(5 * time.Second)
		is.Equal(f.takeStaleCount(), 0)
	}
}

func TestTableOutageWithCrashes(t *testing.T) {
	for _, c := range []struct {
		name string
		n    int
		dies func(i int, n *simNode) bool
	}{
		{"2 of 8", 8, func(i int, _ *simNode) bool { return i == 1 || i == 2 }},
		{"4 of 410", 410, func(i int, _ *simNode) bool { return i%100 == 17 }},
		{"a zone of 410", 410, func(_ int, n *simNode) bool { return n.zone == 4 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.n)
			f.run(5 * time.Second)
			f.forEach(func(n *simNode) { n.tableReachable = false })
			f.run(10 * time.Second)
			for i, n := range f.nodes {
				n.crashed = c.dies(i, n)
			}
			f.takeStaleCount()
			f.run(15 * time.Second)
			is.Equal(f.takeStaleCount(), 0)
		})
	}
}

func TestPartitionedMinorityTurnsStale(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.run(5 * time.Second)
	for _, n := range f.nodes[:3] { // isolated from the table service and the other nodes
		n.tableReachable = false
		n.group = 1
	}
	f.run(freshLimit + 100*time.Millisecond)
	for i, n := range f.nodes {
		is.Equal(f.fresh(n), i >= 3)
	}
	f.forEach(func(n *simNode) { n.group = 0 })
	f.run(6 * time.Second) // reads of the table service by peers are a sufficient proof
	for _, n := range f.nodes {
		is.True(f.fresh(n))
	}
}

func TestTableReadProvesMinorityFresh(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.run(5 * time.Second)
	for _, n := range f.nodes[:3] {
		n.group = 1
		n.tableReachable = n == f.nodes[0]
	}
	f.run(10 * time.Second)
	f.takeStaleCount()
	f.run(20 * time.Second)
	for _, n := range f.nodes {
		is.Equal(len(n.staleAt), 0)
	}
}

func TestMinorityWithTableCannotAccept(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.run(5 * time.Second)
	for i, n := range f.nodes {
		n.tableReachable = i < 2
		if i < 2 {
			n.group = 1
		}
	}
	f.run(10 * time.Second)
	f.version = 2
	f.run(20 * time.Second)
	for i, n := range f.nodes {
		is.True(f.fresh(n))
		is.True(n.confirmed < 2) // version 2 is stored but not accepted
		is.Equal(n.local.InForce == 2, i < 2)
	}
	f.forEach(func(n *simNode) { n.group, n.tableReachable = 0, true })
	f.run(6 * time.Second)
	for _, n := range f.nodes {
		is.Equal(n.local.InForce, uint64(2))
		is.True(n.confirmed >= 2)
	}
}

// TestUnknownRosterIsFetched gives one instance a roster that the others do
// not have.
func TestUnknownRosterIsFetched(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	n := f.nodes[7] // its roster has one instance more than the others'
	names := append([]string{"new"}, n.agent.roster.Names...)
	neighbours, roots := n.agent.neighbours, n.agent.roots
	n.agent = NewAgent(n.name, 1000, f.clock())
	n.agent.SetMembers(NewRoster(names), neighbours, roots)
	f.run(5 * time.Second)
	f.takeStaleCount()
	f.forEach(func(n *simNode) { n.tableReachable = false })
	f.run(30 * time.Second)
	is.Equal(f.takeStaleCount(), 0)
}

func TestRoundsWithoutDesignatedRoots(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.run(5 * time.Second)
	for _, name := range f.nodes[0].agent.roots {
		f.byName[name].crashed = true
	}
	f.forEach(func(n *simNode) { n.tableReachable = false })
	f.run(10 * time.Second)
	f.takeStaleCount()
	f.run(30 * time.Second)
	is.Equal(f.takeStaleCount(), 0)
}

func TestEmptyRosterHasNoQuorum(t *testing.T) {
	is := is.New(t)
	empty := NewRoster(nil)
	is.True(empty.AcceptanceQuorum() > 0)
	is.True(empty.FreshnessQuorum() > 0)
}

// TestProofTime drives one agent through single rounds. The answers to round 2
// were given after the start of round 2, which came after the agent had
// entered round 1, so the proof has the time of that entry.
func TestProofTime(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	roster := NewRoster([]string{"a", "b"})
	agent := NewAgent("b", 1, epoch)
	agent.SetMembers(roster, []string{"a"}, []string{"a"})
	agent.SetLocal(LocalState{InForce: 7, Newest: 7, Ready: true})
	result := func(version uint64, members ...int) *Result {
		r := &Result{Version: version, Roster: roster.Digest, Answers: Answers{Newest: version}}
		for _, i := range members {
			r.Holders.Add(i)
		}
		return r
	}
	round := func(number uint64, r *Result) Effects {
		return agent.OnRound(at(int(number)), "a", Round{Root: "a", Number: number, Roster: roster.Digest, Version: 7, Result: r})
	}
	is.Equal(len(round(1, nil).Proofs), 0)
	is.Equal(len(round(2, result(7, 0, 1)).Proofs), 0) // the start of round 1 is unknown
	is.Equal(round(3, result(8, 0, 1)).Proofs, []Proof{{At: at(1), Version: 8}})
	is.Equal(len(round(4, result(8, 0)).Proofs), 0)                              // one of two is not a majority
	is.Equal(round(5, result(8, 0, 1)).Proofs, []Proof{{At: at(2), Version: 8}}) // its answer to 3 was missing
}

// maxChangeDelay is how long after its acceptance a change may be missing on
// an instance that accepts new work.
const maxChangeDelay = 6 * time.Second

// TestFreshInstancesHoldAcceptedChanges partitions, crashes, restarts and
// reconnects instances at random and checks that every fresh instance has all
// changes that were accepted more than six seconds ago.
func TestFreshInstancesHoldAcceptedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		f := newFleet(n)
		accepted := make(map[uint64]time.Duration)
		f.run(3 * time.Second)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			f.injectFault(t)
			for range rapid.IntRange(1, 40).Draw(t, "tenths") {
				f.run(100 * time.Millisecond)
				f.checkInvariants(t, accepted)
			}
		}
	})
}

// injectFault injects one random fault or commits a change.
func (f *fleet) injectFault(t *rapid.T) {
	n := rapid.SampledFrom(f.nodes).Draw(t, "instance")
	switch rapid.SampledFrom([]string{"commit", "commit", "store", "outage", "cut", "heal", "crash"}).Draw(t, "act") {
	case "commit":
		if n.crashed || !n.tableReachable {
			return
		}
		f.version++
		for _, other := range f.nodes { // pushes may be lost
			if other == n || (!other.crashed && other.group == n.group && rapid.Bool().Draw(t, "push")) {
				f.setInForce(other, f.version)
			}
		}
	case "store":
		n.tableReachable = !n.tableReachable
	case "outage":
		up := rapid.Bool().Draw(t, "up")
		f.forEach(func(n *simNode) { n.tableReachable = up })
	case "cut":
		f.forEach(func(n *simNode) { n.group = rapid.IntRange(0, 1).Draw(t, "side") })
	case "heal":
		f.forEach(func(n *simNode) { n.group = 0 })
	case "crash":
		if n.crashed {
			f.restart(n)
		} else {
			n.crashed = true
		}
	}
}

func (f *fleet) checkInvariants(t *rapid.T, accepted map[uint64]time.Duration) {
	for _, n := range f.nodes {
		for v := n.confirmed; v > 0; v-- {
			if _, ok := accepted[v]; ok {
				break
			}
			accepted[v] = f.now
		}
	}
	for _, n := range f.nodes {
		if n.crashed || !f.fresh(n) {
			continue
		}
		for v, at := range accepted {
			if f.now-at > maxChangeDelay && n.local.InForce < v {
				t.Fatalf("%s is fresh with version %d, %s after %d was accepted", n.name, n.local.InForce, f.now-at, v)
			}
		}
	}
}

func BenchmarkRounds(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			f.run(5 * time.Second)
			f.takeTraffic(time.Second)
			b.ReportAllocs()
			b.ResetTimer()
			f.run(time.Duration(b.N) * time.Second)
			_, bytes, most := f.takeTraffic(time.Duration(b.N) * time.Second)
			b.ReportMetric(bytes, "B/instance/s")
			b.ReportMetric(most, "B/busiest/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/instance/s")
		})
	}
}

// TestFirstRootPartitionedDuringOutage isolates the first designated root from
// the others at many points in time of its round while the others lose the
// table service. Fallback roots start one after the other, and the rounds of
// the second designated root must be admitted among them. The majority must be
// current again within 6 s.
func TestFirstRootPartitionedDuringOutage(t *testing.T) {
	for _, n := range []int{8, 50, 410} {
		for moment := 5 * time.Second; moment < 6*time.Second; moment += 97 * time.Millisecond {
			f := newFleet(n)
			f.run(moment)
			first := f.nodes[0].agent.roots[0]
			f.forEach(func(n *simNode) { n.tableReachable = n.name == first })
			f.byName[first].group = 1
			f.run(6 * time.Second)
			for _, node := range f.nodes {
				if !f.fresh(node) {
					t.Errorf("%d instances, partitioned at %v: %s is stale", n, moment, node.name)
					break
				}
			}
		}
	}
}

func TestDesignatedRootReplacesFallbackRoot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	names := []string{"a", "b", "c", "d", "e", "f", "self"}
	agent := NewAgent("self", 1, now)
	roster := NewRoster(names)
	agent.SetMembers(roster, []string{"a", "b"}, []string{"a", "f"})
	for _, fallback := range []string{"e", "d", "c", "b"} {
		e := agent.OnRound(now, "a", Round{Root: fallback, Number: 1, Roster: roster.Digest})
		is.True(len(e.Send) > 0)
	}
	e := agent.OnRound(now, "a", Round{Root: "f", Number: 1, Roster: roster.Digest})
	is.True(len(e.Send) > 0) // the second designated root ranks before every fallback root
	e = agent.OnRound(now, "a", Round{Root: "e", Number: 2, Roster: roster.Digest})
	is.Equal(len(e.Send), 0) // the fallback root with the highest name was evicted
}

// TestFallbackRootWakesOnTime checks that the next tick of an instance is at
// its own fallback time, so that fallback roots start one after the other when
// the designated root has crashed.
func TestFallbackRootWakesOnTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	agent := NewAgent("c", 1, now)
	agent.SetMembers(NewRoster([]string{"a", "b", "c"}), nil, []string{"a", "b"})
	end := now.Add(rootTimeout + 2*rootTimeoutStep)
	for {
		e, next := agent.Tick(now)
		if len(e.Send) > 0 || agent.fallbackRoot {
			break
		}
		is.True(next.After(now))
		now = next
	}
	is.Equal(now, end)
}
