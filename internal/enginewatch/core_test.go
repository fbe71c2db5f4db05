package enginewatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

func TestOneReaderPerEngine(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 8, 20)
	f.run(3 * time.Second)
	reads := f.countReads(func() { f.run(10 * time.Second) })
	is.Equal(reads, 20*20) // each engine twice a second, independent of the number of instances
	is.True(f.maxReportAge() <= time.Second)
}

// An engine may repeat an old report. Digests with an unchanged report must
// still count as a sign that the reader works, or the next reader would read as
// well.
func TestLaggingReportsCauseNoTakeover(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 8, 20)
	for _, e := range f.engines {
		e.lag = 5 * time.Second
	}
	f.run(6 * time.Second)
	is.Equal(f.countReads(func() { f.run(10 * time.Second) }), 20*20)
}

func TestTakeoverAfterReaderCrash(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 8, 20)
	f.run(3 * time.Second)
	f.reader("engine-00003").crashed = true
	maxAge := time.Duration(0)
	f.onTick = func() { maxAge = max(maxAge, f.maxReportAge()) }
	f.run(10 * time.Second)
	is.True(maxAge <= 2*time.Second)
}

func TestTakeoverAfterZoneLoss(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, testMembers(16, 4), testServers(20, 4, 3))
	f.run(3 * time.Second)
	for n, i := range f.instances {
		i.crashed = n%4 == 0
	}
	maxAge := time.Duration(0)
	f.onTick = func() { maxAge = max(maxAge, f.maxReportAge()) }
	f.run(10 * time.Second)
	is.True(maxAge <= 2*time.Second)
}

func TestReturningReaderReadsAlone(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 8, 20)
	reader := f.reader("engine-00003")
	reader.crashed = true
	f.run(5 * time.Second)
	reader.crashed = false
	f.run(3 * time.Second)
	is.Equal(f.countReads(func() { f.run(10 * time.Second) }), 20*20)
}

func TestDifferingMemberLists(t *testing.T) {
	is := is.New(t)
	members, servers := testMembers(12, 4), testServers(20, 4, 3)
	f := newFleet(t, members, servers)
	f.byName["instance-000"].crashed = true // still in most lists
	for n := 1; n < 12; n++ {
		if n%3 == 0 {
			f.setPlan(NewPlan(members[1:], servers), f.instances[n])
		}
		if n%4 == 0 { // does not list another new instance yet
			f.setPlan(NewPlan(append(members[:3:3], members[4:]...), servers), f.instances[n])
		}
	}
	f.run(5 * time.Second)
	maxAge := time.Duration(0)
	f.onTick = func() { maxAge = max(maxAge, f.maxReportAge()) }
	f.run(10 * time.Second)
	is.True(maxAge <= 2*time.Second)
}

func TestLaggingServerList(t *testing.T) {
	is := is.New(t)
	members, servers := testMembers(8, 4), testServers(20, 4, 3)
	f := newFleet(t, members, servers)
	reader := f.reader("engine-00003")
	reader.core.setPlan(f.now, NewPlan(members, servers[:3]), []watched{{"engine-00000", "engine-00000"}})
	f.run(5 * time.Second)
	maxAge := time.Duration(0)
	f.onTick = func() { maxAge = max(maxAge, f.maxReportAge()) }
	f.run(5 * time.Second)
	is.True(maxAge <= 2*time.Second) // other instances read the engines that it does not know
	f.setPlan(NewPlan(members, servers), reader)
	f.run(2 * time.Second)
	is.True(f.maxReportAge() <= time.Second)
	is.Equal(f.countReads(func() { f.run(10 * time.Second) }), 20*20)
}

// Digests may be lost, duplicated or reordered. No instance may then go back to
// an older report or keep a hint about a prefix that the engine has evicted.
func TestLostDuplicateAndDelayedDigests(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newSmallFleet(t, 8, 20)
			random := newRand(seed)
			f.copyDelays = func(testMessage) []time.Duration {
				var copies []time.Duration
				for random.IntN(3) > 0 && len(copies) < 3 {
					copies = append(copies, time.Duration(random.IntN(1500))*time.Millisecond)
				}
				return copies
			}
			prefix := uint64(0)
			f.onTick = func() { // testInstance.apply checks the order of the updates
				if random.IntN(10) == 0 {
					prefix++
					f.engines[random.IntN(20)].store(prefix)
				}
				if random.IntN(200) == 0 {
					f.engines[random.IntN(20)].restart()
				}
			}
			f.run(30 * time.Second)
			f.copyDelays = func(testMessage) []time.Duration { return []time.Duration{0} }
			f.onTick = nil
			f.run(5 * time.Second)
			f.checkHints()
			is.True(f.maxReportAge() <= time.Second)
		})
	}
}

// checkHints fails if an instance has a hint about a prefix that the engine
// does not have cached.
func (f *testFleet) checkHints() {
	for _, e := range f.engines {
		held := make(map[uint64]bool)
		for _, event := range e.events {
			held[event.Prefix] = event.Stored
		}
		for _, i := range f.instances {
			for prefix, stored := range i.hints[e.name] {
				if stored && !held[prefix] {
					f.t.Fatalf("%s has a hint that %s caches prefix %d, which it does not", i.name, e.name, prefix)
				}
			}
		}
	}
}

func TestCacheEventsReachAllInstances(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 8, 20)
	next := uint64(0)
	f.onTick = func() {
		for n := range f.engines {
			next++
			f.engines[n].store(next)
		}
	}
	f.run(5 * time.Second)
	f.onTick = nil
	f.run(2 * time.Second)
	for _, i := range f.instances {
		is.Equal(i.gaps, 0)
		for _, e := range f.engines {
			is.Equal(len(i.hints[e.name]), len(e.events))
		}
	}
}

func TestEngineGapInvalidatesHints(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 8, 1)
	e := f.engines[0]
	e.store(1, 2, 3)
	f.run(2 * time.Second)
	e.store(4, 5, 6)
	e.events = e.events[4:] // 4 is lost
	f.run(2 * time.Second)
	for _, i := range f.instances {
		is.Equal(i.hints[e.name], map[uint64]bool{5: true, 6: true})
	}
}

func TestLostDigestInvalidatesHints(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 8, 1)
	e := f.engines[0]
	e.store(1)
	f.run(2 * time.Second)
	f.copyDelays = func(m testMessage) []time.Duration {
		if d, err := decodeDigest(m.body); err != nil || len(d.Cache) > 0 && d.Cache[0].To == 2 {
			return nil
		}
		return []time.Duration{0}
	}
	e.store(2)
	f.run(time.Second)
	e.store(3)
	f.run(2 * time.Second)
	for _, i := range f.instances {
		is.True(i.hints[e.name][3])
		if i != f.reader(e.name) {
			is.Equal(i.hints[e.name], map[uint64]bool{3: true})
		}
	}
}

// Events read by this instance and already sent by another one must not be sent
// again: a receiver would record a hint for an evicted prefix.
func TestMergedEventsNotResent(t *testing.T) {
	is := is.New(t)
	var c cacheTrack
	event := func(n uint64) engineapi.CacheEvents {
		return engineapi.CacheEvents{Epoch: 1, Events: []engineapi.CacheEvent{{Sequence: n, Prefix: n, Stored: true}}}
	}
	c.applyBatch(event(1))
	c.merge(&cacheRecord{Epoch: 1, From: 1, To: 4, Evicted: []uint64{1}})
	c.applyBatch(event(5))
	r, ok := c.record(7, sample{})
	is.True(ok)
	is.Equal(r, cacheRecord{ID: 7, Epoch: 1, From: 4, To: 5, Stored: []uint64{5}}) // 1 has been evicted
}

func TestEngineRestartInvalidatesHints(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 8, 1)
	e := f.engines[0]
	e.store(1, 2, 3)
	f.run(2 * time.Second)
	e.restart()
	e.store(7, 8, 9, 10, 11) // more events than before the restart
	f.run(2 * time.Second)
	for _, i := range f.instances {
		is.Equal(i.hints[e.name], map[uint64]bool{7: true, 8: true, 9: true, 10: true, 11: true})
	}
}

func TestTakeoverContinuesCacheEvents(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 8, 1)
	e := f.engines[0]
	e.store(1)
	f.run(2 * time.Second)
	f.reader(e.name).crashed = true
	e.store(2)
	f.run(3 * time.Second)
	for _, i := range f.instances {
		if !i.crashed {
			is.Equal(i.gaps, 0)
			is.Equal(i.hints[e.name], map[uint64]bool{1: true, 2: true})
		}
	}
}

// The clocks of the engine, the sender and the receiver may differ by hours.
// The age of a report must not depend on it.
func TestReportAgeWithClockSkew(t *testing.T) {
	is := is.New(t)
	f := newSmallFleet(t, 2, 1)
	a, b := f.instances[0].core, f.instances[1].core
	if len(a.tracks[0].predecessors) > 0 {
		a, b = b, a
	}
	const age = 700 * time.Millisecond
	r := a.dueReads(f.now)[0]
	a.finishRead(f.now, r, readResult{load: engineapi.LoadReport{Epoch: 1, UnixMillis: 5}, age: age}) // the engine's clock is in 1970
	sent := f.now.Add(300 * time.Millisecond)
	d := a.flush(sent)[0].digest
	theirs := sent.Add(-time.Hour) // receiver's clock is behind
	n := b.applyDigest(theirs, "a", &d)
	is.Equal(theirs.Sub(time.UnixMilli(n[0].load.UnixMillis)), age+300*time.Millisecond)

	d = newDigest(sent, []loadRecord{{ID: a.tracks[0].id, Epoch: 1, Stamp: 6}}, nil)
	late := theirs.Add(3 * time.Second) // same clocks, but the digest was delayed
	n = b.applyDigest(late, "a", &d)
	is.Equal(late.Sub(time.UnixMilli(n[0].load.UnixMillis)), 3*time.Second)
}

// collidingNames returns the names of two servers with the same id.
func collidingNames() (string, string) {
	seen := make(map[serverID]string)
	for n := 0; ; n++ {
		name := fmt.Sprintf("engine-%d", n)
		if other, ok := seen[idOf(name)]; ok {
			return other, name
		}
		seen[idOf(name)] = name
	}
}

// The id of a server in digests is a 32-bit hash. If two names have the same
// hash, a receiver could not distinguish them.
func TestCollidingServerIDsNotShared(t *testing.T) {
	is := is.New(t)
	first, second := collidingNames()
	f := newFleet(t, testMembers(2, 1), []Server{{Name: first}, {Name: second}})
	f.run(5 * time.Second)
	is.Equal(f.instances[0].sent.messages+f.instances[1].sent.messages, 0)
	is.True(f.maxReportAge() <= time.Second) // both instances read the engines directly
}
