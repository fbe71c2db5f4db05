package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

func query(now time.Time, s *Store) *Query {
	return &Query{Now: now, Zone: "a", Tier: 1, Members: s.Members}
}

func TestFilters(t *testing.T) {
	for name, unfit := range map[string]func(s *Store, servers []platform.Server, q *Query){
		"zone drained": func(s *Store, _ []platform.Server, _ *Query) {
			s.SetConfig(start, modelConfig(1, 4, "a"))
		},
		"leaving":     func(_ *Store, servers []platform.Server, _ *Query) { servers[0].State = platform.ServerDraining },
		"starting":    func(_ *Store, servers []platform.Server, _ *Query) { servers[0].State = platform.ServerStarting },
		"gone":        func(_ *Store, servers []platform.Server, _ *Query) { servers[0].State = platform.ServerRemoved },
		"preemptible": func(_ *Store, servers []platform.Server, _ *Query) { servers[0].Preemptible = true },
		"preemptible zone full": func(_ *Store, servers []platform.Server, q *Query) {
			servers[0].Preemptible = true
			q.PreemptibleAllowed = true
			q.PreemptibleFull = []bool{true}
		},
		"other model": func(_ *Store, servers []platform.Server, _ *Query) { servers[0].Model = "other" },
		"tried":       func(_ *Store, _ []platform.Server, q *Query) { q.Tried = []string{"s00000"} },
		"restarted":   func(_ *Store, servers []platform.Server, _ *Query) { servers[0].Epoch = 2 },
		"full": func(s *Store, _ []platform.Server, _ *Query) {
			for range 4 {
				s.Live("s00000").StartAttempt(start)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStore(modelConfig(1, 4), 1)
			now := warm(s)
			q := query(now, s)
			r := NewRouter(nil, testRandom(1))
			is.True(r.Pick(q, s.Snapshot().Pools["m"], nil) != nil)
			servers := newStoreServers()
			unfit(s, servers, q)
			s.SetServers(now, servers)
			is.True(r.Pick(q, s.Snapshot().Pools["m"], nil) == nil)
		})
	}
}

func TestPickNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "servers")
		s := newStore(modelConfig(1, 3), n)
		now := warm(s)
		r := NewRouter(nil, testRandom(rapid.Uint64().Draw(t, "seed")))
		picks := 0
		for {
			c := r.Pick(query(now, s), s.Snapshot().Pools["m"], nil)
			if c == nil {
				break
			}
			c.Live.StartAttempt(now)
			picks++
		}
		if picks != 3*n {
			t.Fatalf("%d starts on %d servers of 3 slots", picks, n)
		}
	})
}

func TestPrefixHints(t *testing.T) {
	for name, void := range map[string]func(now time.Time, p *PrefixIndex, l *LiveState) time.Time{
		"gap in events": func(now time.Time, p *PrefixIndex, l *LiveState) time.Time {
			p.ApplyEvents(now, l, engineapi.CacheEvents{Epoch: 1, Events: []engineapi.CacheEvent{{Sequence: 9, Prefix: 8, Stored: true}}})
			return now
		},
		"evicted": func(now time.Time, p *PrefixIndex, l *LiveState) time.Time {
			p.ApplyEvents(now, l, engineapi.CacheEvents{Epoch: 1, Events: []engineapi.CacheEvent{{Sequence: 2, Prefix: 7}}})
			return now
		},
		"expired": func(now time.Time, _ *PrefixIndex, _ *LiveState) time.Time { return now.Add(prefixHintTTL) },
		"restart": func(now time.Time, _ *PrefixIndex, l *LiveState) time.Time {
			l.TurnCold(now)
			return now
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStore(modelConfig(4, 4), 30)
			now := warm(s)
			p := NewPrefixIndex()
			holder := s.Live("s00017")
			p.ApplyEvents(now, holder, engineapi.CacheEvents{Epoch: 1, Events: []engineapi.CacheEvent{{Sequence: 1, Prefix: 7, Stored: true}}})
			r := NewRouter(LowestPrice{}, testRandom(1))
			pick := func() string {
				q := query(now, s)
				q.Prefixes, q.InputTokens = []uint64{7}, 2000
				return r.Pick(q, s.Snapshot().Pools["m"], p).Name
			}
			is.Equal(pick(), "s00017")
			now = void(now, p, holder)
			s.SetMembers(now, []string{"i0"}, now)
			is.True(pick() != "s00017")
		})
	}
}

func TestPrefixIndexBounded(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 4), 1)
	p := NewPrefixIndex()
	for prefix := range uint64(10 * maxGenerationPrefixes) {
		p.Add(start, s.Live("s00000"), prefix)
	}
	is.True(p.Len() <= 2*maxGenerationPrefixes+1)
}

func TestBestOfSpreadsStaleInstances(t *testing.T) {
	is := is.New(t)
	const instances = 20
	most := func(picker func() Picker) int {
		got := map[string]int{}
		for i := range instances {
			s := newStore(modelConfig(1, 32), 10)
			now := warm(s)
			for n := range 10 {
				s.Live(fmt.Sprintf("s%05d", n)).ApplyReport(now, engineapi.LoadReport{
					Epoch: 1, Running: n, UnixMillis: now.UnixMilli(), CacheUse: 0.5,
				})
			}
			r := NewRouter(picker(), testRandom(uint64(i)))
			got[r.Pick(query(now, s), s.Snapshot().Pools["m"], nil).Name]++
		}
		highest := 0
		for _, n := range got {
			highest = max(highest, n)
		}
		return highest
	}
	is.Equal(most(func() Picker { return LowestPrice{} }), instances) // all instances choose the same server
	is.True(most(func() Picker { return BestOf{} }) <= instances/2)
}

// Pick runs for every attempt; allocations per decision would add to the load
// of the garbage collector.
func TestPickAllocations(t *testing.T) {
	s := newStore(modelConfig(1, 32), 200)
	now := warm(s)
	r := NewRouter(nil, testRandom(1))
	p := NewPrefixIndex()
	p.Add(now, s.Live("s00003"), 7)
	prefixes := []uint64{5, 6, 7}
	pool := s.Snapshot().Pools["m"]
	allocations := testing.AllocsPerRun(100, func() {
		q := query(now, s)
		q.Prefixes = prefixes
		if r.Pick(q, pool, p) == nil {
			t.Fatal("no server")
		}
	})
	if allocations > 2 {
		t.Errorf("%v allocations per decision", allocations)
	}
}

// BenchmarkRouting measures one decision, once with free slots on all servers
// and once with none, where every candidate is evaluated.
func BenchmarkRouting(b *testing.B) {
	for _, n := range []int{20, 200, 12000} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/full=%v", n, full), func(b *testing.B) {
				s := newStore(modelConfig(1, 32), n)
				now := warm(s)
				if full {
					for _, l := range s.lives {
						l.outstanding = 32
					}
				}
				r := NewRouter(nil, testRandom(1))
				prefixes := NewPrefixIndex()
				for i := range 16 {
					prefixes.Add(now, s.Live(fmt.Sprintf("s%05d", i)), uint64(i))
				}
				pool := s.Snapshot().Pools["m"]
				q := query(now, s)
				q.Prefixes = []uint64{1, 2, 3, 4, 100}
				b.ReportAllocs()
				for b.Loop() {
					r.Pick(q, pool, prefixes)
				}
			})
		}
	}
}
