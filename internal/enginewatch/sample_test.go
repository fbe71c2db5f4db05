package enginewatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// TestCacheEventsAreSampledWithinTheBudget lets engines store far more than a
// larger fleet may pass on, and evict it again.
func TestCacheEventsAreSampledWithinTheBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, testMembers(2*covers+1, 4), testServers(17, 4, 1))
	random := seeded(3)
	rate := 1
	var held []uint64
	f.each = func() {
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
		i.sent = count{}
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
	is.True(hints > 0) // some prefixes are still known
	f.each = nil
	f.run(10 * time.Second)
	f.noFalseHints()
}

func TestCacheEventsPauseWhenNoSampleFits(t *testing.T) {
	is := is.New(t)
	var c cacheControl
	p := pace{cache: true, prefixes: 10}
	now := time.Unix(1000, 0)
	is.True(c.on(now, p))
	c.fit(now, p, func(sample) int { return 11 })
	is.True(!c.on(now, p))
	is.True(c.on(now.Add(cachePause), p))
}

func TestSampleGrowsAfterACalmTime(t *testing.T) {
	is := is.New(t)
	c := cacheControl{sample: sample{level: 2}}
	for range calmFlushes {
		is.Equal(c.sample.level, 2)
		c.fit(time.Unix(1000, 0), pace{cache: true, prefixes: 100}, func(sample) int { return 1 })
	}
	is.Equal(c.sample.level, 1)
}

func TestEachBudgetSlowsALargeFleet(t *testing.T) {
	is := is.New(t)
	const members = smallFleet + 1
	is.Equal(paceOf(duties{members: members, owned: 10 * readBudget / readBytes}).read.Round(time.Second), 10*time.Second)
	is.Equal(paceOf(duties{members: members, records: 10 * recordBudget / recordBytes}).read.Round(time.Second), 10*time.Second)
	is.Equal(paceOf(duties{members: members, receivers: 10 * messageBudget / messageBytes}).flush.Round(time.Second), 10*time.Second)
	is.Equal(paceOf(duties{members: smallFleet, owned: 20, records: 300, receivers: 15}).every(), 2*minInterval)
}

func TestLargeFleetIsPlannedAtMostOncePerInterval(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := New(Options{Instance: "a", Peers: endpoint{&exchange{handlers: map[string]peerHandler{}}, "a"}, Now: func() time.Time { return now }})
	var list []platform.Instance
	for _, m := range testMembers(2*smallFleet, 1) {
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
