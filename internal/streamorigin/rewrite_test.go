package streamorigin

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/gateway"
)

// notice has an instance learn of a restore while its writer pauses.
func (n *node) notice(t *testing.T) {
	t.Helper()
	if err := n.begin(t.Context(), "before the pause", "v2"); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	n.link.store.restore()
	n.tick(n.now())
}

// TestLastTryIsWrittenAgain guards against refusals for the life of a stream that was tried at two
// versions, although the instance that began it lives.
func TestLastTryIsWrittenAgain(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("lost=", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, _ := triedTwice(t)
				if !lost {
					w.store.copyRows()
				}
				w.store.restore()
				time.Sleep(2 * time.Second)
				version, err := w.start(false).Find(t.Context(), "a", "s")
				is.NoErr(err)
				is.Equal(version, "v1")
			})
		})
	}
}

// TestLaterVersionCountsOverRewrittenOne guards against a stream that goes on at a version that
// needed no record and was given up before the first event.
func TestLaterVersionCountsOverRewrittenOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		w.store.copyRows()
		c := other.Track("a", "s")
		c.Sending("v1")
		is.NoErr(c.Confirm(t.Context()))
		other.notice(t)
		c.Sending("v2")
		is.NoErr(c.Confirm(t.Context()))
		time.Sleep(2 * time.Second)
		version, err := w.start(false).Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

// TestLostOriginStaysUnknownAfterRestore guards against a record that is written again over the one
// that says that the origin is not certain.
func TestLostOriginStaysUnknownAfterRestore(t *testing.T) {
	for _, noticed := range []bool{false, true} { // before the origin was lost
		for _, version := range []string{"v1", "v2"} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, _, other := settled(t, "v1", "v2")
				w.store.copyRows()
				c := other.Track("a", "s")
				c.Sending(version)
				is.NoErr(c.Confirm(t.Context()))
				if noticed {
					other.notice(t)
				}
				c.Lost()
				c.Ended()
				time.Sleep(time.Second)
				w.store.restore()
				time.Sleep(3 * time.Second)
				_, err := w.start(false).Find(t.Context(), "a", "s")
				var unknown *gateway.OriginUnknownError
				is.True(errors.As(err, &unknown))
				is.Equal(unknown.RetryAfter, time.Duration(0))
			})
		}
	}
}

// TestRestoreDuringRewrite guards against records that a second restore loses.
func TestRestoreDuringRewrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		w.store.copyRows()
		for i := range 120 {
			version := []string{"v1", "v2"}[i%2]
			is.NoErr(other.begin(t.Context(), fmt.Sprint(i), version))
		}
		w.store.restore()
		time.Sleep(505 * time.Millisecond) // some are written again
		w.store.restore()
		time.Sleep(3 * time.Second)
		fresh := w.start(false)
		for i := range 120 {
			version, err := fresh.Find(t.Context(), fmt.Sprint(i), "s")
			is.NoErr(err)
			is.Equal(version, []string{"v1", "v2"}[i%2])
		}
	})
}

// TestRestoreNoticedWhileStreamBegins guards against a stream at the base version that begins
// without a record just when a restore is noticed.
func TestRestoreNoticedWhileStreamBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		w.store.copyRows()
		w.store.restore()
		time.Sleep(time.Second)
		other.remember(digestOf("a"), ownOrigin{origin: originRow{Service: "s", Version: "v1"}})
		time.Sleep(time.Second)
		version, err := w.start(false).Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

// TestRewrittenRecordsAreDeleted checks that records that were written again leave no rows, and that
// those of streams that have ended are not written.
func TestRewrittenRecordsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		is.NoErr(other.begin(t.Context(), "ended", "v1"))
		time.Sleep(timesFor(10*time.Second).life + time.Second)
		for i := range 60 {
			is.NoErr(other.begin(t.Context(), fmt.Sprint(i), "v1"))
		}
		w.store.copyRows()
		w.store.restore()
		time.Sleep(3 * time.Second)
		is.Equal(len(w.store.rows(originPrefix)), 60)
		time.Sleep(minQuiet - 15*time.Second)
		is.Equal(len(w.store.rows(originPrefix)), 60)
		time.Sleep(30 * time.Second)
		is.Equal(len(w.store.rows(originPrefix)), 0)
	})
}

// TestFailedRewriteIsTriedAgain guards against records that are given up since the store did not
// answer.
func TestFailedRewriteIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		is.NoErr(other.begin(t.Context(), "a", "v1"))
		w.store.copyRows()
		w.store.restore()
		other.link.follow()
		w.store.setDown(true)
		time.Sleep(5 * time.Second)
		w.store.setDown(false)
		time.Sleep(4 * time.Second)
		version, err := w.start(false).Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

// TestKilledInstancesStreamsAfterOutage checks that streams whose origin nobody knows are refused
// for their life after a restore, and then go on.
func TestKilledInstancesStreamsAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1")
		w.store.copyRows()
		is.NoErr(other.begin(t.Context(), "a", "v1"))
		other.kill()
		w.store.setDown(true)
		holder.setCut(true)
		time.Sleep(6 * time.Second)
		w.store.restore()
		w.store.setDown(false)
		holder.setCut(false)
		time.Sleep(timesFor(10*time.Second).life - 2*time.Second)
		_, err := holder.Find(t.Context(), "a", "s")
		after, ok := retryAfter(err)
		is.True(ok)
		is.True(after > 0)
		time.Sleep(5 * time.Second)
		version, err := holder.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}
