package fanout

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

func TestCacheChangesSinceVersion(t *testing.T) {
	is := is.New(t)
	c := newClock()
	cache := NewCache(c.now)
	_, err := cache.Changes(t.Context(), 0, 0)
	is.True(errors.Is(err, errStoreUnavailable)) // nothing received yet
	cache.Apply(tablefeed.Update{Full: true, Rows: []tablefeed.Row{row("a", 3), row("b", 5)}}, 6, c.now())
	c.advance(300 * time.Millisecond)
	_, err = cache.Changes(t.Context(), 5, 0)
	is.True(errors.Is(err, tablefeed.ErrHistoryGone)) // deletions up to version 6 are unknown
	cache.Apply(tablefeed.Update{Rows: []tablefeed.Row{row("b", 8), {Key: "a", Version: 9, Removed: true}}}, 9, c.now())
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

func TestCacheDetectsDeletesInFullRead(t *testing.T) {
	is := is.New(t)
	c := newClock()
	cache := NewCache(c.now)
	cache.Apply(tablefeed.Update{Full: true, Rows: []tablefeed.Row{row("a", 3), row("b", 5)}}, 6, c.now())
	cache.Apply(tablefeed.Update{Full: true, Rows: []tablefeed.Row{row("b", 5)}}, 12, c.now())
	page, err := cache.Changes(t.Context(), 6, 0)
	is.NoErr(err)
	is.Equal(page.Rows, []tablefeed.Row{{Key: "a", Version: 12, Removed: true}})
}

func TestCacheDropsTombstones(t *testing.T) {
	is := is.New(t)
	c := newClock()
	cache := NewCache(c.now)
	cache.Apply(tablefeed.Update{Full: true}, 1, c.now())
	version := uint64(1)
	for i := range maxTombstones + 1 {
		version++
		cache.Apply(tablefeed.Update{Rows: []tablefeed.Row{{Key: fmt.Sprint(i), Version: version, Removed: true}}}, version, c.now())
	}
	is.Equal(len(cache.rows), 0)
	_, err := cache.Changes(t.Context(), version-1, 0)
	is.True(errors.Is(err, tablefeed.ErrHistoryGone))
	_, err = cache.Changes(t.Context(), version, 0)
	is.NoErr(err)
}

func TestCacheChangesLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cache := NewCache(newClock().now)
		cache.Apply(tablefeed.Update{Full: true}, 1, newClock().now())
		start := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			cache.Apply(tablefeed.Update{}, 2, newClock().now()) // no rows: does not wake the call
			time.Sleep(100 * time.Millisecond)
			cache.Apply(tablefeed.Update{Rows: []tablefeed.Row{row("a", 3)}}, 3, newClock().now())
			time.Sleep(100 * time.Millisecond)
			cache.MarkUnavailable(errors.New("timeout"))
		}()
		page, err := cache.Changes(t.Context(), 1, time.Second)
		is.NoErr(err)
		is.Equal(len(page.Rows), 1)
		is.Equal(time.Since(start), 200*time.Millisecond)
		_, err = cache.Changes(t.Context(), 3, time.Second)
		is.True(errors.Is(err, errStoreUnavailable))
		is.Equal(time.Since(start), 300*time.Millisecond)
	})
}
