package tally

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/reports"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// restorable is a store that can come back from copies of itself.
type restorable struct {
	table  *memoryTable
	epoch  uint64
	copies []storeCopy
	clock  *fakeClock
}

type storeCopy struct {
	at      time.Time
	rows    map[string]platform.Row
	version uint64
}

func newRestorable(clock *fakeClock) *restorable {
	return &restorable{table: newTable(), epoch: 1, clock: clock}
}

// keepCopy keeps a copy of the store as it is now.
func (r *restorable) keepCopy() {
	r.copies = append(r.copies, storeCopy{r.clock.Now(), maps.Clone(r.table.rows), r.table.version})
}

// restore brings back the newest copy that is at least as old as age, or the oldest one.
func (r *restorable) restore(age time.Duration) {
	for len(r.copies) > 1 && r.clock.Now().Sub(r.copies[len(r.copies)-1].at) < age {
		r.copies = r.copies[:len(r.copies)-1]
	}
	c := r.copies[len(r.copies)-1]
	r.table.rows, r.table.version = maps.Clone(c.rows), c.version
	r.epoch++
}

func (r *restorable) version(number uint64) uint64 {
	v, err := platform.NewRowVersion(r.epoch, number)
	if err != nil {
		panic(err)
	}
	return v
}

// Get implements platform.Table.
func (r *restorable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := r.table.Get(ctx, keys...)
	return r.versions(rows), err
}

// List implements platform.Table.
func (r *restorable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := r.table.List(ctx, prefix, after, limit)
	return r.versions(rows), err
}

func (r *restorable) versions(rows []platform.Row) []platform.Row {
	for i := range rows {
		rows[i].Version = r.version(rows[i].Version)
	}
	return rows
}

// Commit implements platform.Table.
func (r *restorable) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	numbers := platform.Txn{Writes: txn.Writes}
	for _, c := range txn.Checks {
		if c.Version != 0 && platform.EpochOf(c.Version) != r.epoch {
			return nil, &platform.ConflictError{Key: c.Key}
		}
		numbers.Checks = append(numbers.Checks, platform.Check{Key: c.Key, Version: platform.NumberOf(c.Version)})
	}
	versions, err := r.table.Commit(ctx, numbers)
	for i := range versions {
		versions[i] = r.version(versions[i])
	}
	return versions, err
}

// dutyRow is the key of the row of the duty.
const dutyRow = "duty"

// heldTable is the store as a holder of the duty calls it. A check of the row of its guard stands
// for one of the row that the holder wrote, of which the store compares the number only.
type heldTable struct {
	*restorable
	claim  uint64                  // number of the row
	defers func(platform.Txn) bool // keeps the transaction for later; may be nil
}

// Commit implements platform.Table.
func (h heldTable) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	for i, c := range txn.Checks {
		if strings.HasPrefix(c.Key, "lease/") {
			txn.Checks[i] = platform.Check{Key: dutyRow, Version: h.version(h.claim)}
		}
	}
	if h.defers != nil && h.defers(txn) {
		return nil, platform.ErrUnavailable
	}
	return h.restorable.Commit(ctx, txn)
}

// holdDuty returns a guard that is valid until the test ends.
func holdDuty(t *testing.T) lease.Guard {
	t.Helper()
	guards := make(chan lease.Guard, 1)
	m := lease.NewManager(lease.Options{
		Instance: "i", Table: newTable(), Duties: []string{"control"}, SweepUnder: "control",
		Timing: lease.Timing{Watch: 5 * time.Millisecond, RankDelay: time.Millisecond},
	})
	m.Do("control", func(ctx context.Context, g lease.Guard) error {
		guards <- g
		<-ctx.Done()
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return <-guards
}

// sealedInstance is one instance that may close windows.
type sealedInstance struct {
	meter    *Meter
	exchange *Exchange
	saver    *Saver
	closer   *Closer // nil unless it holds the duty
	epoch    StoreEpoch
	origin   reports.Origin
}

// sealedWorld is a number of instances and a store that comes back from copies.
type sealedWorld struct {
	t         *testing.T
	random    *rand.Rand
	guard     lease.Guard
	clock     *fakeClock
	store     *restorable
	instances []*sealedInstance
	runs      int
	freeAt    time.Time // from when the duty may be taken
	reported  map[int64]Counts
	delayed   bool // the store is restored between freezing and reporting
	lost      bool // responses to reports are lost
	reports   int
	pending   []platform.Txn // that the store performs later, with numbers as versions
	performed int            // of pending
}

func newSealedWorld(t *testing.T, g lease.Guard, seed uint64) *sealedWorld {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	w := &sealedWorld{t: t, random: rand.New(rand.NewPCG(seed, 0)), guard: g, clock: clock, store: newRestorable(clock), reported: map[int64]Counts{}}
	w.store.keepCopy()
	for range 3 {
		w.instances = append(w.instances, w.start())
	}
	return w
}

// start returns an instance that knows nothing.
func (w *sealedWorld) start() *sealedInstance {
	w.runs++
	run := fmt.Sprintf("i/%d", w.runs)
	i := &sealedInstance{meter: NewMeter(window, w.clock.Now), origin: reports.Origin{Instance: run}}
	i.exchange = NewExchange(i.meter, run, w.clock.Now)
	i.saver = newSaver(i.meter, w.store, run, nil)
	return i
}

// learn lets an instance see the store's epoch.
func (w *sealedWorld) learn(i *sealedInstance) {
	if i.epoch.Stated && i.epoch.Number == w.store.epoch {
		return
	}
	i.epoch = StoreEpoch{Number: w.store.epoch, Stated: true, Since: w.clock.Now()}
	i.closer = nil
	i.meter.MarkDirty()
	i.saver.versionUnknown = true
}

// leaseWait is how long after a change of the holder, or after it learned of an epoch, an
// instance takes the duty.
const leaseWait = 3 * time.Second

// take makes an instance the closer, once no other one may act.
func (w *sealedWorld) take(i *sealedInstance) {
	w.learn(i)
	now := w.clock.Now()
	if i.closer != nil || now.Before(w.freeAt) || now.Before(i.epoch.Since.Add(leaseWait)) {
		return
	}
	for _, other := range w.instances {
		other.closer = nil
	}
	w.freeAt = now.Add(leaseWait)
	versions, _ := w.store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: dutyRow}}})
	table := heldTable{restorable: w.store, claim: platform.NumberOf(versions[0]), defers: w.deferTxn}
	i.closer = NewCloser(CloserOptions{
		Window: window, Due: 10 * time.Second, Table: table, Now: w.clock.Now, Report: w.report, Heard: i.exchange,
		Epoch: func() StoreEpoch { return i.epoch }, Expected: func() int { return 1 }, Duty: "duty",
		Recorder: timeline.Discard, Logger: hclog.NewNullLogger(),
	})
	i.closer.next = WindowAt(now.Add(-10*time.Second), window)
}

func (w *sealedWorld) report(_ context.Context, _ uint64, number int64, c Counts) error {
	if w.delayed { // what was frozen is reported, and lost
		w.delayed = false
		w.restore()
	}
	w.reports++
	if before, ok := w.reported[number]; ok && !maps.Equal(before, c) {
		w.t.Fatalf("window %d was reported as %v and as %v", number, before, c)
	}
	w.reported[number] = c
	if w.lost {
		return errors.New("response lost")
	}
	return nil
}

// deferTxn keeps some of the transactions that freeze a window for later.
func (w *sealedWorld) deferTxn(txn platform.Txn) bool {
	if w.random == nil || !strings.HasPrefix(txn.Writes[0].Key, frozenPrefix) || w.random.IntN(4) > 0 {
		return false
	}
	late := platform.Txn{Writes: txn.Writes}
	for _, c := range txn.Checks {
		late.Checks = append(late.Checks, platform.Check{Key: c.Key, Version: platform.NumberOf(c.Version)})
	}
	w.pending = append(w.pending, late)
	return true
}

// performPending performs the oldest pending transaction if its conditions hold, of which the store
// compares the numbers only.
func (w *sealedWorld) performPending() {
	if len(w.pending) == 0 {
		return
	}
	txn := w.pending[0]
	w.pending = w.pending[1:]
	if _, err := w.store.table.Commit(context.Background(), txn); err == nil {
		w.performed++
	}
}

func (w *sealedWorld) restore() {
	w.store.restore(time.Duration((500 + w.random.IntN(7500))) * time.Millisecond)
}

// step lets something happen, and the holder work.
func (w *sealedWorld) step() {
	w.clock.add(time.Duration((100 + w.random.IntN(500))) * time.Millisecond)
	n := w.random.IntN(len(w.instances))
	i := w.instances[n]
	switch w.random.IntN(8) {
	case 0:
		w.fault(n)
	case 1:
		w.learn(i)
		i.saver.save(context.Background())
	case 2, 3:
		if state := i.exchange.Collect(); state != nil {
			to := w.instances[w.random.IntN(len(w.instances))]
			_ = to.exchange.Apply(i.origin, state)
		}
	case 4:
		w.store.keepCopy()
	case 5:
		w.take(i)
	default:
		i.meter.Began("org", 0)
	}
	w.lost = w.random.IntN(4) == 0
	for _, holder := range w.instances {
		w.work(holder)
	}
}

// fault restores the store, or lets an instance crash.
func (w *sealedWorld) fault(n int) {
	switch w.random.IntN(30) {
	case 5, 6, 7:
		w.performPending()
	case 0, 1:
		w.restore()
		w.performPending()
	case 2, 3:
		w.delayed = true
	case 4:
		w.instances[n] = w.start()
	}
}

// work lets the holder close what is due. One that has not learned of a restore learns of it with
// its first call, and gives up.
func (w *sealedWorld) work(i *sealedInstance) {
	if i.closer == nil {
		return
	}
	if i.epoch.Number != w.store.epoch {
		w.learn(i)
		return
	}
	_ = i.closer.closeDue(context.Background(), w.guard)
}

// TestWindowIsReportedWithOneCount guards against a window that is reported with two counts, since
// the store has lost the frozen ones, over series of restores, crashes and changes of the holder.
func TestWindowIsReportedWithOneCount(t *testing.T) {
	guard := holdDuty(t)
	windows, sent, late := 0, 0, 0
	for seed := range uint64(200) {
		w := newSealedWorld(t, guard, seed)
		for range 500 {
			w.step()
		}
		windows += len(w.reported)
		sent += w.reports
		late += w.performed
	}
	t.Logf("%d windows in %d reports, %d late transactions", windows, sent, late)
	is := is.New(t)
	is.True(sent > windows)
	is.True(late > 0)
}

// restoredCloser returns an instance that holds the duty of a store that was restored, and the
// counts of window 200, which was frozen and reported before.
func restoredCloser(t *testing.T) (w *sealedWorld, i *sealedInstance, before Counts) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	w = &sealedWorld{guard: holdDuty(t), clock: clock, store: newRestorable(clock), reported: map[int64]Counts{}}
	w.store.keepCopy()
	first, second := w.start(), w.start()
	w.instances = []*sealedInstance{first, second}
	w.learn(first)
	clock.add(leaseWait)
	w.take(first)
	first.meter.Began("org", 0)
	clock.add(window + 2*minCloseDelay - leaseWait)
	first.saver.save(context.Background())
	w.work(first)
	before = w.reported[200]
	is.New(t).Equal(before, Counts{"org": 1})
	second.meter.Began("org", window) // counted late
	return w, second, before
}

// TestFrozenCountsOutliveTheStore checks that a window whose frozen counts the store has lost is
// reported with the same ones if an instance was told of them.
func TestFrozenCountsOutliveTheStore(t *testing.T) {
	is := is.New(t)
	w, second, before := restoredCloser(t)
	is.NoErr(second.exchange.Apply(w.instances[0].origin, w.instances[0].exchange.Collect()))
	w.store.restore(time.Hour)
	w.learn(second)
	second.saver.save(context.Background())
	w.clock.add(leaseWait)
	w.take(second)
	w.work(second)
	is.Equal(w.reported[200], before)
	rows, err := w.store.Get(context.Background(), frozenKey(200))
	is.NoErr(err)
	is.Equal(string(rows[0].Value), `{"org":1}`)
}

// TestUnknownFrozenCountsAreNotReplaced checks that such a window is left out if nobody knows its
// counts, and that the windows after it are reported.
func TestUnknownFrozenCountsAreNotReplaced(t *testing.T) {
	is := is.New(t)
	w, second, _ := restoredCloser(t)
	w.store.restore(time.Hour)
	w.learn(second)
	w.clock.add(leaseWait)
	w.take(second)
	second.meter.Began("org", 0)
	w.clock.add(window + minCloseDelay)
	second.saver.save(context.Background())
	w.work(second)
	is.Equal(w.reports, 2) // window 200 by the first holder, and a later one
	is.Equal(w.reported[201]["org"]+w.reported[202]["org"], int64(1))
}

// TestNextHolderTrustsTheEpochRow checks that an instance that starts after a restore reports the
// windows that ended before its start, once another one has closed a window in the epoch.
func TestNextHolderTrustsTheEpochRow(t *testing.T) {
	is := is.New(t)
	w, second, _ := restoredCloser(t)
	w.store.restore(time.Hour)
	w.learn(second)
	w.clock.add(leaseWait)
	w.take(second)
	for range 3 {
		second.meter.Began("org", 0)
		w.clock.add(window)
		second.saver.save(context.Background())
		w.work(second)
	}
	reported := len(w.reported)
	second.meter.Began("org", 0)
	w.clock.add(window + minCloseDelay)
	second.saver.save(context.Background())
	third := w.start()
	w.instances = append(w.instances, third)
	w.learn(third)
	third.epoch.Since = third.epoch.Since.Add(-time.Nanosecond) // it has just started
	w.freeAt = w.clock.Now()
	third.closer = nil
	w.clock.add(leaseWait)
	w.take(third)
	w.work(third)
	is.True(len(w.reported) > reported)
}
