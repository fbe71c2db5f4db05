package fanout

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

func TestGroupMetrics(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	_, err := p.fetch(t, 0)
	is.NoErr(err)
	p.isSource = false
	_, err = p.fetch(t, 0)
	is.NoErr(err)
	var text strings.Builder
	p.feed.Group.WriteMetrics(&text)
	is.True(strings.Contains(text.String(), `hawthornwick_feed_source{state="store"} 1`))
	is.True(strings.Contains(text.String(), `hawthornwick_source_calls_total{outcome="answered"} 1`))
	is.True(strings.Contains(text.String(), `hawthornwick_source_calls_total{outcome="failed"} 1`))
}

func TestGroupSourceBackoff(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	source, _ := p.feed.Group.Source()
	for range 10 {
		p.feed.Group.ReportFailure(source, errNotSource)
	}
	p.clock.advance(maxSourceBackoff - time.Millisecond)
	_, ok := p.feed.Group.Source()
	is.True(!ok)
	p.clock.advance(time.Millisecond)
	source, ok = p.feed.Group.Source()
	is.True(ok)
	p.feed.Group.ReportSuccess(source)
	p.feed.Group.ReportFailure(source, errNotSource)
	p.clock.advance(minSourceBackoff)
	_, ok = p.feed.Group.Source()
	is.True(ok)
}

func TestGroupBackoffResetsForStoreOutage(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	source, _ := p.feed.Group.Source()
	for range 10 {
		p.feed.Group.ReportFailure(source, errStoreUnavailable)
	}
	p.clock.advance(minSourceBackoff)
	_, ok := p.feed.Group.Source()
	is.True(ok)
}

func TestGroupRecordsFeedSourceChangesOnce(t *testing.T) {
	is := is.New(t)
	c := newClock()
	ring := timeline.NewRing("self", 64, nil)
	g := NewGroup(GroupOptions{Instance: "a-0", Zone: "a", Recorder: ring, Now: c.now})
	g.SetMembers(membersOf("a", 3))
	g.SetMembers(membersOf("a", 9))
	g.SetMembers(membersOf("a", 9))
	events, _ := ring.Snapshot()
	is.Equal(len(events), 1)
	for _, e := range events {
		is.Equal(e.Kind, timeline.FeedSource)
		is.True(e.State == stateServes || e.State == stateSource)
	}
}

func TestGroupReadsStoreOnlyWithoutProxy(t *testing.T) {
	is := is.New(t)
	p := newPairWithoutSources(t)
	is.True(p.feed.Group.ReadsStore())
	p.feed.Group.ReportStoreFailure(errors.New("reset"))
	is.True(!p.feed.Group.ReadsStore())
	is.True(p.feed.Group.EndProxy())
	is.True(p.feed.Group.ReadsStore())
}

func TestGroupPrefersProxiesInOwnZone(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupOptions{Instance: "a-0", Zone: "a", Recorder: timeline.Discard, Now: newClock().now})
	g.SetMembers(append(membersOf("b", 3), membersOf("a", 3)...))
	g.ReportStoreFailure(errors.New("reset"))
	for range 2 {
		m, ok := g.Source()
		is.True(ok)
		is.Equal(m.Zone, "a")
		is.True(m.Name != "a-0")
		g.ReportFailure(m, errNotSource)
	}
	m, _ := g.Source()
	is.Equal(m.Zone, "b")
}

func TestGroupUsesNoProxyInZoneWithSources(t *testing.T) {
	is := is.New(t)
	for _, self := range []string{"a-0", "a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7"} {
		c := newClock()
		g := NewGroup(GroupOptions{Instance: self, Zone: "a", Recorder: timeline.Discard, Now: c.now})
		g.SetMembers(membersOf("a", 8))
		for range minSources {
			if source, ok := g.Source(); ok {
				g.ReportFailure(source, errNotSource)
			}
		}
		g.ReportStoreFailure(errNotSource)
		is.True(!g.UsesProxy())
		is.True(g.ReadsStore()) // directly, until a source is available again
	}
}
