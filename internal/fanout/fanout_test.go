package fanout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/standin/store"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

func zoneOf(zone string, n int) []Member {
	var members []Member
	for i := range n {
		name := fmt.Sprintf("%s-%d", zone, i)
		members = append(members, Member{Name: name, Zone: zone, Address: name + ":1", Token: "t-" + name, Cores: 0.2})
	}
	return members
}

func TestSourcesAreTheInstancesWithMostProcessor(t *testing.T) {
	is := is.New(t)
	members := zoneOf("a", 10)
	members[3].Cores, members[7].Cores, members[8].Cores = 0.8, 0.8, 0.8
	members[7].Leaving = true
	sources := Sources(members, "a")
	is.Equal(len(sources), 2)
	for _, m := range sources {
		is.True(m.Name == "a-3" || m.Name == "a-8")
	}
}

func TestSmallZonesHaveNoSources(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Sources(zoneOf("a", leastZone-1), "a")), 0)
	is.Equal(len(Sources(append(zoneOf("a", 3), zoneOf("b", 9)...), "a")), 0)
	is.Equal(len(Sources(zoneOf("a", 103), "a")), 7) // the target's zones
}

func TestReadersGrowFarLessThanInstances(t *testing.T) {
	is := is.New(t)
	count := func(n int) int {
		var members []Member
		for zone := range 10 {
			members = append(members, zoneOf(fmt.Sprint("z", zone), n/10)...)
		}
		return readers(members)
	}
	is.Equal(count(30), 30)   // nobody follows
	is.Equal(count(100), 20)  // two a zone
	is.True(count(410) <= 30) // of 410
}

func TestInstancesSpreadOverTheSources(t *testing.T) {
	is := is.New(t)
	sources := zoneOf("a", 4)
	served := map[string]int{}
	for i := range 400 {
		served[preferred(sources, fmt.Sprint("i-", i))[0].Name]++
	}
	for _, n := range served {
		is.True(n > 60 && n < 140)
	}
}

// clock is a settable clock.
type clock struct{ at atomic.Int64 }

func (c *clock) now() boottime.Instant       { return boottime.Instant(c.at.Load()) }
func (c *clock) advance(d time.Duration)     { c.at.Add(int64(d)) }
func newClock() *clock                       { c := &clock{}; c.advance(time.Hour); return c }
func row(key string, v uint64) tablefeed.Row { return tablefeed.Row{Key: key, Version: v} }

func TestCacheGivesWhatChangedAfterAVersionAndTheAgeOfItsProof(t *testing.T) {
	is := is.New(t)
	c := newClock()
	cache := NewCache(c.now)
	_, err := cache.Changes(t.Context(), 0, 0)
	is.True(errors.Is(err, errStoreLost)) // knows nothing yet
	cache.Took(tablefeed.Update{Whole: true, Rows: []tablefeed.Row{row("a", 3), row("b", 5)}}, 6, c.now())
	c.advance(300 * time.Millisecond)
	_, err = cache.Changes(t.Context(), 5, 0)
	is.True(errors.Is(err, tablefeed.ErrHistoryGone)) // rows deleted before 6 are not known
	cache.Took(tablefeed.Update{Rows: []tablefeed.Row{row("b", 8), {Key: "a", Version: 9, Removed: true}}}, 9, c.now())
	c.advance(200 * time.Millisecond)
	page, err := cache.Changes(t.Context(), 6, 0)
	is.NoErr(err)
	is.Equal(page.Version, uint64(9))
	is.Equal(page.Age, 200*time.Millisecond)
	is.Equal(len(page.Rows), 2)
	is.True(page.Rows[1].Removed)
	page, err = cache.Changes(t.Context(), 9, 0)
	is.NoErr(err)
	is.Equal(len(page.Rows), 0)
}

func TestReadOfAllRowsTellsWhichWereDeleted(t *testing.T) {
	is := is.New(t)
	c := newClock()
	cache := NewCache(c.now)
	cache.Took(tablefeed.Update{Whole: true, Rows: []tablefeed.Row{row("a", 3), row("b", 5)}}, 6, c.now())
	cache.Took(tablefeed.Update{Whole: true, Rows: []tablefeed.Row{row("b", 5)}}, 12, c.now())
	page, err := cache.Changes(t.Context(), 6, 0)
	is.NoErr(err)
	is.Equal(page.Rows, []tablefeed.Row{{Key: "a", Version: 12, Removed: true}})
}

func TestManyDeletedRowsAreForgotten(t *testing.T) {
	is := is.New(t)
	c := newClock()
	cache := NewCache(c.now)
	cache.Took(tablefeed.Update{Whole: true}, 1, c.now())
	version := uint64(1)
	for i := range mostRemoved + 1 {
		version++
		cache.Took(tablefeed.Update{Rows: []tablefeed.Row{{Key: fmt.Sprint(i), Version: version, Removed: true}}}, version, c.now())
	}
	is.Equal(len(cache.rows), 0)
	_, err := cache.Changes(t.Context(), version-1, 0)
	is.True(errors.Is(err, tablefeed.ErrHistoryGone))
	_, err = cache.Changes(t.Context(), version, 0)
	is.NoErr(err)
}

func TestCallWaitsForAChangeOrForTheLossOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cache := NewCache(newClock().now)
		cache.Took(tablefeed.Update{Whole: true}, 1, newClock().now())
		start := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			cache.Took(tablefeed.Update{}, 2, newClock().now()) // nothing new
			time.Sleep(100 * time.Millisecond)
			cache.Took(tablefeed.Update{Rows: []tablefeed.Row{row("a", 3)}}, 3, newClock().now())
			time.Sleep(100 * time.Millisecond)
			cache.Lost(errors.New("silent"))
		}()
		page, err := cache.Changes(t.Context(), 1, time.Second)
		is.NoErr(err)
		is.Equal(len(page.Rows), 1)
		is.Equal(time.Since(start), 200*time.Millisecond)
		_, err = cache.Changes(t.Context(), 3, time.Second)
		is.True(errors.Is(err, errStoreLost))
		is.Equal(time.Since(start), 300*time.Millisecond)
	})
}

// storeFeed is the store as one instance reaches it.
type storeFeed struct {
	waits []time.Duration
	err   error
}

func (s *storeFeed) Read(context.Context, string) (tablefeed.Page, error) {
	return tablefeed.Page{}, s.err
}

func (s *storeFeed) Changes(_ context.Context, _ uint64, wait time.Duration) (tablefeed.Page, error) {
	s.waits = append(s.waits, wait)
	return tablefeed.Page{Version: 77}, s.err
}

// pair is one instance that follows a source over loopback.
type pair struct {
	clock  *clock
	cache  *Cache
	server *httptest.Server
	serves bool
	store  *storeFeed
	feed   *Feed
	rows   platform.Table // of the source
	own    *store.Store   // as this instance reaches it
	table  *Table
	mute   atomic.Bool // the source accepts calls and never answers
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{clock: newClock(), serves: true, store: &storeFeed{}, own: store.New()}
	p.rows = p.own.Table("duties")
	p.cache = NewCache(p.clock.now)
	p.cache.Took(tablefeed.Update{Whole: true}, 5, p.clock.now())
	server := &Server{
		Token: "t", Reads: func() bool { return p.serves },
		StoreClock: func() (time.Duration, bool) { return 42 * time.Second, true },
		Tables:     map[string]*Cache{"servers": p.cache},
		Writers:    map[string]*Writer{"duties": NewWriter(p.rows)},
	}
	handler := server.Handler()
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.mute.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // else the end of the connection goes unnoticed
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(p.server.Close)
	group := NewGroup(GroupOptions{Instance: "self", Zone: "a", Recorder: timeline.Discard, Now: p.clock.now})
	members := append(zoneOf("a", leastZone), Member{Name: "self", Zone: "a"})
	for i := range members {
		members[i].Token, members[i].Address = "", ""
	}
	members[0].Token, members[0].Address = "t", strings.TrimPrefix(p.server.URL, "http://")
	group.SetMembers(members)
	client := NewClient()
	t.Cleanup(client.Close)
	p.feed = &Feed{Name: "servers", Store: p.store, Group: group, Client: client, MaxAge: 1600 * time.Millisecond, StandInAge: 4 * time.Second}
	p.table = &Table{Table: p.own.Table("duties"), Name: "duties", Group: group, Client: client}
	return p
}

func (p *pair) ask(t *testing.T, wait time.Duration) (tablefeed.Page, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return p.feed.Changes(ctx, 5, wait)
}

func TestSourceAnswersInPlaceOfTheStore(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.cache.Took(tablefeed.Update{Rows: []tablefeed.Row{{Key: "a", Version: 8, Value: []byte("x")}}}, 8, p.clock.now())
	p.clock.advance(250 * time.Millisecond)
	page, err := p.ask(t, time.Second)
	is.NoErr(err)
	is.Equal(page.Rows, []tablefeed.Row{{Key: "a", Version: 8, Value: []byte("x")}})
	is.Equal(page.Version, uint64(8))
	is.Equal(page.Clock, 42*time.Second)
	is.Equal(page.Age, 250*time.Millisecond)
	is.True(page.AtOnce)
	is.Equal(len(p.store.waits), 0)
}

func TestUnfitSourceSendsTheCallToTheStoreAtOnce(t *testing.T) {
	for name, spoil := range map[string]func(*pair){
		"no source any more": func(p *pair) { p.serves = false },
		"another program":    func(p *pair) { p.server.Config.Handler = http.NotFoundHandler() },
		"gone":               func(p *pair) { p.server.Close() },
		"mute":               func(p *pair) { p.mute.Store(true) },
		"old proof":          func(p *pair) { p.clock.advance(1700 * time.Millisecond) },
		"history gone":       func(p *pair) { p.cache.oldest = 6 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			spoil(p)
			page, err := p.ask(t, 500*time.Millisecond)
			is.NoErr(err)
			is.Equal(page.Version, uint64(77))
			is.True(page.AtOnce) // proves only the instant of the call
			is.Equal(p.store.waits, []time.Duration{0})
			_, ok := p.feed.Group.Source()
			is.True(!ok) // left alone for a time
			p.clock.advance(shunFirst)
			_, ok = p.feed.Group.Source()
			is.True(ok)
		})
	}
}

func TestCallsNeedTheSourcesToken(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	source, _ := p.feed.Group.Source()
	source.Token = "guessed"
	_, err := p.feed.Client.changes(t.Context(), source, "servers", 5, 0)
	is.True(errors.Is(err, errNotSource))
}

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

func TestStoreLostByTheSourceCountsAsAFailedCall(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.cache.Lost(errors.New("silent"))
	_, err := p.ask(t, 500*time.Millisecond)
	is.True(errors.Is(err, errStoreLost)) // entries may have lapsed meanwhile: see tablefeed.Update.Gap
	is.Equal(len(p.store.waits), 0)
	_, err = p.ask(t, 500*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(p.store.waits), 1) // the next call finds out by itself
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

// TestPromisesHoldWhateverBecomesOfTheSource: however a source fails, the instance
// that follows it hears of a change within the bounds of the promises, which are
// two seconds and more.
func TestPromisesHoldWhateverBecomesOfTheSource(t *testing.T) {
	const bound = 2 * time.Second
	const oldest = 1600 * time.Millisecond
	is := is.New(t)
	p := newPair(t)
	// A source that is cut from the store answers until its proof is too old.
	p.clock.advance(oldest)
	_, err := p.ask(t, 0)
	is.NoErr(err)
	is.Equal(len(p.store.waits), 0)
	p.clock.advance(time.Millisecond)
	_, err = p.ask(t, 0)
	is.NoErr(err)
	is.Equal(len(p.store.waits), 1)
	// One that stands still costs the wait and no more.
	p = newPair(t)
	p.mute.Store(true)
	began := time.Now()
	_, err = p.ask(t, FollowWait)
	is.NoErr(err)
	is.Equal(len(p.store.waits), 1)
	is.True(time.Since(began) < bound)
}

func checkedWrite(key string, version uint64) platform.Txn {
	return platform.Txn{
		Checks: []platform.Check{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: []byte("x")}},
	}
}

func TestRowsOfSeveralInstancesBecomeOneTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := store.New()
		s.Put("duties", "taken", nil)
		calls := s.Calls()
		w := NewWriter(s.Table("duties"))
		outcomes := make(chan error, 3)
		for _, key := range []string{"a", "taken", "b"} {
			go func() {
				version, err := w.Write(t.Context(), Entry{Key: key, Checked: true})
				is.True(err != nil || version > 0)
				outcomes <- err
			}()
		}
		conflicts := 0
		for range 3 {
			var conflict *platform.ConflictError
			if errors.As(<-outcomes, &conflict) {
				is.Equal(conflict.Key, "taken")
				conflicts++
			}
		}
		is.Equal(conflicts, 1)
		is.Equal(s.Calls()-calls, 2) // once more without the one whose check failed
	})
}

func TestRowWithoutACheckIsWrittenLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := store.New()
		w := NewWriter(s.Table("instances"))
		began := time.Now()
		for i := range 5 {
			_, err := w.Write(t.Context(), Entry{Key: fmt.Sprint(i)})
			is.NoErr(err)
		}
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(uncheckedDelay + time.Millisecond)
		synctest.Wait()
		page, err := s.Feed("instances").Read(t.Context(), "")
		is.NoErr(err)
		is.Equal(len(page.Rows), 5)
		is.Equal(s.Calls(), 2) // one wrote, one read
	})
}

func TestRowIsWrittenThroughTheSource(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	versions, err := p.table.Commit(t.Context(), checkedWrite("a", 0))
	is.NoErr(err)
	_, err = p.table.Commit(t.Context(), checkedWrite("a", 0))
	var conflict *platform.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, versions[0])
	_, err = p.table.Commit(t.Context(), checkedWrite("a", versions[0]))
	is.NoErr(err)
}

func TestRowWhoseFateIsUnknownIsNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.mute.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := p.table.Commit(ctx, checkedWrite("a", 0))
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.Equal(p.own.Calls(), 0)
}

func TestRowGoesToTheStoreWhenTheSourceIsNone(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.serves = false
	versions, err := p.table.Commit(t.Context(), checkedWrite("a", 0))
	is.NoErr(err)
	is.True(versions[0] > 0)
	is.Equal(p.own.Calls(), 1)
}

func TestOnlySingleRowsWithTheirOwnCheckGoThroughTheSource(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	fenced := checkedWrite("a", 0)
	fenced.Checks = append(fenced.Checks, platform.Check{Key: "lease"})
	_, err := p.table.Commit(t.Context(), fenced)
	is.NoErr(err)
	_, err = p.table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: "a", Delete: true}}})
	is.NoErr(err)
	is.Equal(p.own.Calls(), 2) // at once, without waiting for other rows
}

// lonely is a pair in a zone without sources.
func lonely(t *testing.T) *pair {
	t.Helper()
	p := newPair(t)
	source, _ := p.feed.Group.Source()
	p.feed.Group.SetMembers([]Member{source, {Name: "self", Zone: "a"}})
	return p
}

func TestAnotherInstanceStandsInForAStoreThatTurnsThisOneAway(t *testing.T) {
	is := is.New(t)
	p := lonely(t)
	p.store.err = errors.New("status 429")
	_, err := p.ask(t, time.Second)
	is.Equal(err, p.store.err) // told once: entries may have lapsed
	p.clock.advance(2500 * time.Millisecond)
	page, err := p.ask(t, 500*time.Millisecond)
	is.NoErr(err)
	is.Equal(page.Age, 2500*time.Millisecond) // it may wait longest for the store
	is.Equal(len(p.store.waits), 1)
	p.clock.advance(standInTime)
	p.store.err = nil
	page, err = p.ask(t, 500*time.Millisecond)
	is.NoErr(err)
	is.Equal(page.Version, uint64(77)) // the store's
}

func TestWhereAllHaveLostTheStoreEachKeepsTryingIt(t *testing.T) {
	is := is.New(t)
	p := lonely(t)
	p.store.err = errors.New("reset")
	p.cache.Lost(p.store.err)
	for range 5 {
		_, err := p.ask(t, 500*time.Millisecond)
		is.Equal(err, p.store.err)
		p.clock.advance(shunFirst)
	}
	is.Equal(len(p.store.waits), 5) // each call reached the store
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
