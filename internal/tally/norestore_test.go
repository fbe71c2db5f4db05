package tally

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/reports"
)

// TestWindowOfCrashedHolderWithoutRestore guards against a window that is left out although the
// store was never restored, since the holder crashed before it had frozen a first window.
func TestWindowOfCrashedHolderWithoutRestore(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Unix(1000, 0)} // start of window 200
	w := &sealedWorld{t: t, guard: holdDuty(t), clock: clock, store: newRestorable(clock), reported: map[int64]Counts{}}
	w.store.epoch = 0
	first := w.start()
	w.instances = []*sealedInstance{first}
	first.epoch = StoreEpoch{Stated: true, Since: clock.Now()}
	_, err := w.store.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: dutyRow}}})
	is.NoErr(err)
	first.meter.Began("org", 0)
	clock.add(window)
	first.saver.save(t.Context())

	second := w.start() // all instances were killed and are back
	w.instances = []*sealedInstance{second}
	clock.add(time.Second)
	second.epoch = StoreEpoch{Stated: true, Since: clock.Now()}
	clock.add(leaseWait + 4*time.Second) // closed even if counts are missing
	w.take(second)
	w.work(second)
	is.Equal(w.reported[200], Counts{"org": 1})
}

// TestWindowOfCrashedHolderInLaterEpoch guards against a window that is left out since the holder
// crashed before it had frozen a first window in the epoch, and all instances start anew.
func TestWindowOfCrashedHolderInLaterEpoch(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Unix(1000, 0)} // start of window 200
	w := &sealedWorld{t: t, guard: holdDuty(t), clock: clock, store: newRestorable(clock), reported: map[int64]Counts{}}
	first := w.start()
	w.instances = []*sealedInstance{first}
	w.learn(first)
	clock.add(leaseWait)
	w.take(first)
	w.work(first)
	first.meter.Began("org", 0)
	clock.add(window - leaseWait)
	first.saver.save(t.Context())

	second := w.start()
	w.instances = []*sealedInstance{second}
	clock.add(time.Second)
	w.learn(second)
	clock.add(leaseWait + 4*time.Second) // closed even if counts are missing
	w.take(second)
	w.work(second)
	is.Equal(w.reported[200], Counts{"org": 1})
}

// TestFormerCloserStopsTelling guards against an instance that sends the counts of long reported
// windows to all others each second for good, since it once held the duty.
func TestFormerCloserStopsTelling(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Unix(1000, 0)}
	e := NewExchange(NewMeter(window, clock.Now), "i/1", clock.Now)
	e.seal(200, Counts{"org": 1})
	is.True(e.Collect() != nil)
	clock.add(time.Hour)
	_ = e.Collect()
	clock.add(time.Minute)
	is.True(e.Collect() == nil)
}

// TestFrozenCountsAreToldWhileDue guards against a next holder, whose clock is behind, that may
// still report a window and was not told its frozen counts.
func TestFrozenCountsAreToldWhileDue(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Unix(1000, 0)} // start of window 200
	e := NewExchange(NewMeter(window, clock.Now), "i/1", clock.Now)
	next := NewExchange(NewMeter(window, clock.Now), "i/2", clock.Now)
	clock.add(window + minCloseDelay)
	e.seal(200, Counts{"org": 1})
	const due, behind = 10 * time.Second, 5 * time.Second
	clock.add(due + behind - minCloseDelay)
	is.NoErr(next.Apply(reports.Origin{Instance: "i"}, e.Collect()))
	counts, known := next.sealed(200)
	is.True(known)
	is.Equal(counts, Counts{"org": 1})
}
