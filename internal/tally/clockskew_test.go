package tally

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// TestClosersThatDisagreeOnTheClock guards against a window that the next holder was told to be
// frozen and reports with other counts, since its time of day is behind that of the one before.
func TestClosersThatDisagreeOnTheClock(t *testing.T) {
	is := is.New(t)
	w, second, before := restoredCloser(t)
	is.NoErr(second.exchange.Apply(w.instances[0].origin, w.instances[0].exchange.Collect()))
	w.store.restore(time.Hour)
	w.learn(second)
	const behind = 3 * time.Second
	second.epoch.Since = second.epoch.Since.Add(-behind)
	second.saver.save(t.Context())
	w.clock.add(leaseWait)
	w.take(second)
	second.closer.options.Now = func() time.Time { return w.clock.Now().Add(-behind) }
	w.t = t
	w.work(second) // w.report fails the test if the counts differ
	is.Equal(w.reported[200], before)
}

// TestNoWindowIsClosedByTheWallClock guards against windows that are skipped or closed early by an
// instance that takes the duty before it knows the agreed time of day.
func TestNoWindowIsClosedByTheWallClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var agreed atomic.Bool
		c := NewCloser(CloserOptions{TimeAgreed: agreed.Load, Logger: hclog.NewNullLogger()})
		waited := func(ctx context.Context) time.Duration {
			start := time.Now()
			c.awaitTime(ctx)
			return time.Since(start)
		}
		is.Equal(waited(t.Context()), maxTimeWait) // it is never agreed
		time.AfterFunc(time.Second-time.Millisecond, func() { agreed.Store(true) })
		is.Equal(waited(t.Context()), time.Second)
		is.Equal(waited(t.Context()), time.Duration(0))
	})
}
