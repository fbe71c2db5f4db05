package enginewatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// The engines store and evict far more prefixes than a large fleet may forward.
func TestCacheEventsStayWithinBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, testMembers(2*watchersPerServer+1, 4), testServers(17, 4, 1))
	random := newRand(3)
	rate := 1
	var held []uint64
	f.onTick = func() {
		for _, e := range f.engines {
			for range rate {
				held = append(held, random.Uint64())
				e.store(held[len(held)-1])
			}
			if len(e.events) > 40*rate { // evict an old one
				e.events = append(e.events, engineapi.CacheEvent{Sequence: e.last() + 1, Prefix: e.events[len(e.events)-40*rate].Prefix})
			}
		}
	}
	f.run(10 * time.Second)
	rate = 4
	f.run(10 * time.Second)
	for _, i := range f.instances {
		i.sent = traffic{}
	}
	f.run(20 * time.Second)
	hints := 0
	for _, i := range f.instances {
		sent := float64(i.sent.bytes) / 20
		is.True(sent <= cacheBudget+recordBudget+messageBudget)
		for _, h := range i.hints {
			hints += len(h)
		}
	}
	is.True(hints > 0) // some prefixes are still shared
	f.onTick = nil
	f.run(10 * time.Second)
	f.checkHints()
}

func TestCacheEventsPause(t *testing.T) {
	is := is.New(t)
	var c cacheControl
	p := intervals{cacheEvents: true, flushPrefixes: 10}
	now := time.Unix(1000, 0)
	is.True(c.enabled(now, p))
	c.adapt(now, p, func(sample) int { return 11 })
	is.True(!c.enabled(now, p))
	is.True(c.enabled(now.Add(cachePauseDuration), p))
}

func TestSampleGrowsAfterLowFlushes(t *testing.T) {
	is := is.New(t)
	c := cacheControl{sample: sample{level: 2}}
	for range relaxAfterFlushes {
		is.Equal(c.sample.level, 2)
		c.adapt(time.Unix(1000, 0), intervals{cacheEvents: true, flushPrefixes: 100}, func(sample) int { return 1 })
	}
	is.Equal(c.sample.level, 1)
}

func TestBudgetsOfLargeFleet(t *testing.T) {
	is := is.New(t)
	const members = maxSmallFleet + 1
	is.Equal(intervalsFor(workload{members: members, engines: 10 * readBudget / readBytes}).read.Round(time.Second), 10*time.Second)
	is.Equal(intervalsFor(workload{members: members, records: 10 * recordBudget / recordBytes}).read.Round(time.Second), 10*time.Second)
	is.Equal(intervalsFor(workload{members: members, receivers: 10 * messageBudget / messageBytes}).flush.Round(time.Second), 10*time.Second)
	is.Equal(intervalsFor(workload{members: maxSmallFleet, engines: 20, records: 300, receivers: 15}).recordInterval(), 2*minInterval)
}

func TestLargeFleetPlanInterval(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := New(Options{Instance: "a", Peers: endpoint{&memoryNetwork{handlers: map[string]peerHandler{}}, "a"}, Now: func() time.Time { return now }})
	var list []platform.Instance
	for _, m := range testMembers(2*maxSmallFleet, 1) {
		list = append(list, platform.Instance{Name: m.Name})
	}
	w.SetMembers(list)
	first := w.plan
	w.SetMembers(list[1:])
	is.True(w.plan == first)
	now = now.Add(planInterval)
	w.tick(t.Context())
	is.True(w.plan != first)
	is.Equal(len(w.plan.members), len(list))
}
