package streamorigin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestLatencyTimeout(t *testing.T) {
	is := is.New(t)
	const least = 300 * time.Millisecond
	var l latency
	is.Equal(l.timeout(least), maxSlowCall) // nothing is known
	l.add(10 * time.Millisecond)
	is.Equal(l.timeout(least), least)
	l.add(time.Second)
	is.Equal(l.timeout(least), 1500*time.Millisecond)
	l.add(0)
	is.Equal(l.timeout(least), 750*time.Millisecond)
	l.add(time.Minute)
	is.Equal(l.timeout(least), maxSlowCall)
	is.Equal(l.timeout(time.Hour), time.Hour)
}

// TestResumptionsGoOnOnceStoreIsKnownToBeSlow guards against an instance that refuses all resumptions
// since the store became slow after it had been quick.
func TestResumptionsGoOnOnceStoreIsKnownToBeSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, holder, other := settled(t, "v1", "v2")
		is.NoErr(other.begin(t.Context(), "a", "v2"))
		holder.link.delay = 1500 * time.Millisecond
		_, err := holder.Find(t.Context(), "a", "s")
		after, refused := retryAfter(err)
		is.True(refused)
		is.True(after > 0)
		time.Sleep(2 * time.Second)
		version, err := holder.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

// TestRecordsAtSlowStoreAreNotWrittenTwice guards against a writer that tries each batch with short
// timeouts first, although the store is known to be slow.
func TestRecordsAtSlowStoreAreNotWrittenTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		other.link.delay = 1500 * time.Millisecond
		for i := range 3 {
			c := other.Track(fmt.Sprint(i), "s")
			c.Sending("v2")
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			is.NoErr(c.Confirm(ctx))
			cancel()
			c.Ended()
			if i > 0 {
				is.Equal(time.Since(start), other.link.delay)
			}
			time.Sleep(2 * time.Second)
		}
		is.Equal(len(w.store.rows(originPrefix)), 3)
	})
}
