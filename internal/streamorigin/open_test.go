package streamorigin

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// TestTakeUpAtTheOnlyVersionNeedsNoStore guards against refused take-ups while the store is away,
// although no other version was ever listed.
func TestTakeUpAtTheOnlyVersionNeedsNoStore(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1")
		is.NoErr(other.begin(t.Context(), "a", "v1"))
		w.store.setDown(true)
		holder.setCut(true)
		other.setCut(true)
		time.Sleep(time.Second)
		is.NoErr(holder.begin(t.Context(), "b", "v1")) // a new stream begins
		version, err := holder.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

// TestTakeUpsGoOnAfterRestoreWithTwoVersions guards against refusals of all take-ups for the life
// of a stream, while new streams begin.
func TestTakeUpsGoOnAfterRestoreWithTwoVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1", "v2")
		for i := range 20 {
			is.NoErr(other.begin(t.Context(), fmt.Sprint("a", i), "v1"))
		}
		time.Sleep(10 * time.Second)
		w.store.copyRows()
		time.Sleep(3 * time.Second)
		w.store.restore()
		time.Sleep(8 * time.Second)
		is.NoErr(other.begin(t.Context(), "new", "v1"))
		wentOn := 0
		for i := range 20 {
			if version, err := holder.Find(t.Context(), fmt.Sprint("a", i), "s"); err == nil {
				is.Equal(version, "v1")
				wentOn++
			}
		}
		is.True(wentOn >= 10) // at least half
	})
}

// TestRecordsLostInRestoreAreWrittenAgain guards against the loss of the origin of a stream that
// runs at an instance which knows it.
func TestRecordsLostInRestoreAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1", "v2")
		w.store.copyRows()
		is.NoErr(other.begin(t.Context(), "a", "v2"))
		w.store.restore()
		time.Sleep(8 * time.Second)
		version, err := holder.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

// TestUnrecordedStreamOfOtherServiceIsRefused guards against a stream that goes on at the base
// version of a service that did not begin it, after its route has moved.
func TestUnrecordedStreamOfOtherServiceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "v1")
		view := func(n *node) func() View {
			return func() View {
				v := w.look(n)
				v.Services["s2"] = map[string]int{"w1": 3}
				return v
			}
		}
		first, second := w.startWith(view), w.startWith(view)
		w.hold(first)
		time.Sleep(5 * time.Second)
		is.NoErr(first.begin(t.Context(), "a", "v1")) // at service s, without a record
		_, err := first.Find(t.Context(), "a", "s2")
		_, refused := retryAfter(err)
		is.True(refused) // the instance that began it
		_, err = second.Find(t.Context(), "a", "s2")
		_, refused = retryAfter(err)
		is.True(refused) // any other one
	})
}

// startWith starts an instance whose list of servers is that of view.
func (w *world) startWith(view func(*node) func() View) *node {
	n := w.start(true)
	n.kill()
	synctest.Wait()
	o := n.options
	o.View = view(n)
	n.Registry = New(o)
	go n.Run(w.t.Context())
	return n
}

// TestLongVersionBeginsStreams guards against a service none of whose streams begins, since the
// directory accepts a version (256 bytes) that cannot be recorded.
func TestLongVersionBeginsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		version := strings.Repeat("v", 256)
		w := newWorld(t, version)
		n := w.start(true)
		w.hold(n)
		time.Sleep(5 * time.Second)
		is.NoErr(n.begin(t.Context(), "a", version))
	})
}

// TestSlowStoreForLongerCalls guards against streams and take-ups that never succeed at a store
// whose every call takes 1.5 s and takes effect.
func TestSlowStoreForLongerCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		other.link.delay = 1500 * time.Millisecond
		c := other.Track("a", "s")
		defer c.Ended()
		c.Sending("v2")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		is.NoErr(c.Confirm(ctx))
		fresh := w.start(false)
		fresh.link.delay = 1500 * time.Millisecond
		version, err := fresh.Find(ctx, "a", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

// TestStoreAwayAfterReleaseStopsNoStreams guards against a service all of whose streams fail while
// the store is away, since the only version that is left is not the base yet.
func TestStoreAwayAfterReleaseStopsNoStreams(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1", "v2")
		w.list("v2") // the release is complete
		time.Sleep(time.Minute)
		w.store.setDown(true)
		holder.setCut(true)
		other.setCut(true)
		is.NoErr(other.begin(t.Context(), "a", "v2"))
	})
}

// TestRestoreAfterOutageWithOneVersion guards against refusals for the life of a stream although
// only one version was ever listed, because the store was away before it came back as a copy.
func TestRestoreAfterOutageWithOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1")
		w.store.copyRows()
		is.NoErr(other.begin(t.Context(), "a", "v1"))
		w.store.setDown(true)
		holder.setCut(true)
		other.setCut(true)
		time.Sleep(6 * time.Second)
		w.store.restore()
		w.store.setDown(false)
		holder.setCut(false)
		other.setCut(false)
		time.Sleep(settling + 3*time.Second)
		version, err := holder.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}
