package fanout

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

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
