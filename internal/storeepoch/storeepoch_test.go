package storeepoch

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

func reasonOf(err error) Reason {
	var stale *StaleError
	if !errors.As(err, &stale) {
		return ""
	}
	return stale.Reason
}

// believe observes two answers with a new epoch, of which the second one confirms it.
func believe(t *testing.T, tr *Tracker, epoch uint64, at boottime.Instant) {
	t.Helper()
	is := is.New(t)
	before := tr.Current()
	is.Equal(reasonOf(tr.Observe(epoch, at)), Unconfirmed)
	is.Equal(tr.Current(), before)
	is.NoErr(tr.Observe(epoch, at))
	is.Equal(tr.Current().Number, epoch)
}

// TestEarlierEpochIsDiscarded guards against an answer of before a restore that arrives late and
// is believed.
func TestEarlierEpochIsDiscarded(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	believe(t, &tr, 3, 10)
	believe(t, &tr, 4, 20)
	is.Equal(reasonOf(tr.Observe(3, 30)), Earlier)
	is.Equal(tr.Current(), Epoch{Number: 4, SeenAt: 20, Stated: true})
	is.NoErr(tr.Observe(4, 40))
	is.Equal(tr.Current().SeenAt, boottime.Instant(20)) // the first answer counts
}

// TestUnstatedEpoch checks that a store that states no epoch is believed until it states one.
func TestUnstatedEpoch(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	is.NoErr(tr.ObserveUnstated(5))
	is.NoErr(tr.ObserveUnstated(6))
	is.Equal(tr.Current(), Epoch{SeenAt: 5})
	believe(t, &tr, 0, 7)
	is.Equal(reasonOf(tr.ObserveUnstated(8)), Unstated)
}

// TestImplausibleEpoch guards against one odd answer after which all others are discarded.
func TestImplausibleEpoch(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	believe(t, &tr, 1, 1)
	is.Equal(reasonOf(tr.Observe(1_000_000, 2)), Implausible)
	is.NoErr(tr.Observe(1, 3))
	believe(t, &tr, 1+maxRise, 4) // an instance that was cut off for long
}

func TestChangesAreReported(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	var changes [][2]uint64
	tr.OnChange(func(old, now Epoch) { changes = append(changes, [2]uint64{old.Number, now.Number}) })
	for i, epoch := range []uint64{2, 2, 3, 3, 2, 5, 5} {
		_ = tr.Observe(epoch, boottime.Instant(i+1))
	}
	is.Equal(changes, [][2]uint64{{2, 3}, {3, 5}})
	var text strings.Builder
	tr.WriteMetrics(&text)
	is.True(strings.Contains(text.String(), "hawthornwick_store_epoch 5\nhawthornwick_store_restores_total 2\n"))
	is.True(strings.Contains(text.String(), `hawthornwick_store_answers_discarded_total{reason="earlier"} 1`))
}

// TestOneOddEpochDoesNotLast guards against an instance that discards all answers for good after
// one that stated a higher epoch, first or later.
func TestOneOddEpochDoesNotLast(t *testing.T) {
	for name, before := range map[string][]uint64{"first answer": {70_000}, "later answer": {1, 40}} {
		t.Run(name, func(t *testing.T) {
			var tr Tracker
			at := boottime.Instant(1)
			for _, epoch := range before {
				_ = tr.Observe(epoch, at)
			}
			for range 600 { // one answer in 100 ms, and none of the other epoch
				at = at.Add(100 * time.Millisecond)
				if tr.Observe(1, at) == nil {
					return
				}
			}
			t.Fatal("answers of a minute were discarded")
		})
	}
}
