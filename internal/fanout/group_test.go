package fanout

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

func TestMetricsTellWhereTablesAreReadAndHowCallsEnded(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	_, err := p.ask(t, 0)
	is.NoErr(err)
	p.serves = false
	_, err = p.ask(t, 0)
	is.NoErr(err)
	var text strings.Builder
	p.feed.Group.WriteMetrics(&text)
	is.True(strings.Contains(text.String(), `hawthornwick_feed_source{state="store"} 1`))
	is.True(strings.Contains(text.String(), `hawthornwick_source_calls_total{outcome="answered"} 1`))
	is.True(strings.Contains(text.String(), `hawthornwick_source_calls_total{outcome="failed"} 1`))
}

func TestSourceThatKeepsFailingIsAskedEverMoreRarely(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	source, _ := p.feed.Group.Source()
	for range 10 {
		p.feed.Group.Failed(source, errNotSource)
	}
	p.clock.advance(shunMost - time.Millisecond)
	_, ok := p.feed.Group.Source()
	is.True(!ok)
	p.clock.advance(time.Millisecond)
	source, ok = p.feed.Group.Source()
	is.True(ok)
	p.feed.Group.Answered(source)
	p.feed.Group.Failed(source, errNotSource)
	p.clock.advance(shunFirst)
	_, ok = p.feed.Group.Source()
	is.True(ok)
}

func TestSourceThatHadLostTheStoreIsAskedSoonAgain(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	source, _ := p.feed.Group.Source()
	for range 10 {
		p.feed.Group.Failed(source, errStoreLost)
	}
	p.clock.advance(shunFirst)
	_, ok := p.feed.Group.Source()
	is.True(ok)
}

func TestEachChangeOfWhereTablesAreReadIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	c := newClock()
	ring := timeline.NewRing("self", 64, nil)
	g := NewGroup(GroupOptions{Instance: "a-0", Zone: "a", Recorder: ring, Now: c.now})
	g.SetMembers(zoneOf("a", 3))
	g.SetMembers(zoneOf("a", 9))
	g.SetMembers(zoneOf("a", 9))
	events, _ := ring.Snapshot()
	is.Equal(len(events), 1)
	for _, e := range events {
		is.Equal(e.Kind, timeline.FeedSource)
		is.True(e.State == stateServes || e.State == stateSource)
	}
}

func TestInstanceThatFollowsAnotherAnswersNobody(t *testing.T) {
	is := is.New(t)
	p := lonely(t)
	is.True(p.feed.Group.Reads())
	p.feed.Group.StoreFailed(errors.New("reset"))
	is.True(!p.feed.Group.Reads())
	is.True(p.feed.Group.EndStandIn())
	is.True(p.feed.Group.Reads())
}

func TestInstancesOfTheOwnZoneStandInFirst(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupOptions{Instance: "a-0", Zone: "a", Recorder: timeline.Discard, Now: newClock().now})
	g.SetMembers(append(zoneOf("b", 3), zoneOf("a", 3)...))
	g.StoreFailed(errors.New("reset"))
	for range 2 {
		m, ok := g.Source()
		is.True(ok)
		is.Equal(m.Zone, "a")
		is.True(m.Name != "a-0")
		g.Failed(m, errNotSource)
	}
	m, _ := g.Source()
	is.Equal(m.Zone, "b")
}

func TestNobodyStandsInWhereThereAreSources(t *testing.T) {
	is := is.New(t)
	for _, self := range []string{"a-0", "a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7"} {
		c := newClock()
		g := NewGroup(GroupOptions{Instance: self, Zone: "a", Recorder: timeline.Discard, Now: c.now})
		g.SetMembers(zoneOf("a", 8))
		for range leastSources {
			if source, ok := g.Source(); ok {
				g.Failed(source, errNotSource)
			}
		}
		g.StoreFailed(errNotSource)
		is.True(!g.StandsIn())
		is.True(g.Reads()) // the store itself, until a source is fit
	}
}
