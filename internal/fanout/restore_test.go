package fanout

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// version returns the version of a number in an epoch.
func version(t *testing.T, epoch, number uint64) uint64 {
	t.Helper()
	v, err := platform.NewVersion(epoch, number)
	is.New(t).NoErr(err)
	return v
}

// TestFollowerReadsAllAfterRestore guards against a follower that keeps rows which its source
// dropped at a restore, since it goes on from its position of before.
func TestFollowerReadsAllAfterRestore(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	_, err := p.fetch(t, 500*time.Millisecond) // from version 5 of epoch 0
	is.NoErr(err)
	restored := version(t, 1, 3)
	p.cache.Apply(tablefeed.Update{Full: true, Restored: true, Rows: []tablefeed.Row{row("a", version(t, 1, 2))}}, restored, p.clock.now())
	_, err = p.fetch(t, 500*time.Millisecond)
	is.True(errors.Is(err, tablefeed.ErrHistoryGone))
	_, ok := p.feed.Group.Source()
	is.True(ok) // the source is not at fault
	page, err := p.cache.Changes(t.Context(), restored, 0)
	is.NoErr(err)
	is.Equal(len(page.Rows), 0)
	p.cache.Apply(tablefeed.Update{Rows: []tablefeed.Row{row("b", version(t, 1, 4))}}, version(t, 1, 4), p.clock.now())
	page, err = p.cache.Changes(t.Context(), restored, 0)
	is.NoErr(err)
	is.Equal(len(page.Rows), 1)
}

// TestSourceOfEarlierEpochIsLeft guards against a source that has not learned of a restore and
// whose rows of before count as current.
func TestSourceOfEarlierEpochIsLeft(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	page, err := p.feed.Changes(t.Context(), version(t, 1, 2), 500*time.Millisecond)
	is.NoErr(err)
	is.Equal(page.Version, uint64(77)) // the store's
	_, ok := p.feed.Group.Source()
	is.True(!ok)
}
