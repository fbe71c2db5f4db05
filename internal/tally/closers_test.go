package tally

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// checkOneCount fails the test unless the window was reported, each time with the same counts.
func (r *reportLog) checkOneCount(t *testing.T, number int64) {
	t.Helper()
	all := r.got[number]
	if len(all) == 0 {
		t.Fatalf("window %d was not reported", number)
	}
	for _, c := range all {
		if !maps.Equal(c, all[0]) {
			t.Fatalf("window %d was reported as %v", number, all)
		}
	}
}

// TestClosersWithOtherClocksReportOneCount guards against two counts for a window, since two
// instances that both take themselves for the holder disagree on the time of day.
func TestClosersWithOtherClocksReportOneCount(t *testing.T) {
	for _, ahead := range []time.Duration{-4 * time.Second, -time.Second, time.Second, 4 * time.Second} {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			table := newTable()
			clocks := [2]*fakeClock{{now: time.Unix(1000, 0)}, {now: time.Unix(1000, 0).Add(ahead)}}
			r := &reportLog{got: map[int64][]Counts{}}
			withLease(t, table, "holder", func(ctx context.Context, g lease.Guard) {
				closers := [2]*Closer{newCloser(table, clocks[0], r, 0), newCloser(table, clocks[1], r, 0)}
				for step := range 40 {
					saveCounts(table, clocks[0], fmt.Sprint("run/", step), "org", 1)
					for i, c := range closers {
						c.next = max(c.next, 200)
						clocks[i].add(250 * time.Millisecond)
						_ = c.closeDue(ctx, g)
					}
				}
			})
			r.checkOneCount(t, 200)
		})
	}
}

// unansweredTable is a table whose first write of a frozen window gets no response and is performed
// later.
type unansweredTable struct {
	*memoryTable
	late *platform.Txn
}

// Commit implements platform.Table.
func (l *unansweredTable) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	if l.late == nil && strings.HasPrefix(txn.Writes[0].Key, frozenPrefix) {
		l.late = &txn
		return nil, platform.ErrUnavailable
	}
	return l.memoryTable.Commit(ctx, txn)
}

// TestFrozenWindowThatIsWrittenLate guards against two counts for a window, since the store
// performs a write seconds after its caller gave up.
func TestFrozenWindowThatIsWrittenLate(t *testing.T) {
	for _, beforeNext := range []bool{true, false} {
		t.Run(fmt.Sprintf("before the next holder: %t", beforeNext), func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			clock := &fakeClock{now: time.Unix(1000, 0)}
			r := &reportLog{got: map[int64][]Counts{}}
			late := &unansweredTable{memoryTable: table}
			withLease(t, table, "holder", func(ctx context.Context, g lease.Guard) {
				saveCounts(table, clock, "a/1", "org", 3)
				clock.add(window + 2*time.Second)
				first, second := newCloser(late, clock, r, 1), newCloser(table, clock, r, 1)
				first.next, second.next = 200, 200
				is.True(first.closeDue(ctx, g) != nil)
				clock.add(-window - 2*time.Second)
				saveCounts(table, clock, "b/1", "org", 4) // after the first count
				clock.add(window + 2*time.Second)
				if beforeNext {
					_, err := table.Commit(ctx, *late.late)
					is.NoErr(err)
				}
				is.NoErr(second.closeDue(ctx, g))
				if !beforeNext {
					_, err := table.Commit(ctx, *late.late)
					is.True(err != nil)
				}
				is.NoErr(first.closeDue(ctx, g))
			})
			r.checkOneCount(t, 200)
			is.Equal(len(r.got[200]), 2)
		})
	}
}
