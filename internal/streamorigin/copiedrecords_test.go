package streamorigin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// triedTwice begins a stream at v1 whose earlier try at v2 is all that a restore leaves of it.
func triedTwice(t *testing.T) (w *world, other *node) {
	t.Helper()
	w, _, other = settled(t, "v1", "v2")
	c := other.Track("a", "s")
	c.Sending("v2")
	time.Sleep(time.Second) // acknowledged
	w.store.copyRows()
	c.Sending("v1")
	if err := c.Confirm(t.Context()); err != nil {
		t.Fatal(err)
	}
	c.Ended()
	return w, other
}

// TestEarlierTryInCopyDoesNotCount guards against a stream that goes on at the version of an earlier
// try of its attempt, since a restore has lost the record of the version that began it.
func TestEarlierTryInCopyDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, other := triedTwice(t)
		other.kill()
		w.store.restore()
		fresh := w.start(false)
		for range timesFor(10*time.Second).life / time.Second {
			_, err := fresh.Find(t.Context(), "a", "s")
			after, refused := retryAfter(err)
			is.True(refused)
			is.True(after > 0)
			time.Sleep(time.Second - 100*time.Millisecond)
		}
	})
}

// TestRecordOfCopyCountsAtTheOnlyVersion guards against refusals for a record in the copy, although
// no other version was ever listed.
func TestRecordOfCopyCountsAtTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, _ := settled(t, "v1")
		killed := w.start(true)
		is.NoErr(killed.begin(t.Context(), "a", "v1")) // the base is not known yet
		is.Equal(len(w.store.rows(originPrefix)), 1)
		killed.kill()
		w.store.copyRows()
		w.store.restore()
		time.Sleep(settling + 2*time.Second)
		version, err := w.start(false).Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}
