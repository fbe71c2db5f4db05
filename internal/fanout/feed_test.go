package fanout

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

func TestFeedReadsFromSource(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.cache.Apply(tablefeed.Update{Rows: []tablefeed.Row{{Key: "a", Version: 8, Value: []byte("x")}}}, 8, p.clock.now())
	p.clock.advance(250 * time.Millisecond)
	page, err := p.fetch(t, time.Second)
	is.NoErr(err)
	is.Equal(page.Rows, []tablefeed.Row{{Key: "a", Version: 8, Value: []byte("x")}})
	is.Equal(page.Version, uint64(8))
	is.Equal(page.Clock, 42*time.Second)
	is.Equal(page.Age, 250*time.Millisecond)
	is.True(page.Immediate)
	is.Equal(len(p.store.waits), 0)
}

func TestFeedFallsBackToStore(t *testing.T) {
	for name, breakSource := range map[string]func(*pair){
		"not a source":  func(p *pair) { p.isSource = false },
		"other program": func(p *pair) { p.server.Config.Handler = http.NotFoundHandler() },
		"crashed":       func(p *pair) { p.server.Close() },
		"unresponsive":  func(p *pair) { p.unresponsive.Store(true) },
		"stale data":    func(p *pair) { p.clock.advance(1700 * time.Millisecond) },
		"history gone":  func(p *pair) { p.cache.compacted = 6 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			breakSource(p)
			page, err := p.fetch(t, 500*time.Millisecond)
			is.NoErr(err)
			is.Equal(page.Version, uint64(77))
			is.True(page.Immediate) // the store was read without a wait
			is.Equal(p.store.waits, []time.Duration{0})
			_, ok := p.feed.Group.Source()
			is.True(!ok) // in backoff
			p.clock.advance(minSourceBackoff)
			_, ok = p.feed.Group.Source()
			is.True(ok)
		})
	}
}

func TestServerRequiresToken(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	source, _ := p.feed.Group.Source()
	source.Token = "guessed"
	_, err := p.feed.Client.fetchChanges(t.Context(), source, "servers", 5, 0)
	is.True(errors.Is(err, errNotSource))
}

func TestFeedReportsStoreUnavailableAtSource(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.cache.MarkUnavailable(errors.New("timeout"))
	_, err := p.fetch(t, 500*time.Millisecond)
	is.True(errors.Is(err, errStoreUnavailable)) // entries may have expired meanwhile: see tablefeed.Update.Gap
	is.Equal(len(p.store.waits), 0)
	_, err = p.fetch(t, 500*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(p.store.waits), 1) // the next call reads the store directly
}

// TestFeedStalenessBounds guards the limit of two seconds on the delay of an update.
// A source that is cut off from the store serves data that grows stale, and one that
// hangs delays its callers until their wait is over.
func TestFeedStalenessBounds(t *testing.T) {
	const bound = 2 * time.Second
	const maxAge = 1600 * time.Millisecond
	is := is.New(t)
	p := newPair(t)
	// A source that is cut off from the store is used until its data is too old.
	p.clock.advance(maxAge)
	_, err := p.fetch(t, 0)
	is.NoErr(err)
	is.Equal(len(p.store.waits), 0)
	p.clock.advance(time.Millisecond)
	_, err = p.fetch(t, 0)
	is.NoErr(err)
	is.Equal(len(p.store.waits), 1)
	// One that hangs costs no more than the wait.
	p = newPair(t)
	p.unresponsive.Store(true)
	start := time.Now()
	_, err = p.fetch(t, LongPollWait)
	is.NoErr(err)
	is.Equal(len(p.store.waits), 1)
	is.True(time.Since(start) < bound)
}

func TestFeedUsesProxyWhenStoreRejects(t *testing.T) {
	is := is.New(t)
	p := newPairWithoutSources(t)
	p.store.err = errors.New("status 429")
	_, err := p.fetch(t, time.Second)
	is.Equal(err, p.store.err) // reported once: entries may have expired
	p.clock.advance(2500 * time.Millisecond)
	page, err := p.fetch(t, 500*time.Millisecond)
	is.NoErr(err)
	is.Equal(page.Age, 2500*time.Millisecond) // the limit for a proxy is ProxyMaxAge, not MaxAge
	is.Equal(len(p.store.waits), 1)
	p.clock.advance(proxyDuration)
	p.store.err = nil
	page, err = p.fetch(t, 500*time.Millisecond)
	is.NoErr(err)
	is.Equal(page.Version, uint64(77)) // read from the store
}

func TestFeedRetriesStoreWithoutProxy(t *testing.T) {
	is := is.New(t)
	p := newPairWithoutSources(t)
	p.store.err = errors.New("reset")
	p.cache.MarkUnavailable(p.store.err)
	for range 5 {
		_, err := p.fetch(t, 500*time.Millisecond)
		is.Equal(err, p.store.err)
		p.clock.advance(minSourceBackoff)
	}
	is.Equal(len(p.store.waits), 5) // each call reached the store
}

// TestLargeAnswerIsReceived guards against changes that never arrive because their
// transfer takes longer than the timeout of a call, so that each call starts it anew.
func TestLargeAnswerIsReceived(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	value := make([]byte, 1<<20)
	p.cache.Apply(tablefeed.Update{Rows: []tablefeed.Row{{Key: "a", Version: 8, Value: value}}}, 8, p.clock.now())
	p.pieceDelay.Store(int64(100 * time.Millisecond))
	page, err := p.fetch(t, time.Second)
	is.NoErr(err)
	is.Equal(len(p.store.waits), 0)
	is.Equal(len(page.Rows), 1)
	is.Equal(page.Rows[0].Value, value)
}

// TestAnswerThatStopsIsGivenUp: a source that falls silent in the middle of its answer
// must not delay the store's.
func TestAnswerThatStopsIsGivenUp(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.cache.Apply(tablefeed.Update{Rows: []tablefeed.Row{{Key: "a", Version: 8, Value: make([]byte, 1<<20)}}}, 8, p.clock.now())
	p.pieceDelay.Store(int64(time.Minute))
	began := time.Now()
	page, err := p.fetch(t, time.Second)
	is.NoErr(err)
	is.Equal(page.Version, uint64(77))
	is.True(time.Since(began) < 4*time.Second)
}
