package enginewatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

func TestOneInstanceReadsEachEngineAndAllHear(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 8, 20)
	f.run(3 * time.Second)
	reads := f.readsOf(func() { f.run(10 * time.Second) })
	is.Equal(reads, 20*20) // each engine twice a second, whatever the number of instances
	is.True(f.stalest() <= time.Second)
}

func TestReportsThatLagLetNoBackupRead(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 8, 20)
	for _, e := range f.engines {
		e.lag = 5 * time.Second
	}
	f.run(6 * time.Second)
	is.Equal(f.readsOf(func() { f.run(10 * time.Second) }), 20*20)
}

func TestBackupReadsWhenTheOwnerDies(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 8, 20)
	f.run(3 * time.Second)
	f.owner("engine-00003").dead = true
	worst := time.Duration(0)
	f.each = func() { worst = max(worst, f.stalest()) }
	f.run(10 * time.Second)
	is.True(worst <= 2*time.Second)
}

func TestLossOfAZoneCostsOneTakeover(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, testMembers(16, 4), testServers(20, 4, 3))
	f.run(3 * time.Second)
	for n, i := range f.instances {
		i.dead = n%4 == 0
	}
	worst := time.Duration(0)
	f.each = func() { worst = max(worst, f.stalest()) }
	f.run(10 * time.Second)
	is.True(worst <= 2*time.Second)
}

func TestOwnerThatReturnsReadsAlone(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 8, 20)
	owner := f.owner("engine-00003")
	owner.dead = true
	f.run(5 * time.Second)
	owner.dead = false
	f.run(3 * time.Second)
	is.Equal(f.readsOf(func() { f.run(10 * time.Second) }), 20*20)
}

func TestMembersMayDiffer(t *testing.T) {
	is := is.New(t)
	members, servers := testMembers(12, 4), testServers(20, 4, 3)
	f := newFleet(t, members, servers)
	f.byName["instance-000"].dead = true // still in most lists
	for n := 1; n < 12; n++ {
		if n%3 == 0 {
			f.setPlan(NewPlan(members[1:], servers), f.instances[n])
		}
		if n%4 == 0 { // has not heard of another one yet
			f.setPlan(NewPlan(append(members[:3:3], members[4:]...), servers), f.instances[n])
		}
	}
	f.run(5 * time.Second)
	worst := time.Duration(0)
	f.each = func() { worst = max(worst, f.stalest()) }
	f.run(10 * time.Second)
	is.True(worst <= 2*time.Second)
}

func TestListOfServersMayLag(t *testing.T) {
	is := is.New(t)
	members, servers := testMembers(8, 4), testServers(20, 4, 3)
	f := newFleet(t, members, servers)
	owner := f.owner("engine-00003")
	owner.core.setPlan(f.now, NewPlan(members, servers[:3]), []watched{{"engine-00000", "engine-00000"}})
	f.run(5 * time.Second)
	worst := time.Duration(0)
	f.each = func() { worst = max(worst, f.stalest()) }
	f.run(5 * time.Second)
	is.True(worst <= 2*time.Second) // others read what it does not know
	f.setPlan(NewPlan(members, servers), owner)
	f.run(2 * time.Second)
	is.True(f.stalest() <= time.Second)
	is.Equal(f.readsOf(func() { f.run(10 * time.Second) }), 20*20)
}

func TestLostDuplicateAndLateDigests(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			f := smallFleetOf(t, 8, 20)
			random := seeded(seed)
			f.fate = func(testMessage) []time.Duration {
				var copies []time.Duration
				for random.IntN(3) > 0 && len(copies) < 3 {
					copies = append(copies, time.Duration(random.IntN(1500))*time.Millisecond)
				}
				return copies
			}
			prefix := uint64(0)
			f.each = func() { // the sinks judge the order of what they get
				if random.IntN(10) == 0 {
					prefix++
					f.engines[random.IntN(20)].store(prefix)
				}
				if random.IntN(200) == 0 {
					f.engines[random.IntN(20)].restart()
				}
			}
			f.run(30 * time.Second)
			f.fate = func(testMessage) []time.Duration { return []time.Duration{0} }
			f.each = nil
			f.run(5 * time.Second)
			f.noFalseHints()
			is.True(f.stalest() <= time.Second)
		})
	}
}

// noFalseHints fails for a hint about a prefix that the engine does not hold.
func (f *testFleet) noFalseHints() {
	for _, e := range f.engines {
		held := make(map[uint64]bool)
		for _, event := range e.events {
			held[event.Prefix] = event.Stored
		}
		for _, i := range f.instances {
			for prefix, stored := range i.hints[e.name] {
				if stored && !held[prefix] {
					f.t.Fatalf("%s believes that %s holds prefix %d", i.name, e.name, prefix)
				}
			}
		}
	}
}

func TestCacheEventsReachAllInFullDetail(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 8, 20)
	next := uint64(0)
	f.each = func() {
		for n := range f.engines {
			next++
			f.engines[n].store(next)
		}
	}
	f.run(5 * time.Second)
	f.each = nil
	f.run(2 * time.Second)
	for _, i := range f.instances {
		is.Equal(i.gaps, 0)
		for _, e := range f.engines {
			is.Equal(len(i.hints[e.name]), len(e.events))
		}
	}
}

func TestGapAtTheEngineVoidsHintsEverywhere(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 8, 1)
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

func TestLostDigestVoidsHints(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 8, 1)
	e := f.engines[0]
	e.store(1)
	f.run(2 * time.Second)
	f.fate = func(m testMessage) []time.Duration {
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
		if i != f.owner(e.name) {
			is.Equal(i.hints[e.name], map[uint64]bool{3: true})
		}
	}
}

func TestEventsSentByAnotherAreNotSentAgain(t *testing.T) {
	is := is.New(t)
	var c cacheTrack
	event := func(n uint64) engineapi.CacheEvents {
		return engineapi.CacheEvents{Epoch: 1, Events: []engineapi.CacheEvent{{Sequence: n, Prefix: n, Stored: true}}}
	}
	c.read(event(1))
	c.merge(&cacheRecord{Epoch: 1, From: 1, To: 4, Evicted: []uint64{1}})
	c.read(event(5))
	r, ok := c.record(7, sample{})
	is.True(ok)
	is.Equal(r, cacheRecord{ID: 7, Epoch: 1, From: 4, To: 5, Stored: []uint64{5}}) // 1 is evicted by now
}

func TestRestartVoidsHintsAndReadsFromTheStart(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 8, 1)
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

func TestTakeoverGoesOnInTheCacheEvents(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 8, 1)
	e := f.engines[0]
	e.store(1)
	f.run(2 * time.Second)
	f.owner(e.name).dead = true
	e.store(2)
	f.run(3 * time.Second)
	for _, i := range f.instances {
		if !i.dead {
			is.Equal(i.gaps, 0)
			is.Equal(i.hints[e.name], map[uint64]bool{1: true, 2: true})
		}
	}
}

func TestAgeSurvivesClocksThatDiffer(t *testing.T) {
	is := is.New(t)
	f := smallFleetOf(t, 2, 1)
	a, b := f.instances[0].core, f.instances[1].core
	if len(a.tracks[0].better) > 0 {
		a, b = b, a
	}
	const age = 700 * time.Millisecond
	r := a.due(f.now)[0]
	a.done(f.now, r, readResult{load: engineapi.LoadReport{Epoch: 1, UnixMillis: 5}, age: age}) // engine's clock is at 1970
	sent := f.now.Add(300 * time.Millisecond)
	d := a.flush(sent)[0].digest
	theirs := sent.Add(-time.Hour) // receiver's clock is behind
	n := b.take(theirs, "a", &d)
	is.Equal(theirs.Sub(time.UnixMilli(n[0].load.UnixMillis)), age+300*time.Millisecond)

	d = newDigest(sent, []loadRecord{{ID: a.tracks[0].id, Epoch: 1, Stamp: 6}}, nil)
	late := theirs.Add(3 * time.Second) // the same clocks, but the digest was held up
	n = b.take(late, "a", &d)
	is.Equal(late.Sub(time.UnixMilli(n[0].load.UnixMillis)), 3*time.Second)
}

// sameID returns the names of two servers with one id.
func sameID() (string, string) {
	seen := make(map[serverID]string)
	for n := 0; ; n++ {
		name := fmt.Sprintf("engine-%d", n)
		if other, ok := seen[idOf(name)]; ok {
			return other, name
		}
		seen[idOf(name)] = name
	}
}

func TestIDOfTwoServersIsInNoDigest(t *testing.T) {
	is := is.New(t)
	first, second := sameID()
	f := newFleet(t, testMembers(2, 1), []Server{{Name: first}, {Name: second}})
	f.run(5 * time.Second)
	is.Equal(f.instances[0].sent.messages+f.instances[1].sent.messages, 0)
	is.True(f.stalest() <= time.Second) // both read them themselves
}
