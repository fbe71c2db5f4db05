package tally

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const window = 5 * time.Second

// memoryTable is a table in memory that can drop the replies of writes.
type memoryTable struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	version     uint64
	dropReplies bool // writes take effect without a reply
}

func newTable() *memoryTable { return &memoryTable{rows: map[string]platform.Row{}} }

func (t *memoryTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for _, key := range keys {
		row := t.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

func (t *memoryTable) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *memoryTable) Commit(_ context.Context, txn platform.Txn) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return nil, &platform.ConflictError{Key: c.Key, Current: t.rows[c.Key].Version}
		}
	}
	t.version++
	versions := make([]uint64, len(txn.Writes))
	for i, w := range txn.Writes {
		versions[i] = t.version
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: t.version}
	}
	if t.dropReplies {
		return nil, platform.ErrUnavailable
	}
	return versions, nil
}

// fakeClock is a source of true time that tests advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func TestMeterCountsInStartWindow(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Unix(1000, 0)} // start of window 200
	m := NewMeter(window, clock.Now)
	m.Began("org", 0)
	m.Began("org", time.Second) // started in the previous window
	is.Equal(m.windows[200]["org"], int64(1))
	is.Equal(m.windows[199]["org"], int64(1))
}

func TestMeterSnapshotReportsChanges(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Unix(1000, 0)}
	m := NewMeter(window, clock.Now)
	_, changed, err := m.Snapshot()
	is.NoErr(err)
	is.True(changed) // earlier windows have ended
	_, changed, _ = m.Snapshot()
	is.True(!changed)
	clock.add(window)
	_, changed, _ = m.Snapshot()
	is.True(changed) // a window has ended
}

func TestSaverUnknownWriteOutcome(t *testing.T) {
	is := is.New(t)
	table := newTable()
	clock := &fakeClock{now: time.Unix(1000, 0)}
	m := NewMeter(window, clock.Now)
	s := newSaver(m, table, "i/1", nil)
	m.Began("org", 0)
	table.dropReplies = true
	s.save(context.Background())
	table.dropReplies = false
	m.Began("org", 0)
	s.save(context.Background())
	c := NewCloser(CloserOptions{Window: window, Table: table, Expected: func() int { return 1 }, Recorder: timeline.Discard, Logger: hclog.NewNullLogger()})
	c.next = 200
	counts, complete, err := c.sum(context.Background(), time.Unix(1005, 0))
	is.NoErr(err)
	is.Equal(counts["org"], int64(2))
	is.True(!complete) // the window has not ended
}

// reportLog records the reports that the platform receives.
type reportLog struct {
	mu   sync.Mutex
	fail bool
	got  map[int64][]Counts
}

func (r *reportLog) report(_ context.Context, _ uint64, number int64, c Counts) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.got[number] = append(r.got[number], c)
	if r.fail {
		return errors.New("no reply")
	}
	return nil
}

// withLease runs work while a lease is held.
func withLease(t *testing.T, table platform.Table, instance string, work func(ctx context.Context, g lease.Guard)) {
	t.Helper()
	m := lease.NewManager(lease.Options{
		Instance: instance, Table: table, Duties: []string{"control"}, SweepUnder: "control",
		Timing: lease.Timing{Watch: 5 * time.Millisecond, RankDelay: time.Millisecond},
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.Do("control", func(ctx context.Context, g lease.Guard) error {
		work(ctx, g)
		cancel()
		return nil
	})
	if err := m.Run(ctx); err != nil {
		t.Fatal(err)
	}
}

func newCloser(table platform.Table, clock *fakeClock, r *reportLog, expected int) *Closer {
	return NewCloser(CloserOptions{
		Window: window, Due: 10 * time.Second, Table: table, Now: clock.Now, Report: r.report,
		Expected: func() int { return expected }, Duty: "duty", Recorder: timeline.Discard, Logger: hclog.NewNullLogger(),
	})
}

// saveCounts stores n requests of one organisation for a run.
func saveCounts(table platform.Table, clock *fakeClock, run, organisation string, n int) {
	m := NewMeter(window, clock.Now)
	for range n {
		m.Began(organisation, 0)
	}
	clock.add(window + saveDelay)
	newSaver(m, table, run, nil).save(context.Background())
	clock.add(-window - saveDelay)
}

func TestCloserRetriesIdenticalReport(t *testing.T) {
	is := is.New(t)
	table := newTable()
	clock := &fakeClock{now: time.Unix(1000, 0)}
	saveCounts(table, clock, "a/1", "org", 3)
	r := &reportLog{got: map[int64][]Counts{}, fail: true}
	clock.add(window + 2*time.Second)
	withLease(t, table, "first", func(ctx context.Context, g lease.Guard) {
		c := newCloser(table, clock, r, 1)
		c.next = 200
		is.True(c.closeDue(ctx, g) != nil) // no reply
	})
	clock.add(-window - 2*time.Second)
	saveCounts(table, clock, "b/1", "org", 4) // after the window was frozen
	clock.add(window + 2*time.Second)
	r.fail = false
	withLease(t, table, "second", func(ctx context.Context, g lease.Guard) {
		c := newCloser(table, clock, r, 2)
		c.next = 200
		is.NoErr(c.closeDue(ctx, g))
	})
	is.Equal(len(r.got[200]), 2)
	is.Equal(r.got[200][0], Counts{"org": 3})
	is.Equal(r.got[200][1], Counts{"org": 3})
}

func TestCloserWaitsForMissingInstances(t *testing.T) {
	is := is.New(t)
	table := newTable()
	clock := &fakeClock{now: time.Unix(1000, 0)}
	saveCounts(table, clock, "a/1", "org", 3)
	r := &reportLog{got: map[int64][]Counts{}}
	withLease(t, table, "i", func(ctx context.Context, g lease.Guard) {
		c := newCloser(table, clock, r, 2) // the second instance has stored nothing
		c.next = 200
		clock.add(window + 2*time.Second)
		is.NoErr(c.closeDue(ctx, g))
		is.Equal(len(r.got), 0)
		clock.add(6 * time.Second)
		is.NoErr(c.closeDue(ctx, g))
		is.Equal(r.got[200], []Counts{{"org": 3}})
	})
}

func TestCloserFencesFormerHolder(t *testing.T) {
	is := is.New(t)
	table := newTable()
	clock := &fakeClock{now: time.Unix(1000, 0)}
	saveCounts(table, clock, "a/1", "org", 3)
	r := &reportLog{got: map[int64][]Counts{}}
	var former lease.Guard
	withLease(t, table, "first", func(_ context.Context, g lease.Guard) { former = g })
	withLease(t, table, "second", func(context.Context, lease.Guard) {})
	clock.add(window + 2*time.Second)
	c := newCloser(table, clock, r, 1)
	c.next = 200
	is.True(c.closeDue(context.Background(), former) != nil)
	is.Equal(len(r.got), 0)
}

func TestCloserPagesAndDeletesEndedRuns(t *testing.T) {
	is := is.New(t)
	table := newTable()
	clock := &fakeClock{now: time.Unix(1000, 0)}
	for i := range 2*listPageSize + 1 {
		saveCounts(table, clock, fmt.Sprintf("a/%04d", i), "org", 1)
	}
	r := &reportLog{got: map[int64][]Counts{}}
	rows := func() int {
		n := 0
		for key := range table.rows {
			if strings.HasPrefix(key, countsPrefix) {
				n++
			}
		}
		return n
	}
	withLease(t, table, "i", func(ctx context.Context, g lease.Guard) {
		c := newCloser(table, clock, r, 0)
		c.next = 200
		clock.add(window + 2*time.Second)
		is.NoErr(c.closeDue(ctx, g))
		is.Equal(r.got[200], []Counts{{"org": 2*listPageSize + 1}})
		is.Equal(rows(), 2*listPageSize+1) // may still be needed for open windows
		clock.add(20 * window)
		c.next = 220
		is.NoErr(c.closeDue(ctx, g))
		is.Equal(rows(), 2*listPageSize+1-maxDeletesPerTxn)
	})
}

func newSaver(m *Meter, table platform.Table, run string, contact Contact) *Saver {
	return NewSaver(SaverOptions{
		Meter: m, Table: table, Run: run, Interval: func() time.Duration { return 5 * time.Second },
		Contact: contact, Logger: hclog.NewNullLogger(),
	})
}

// outage is a table and a Contact of a store that is unreachable until back is closed.
type outage struct {
	platform.Table
	back chan struct{}
}

func (o *outage) Wait(ctx context.Context, minWait, maxWait time.Duration) {
	time.Sleep(minWait)
	select {
	case <-o.back:
	case <-time.After(maxWait - minWait):
	case <-ctx.Done():
	}
}

func (o *outage) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	select {
	case <-o.back:
		return o.Table.Commit(ctx, txn)
	default:
		return nil, platform.ErrUnavailable
	}
}

func TestSaverRetriesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		down := &outage{Table: newTable(), back: make(chan struct{})}
		m := NewMeter(window, func() time.Time { return time.Now() })
		m.Began("org", 0)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { newSaver(m, down, "i/1", down).Run(ctx) })
		time.Sleep(8 * time.Second)
		close(down.back)
		time.Sleep(2 * minRetryDelay)
		synctest.Wait()
		rows, err := down.List(ctx, countsPrefix, "", 10)
		is.NoErr(err)
		is.Equal(len(rows), 1)
		cancel()
		running.Wait()
	})
}
