package tally

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// lateTable gives no response to the first transaction that freezes a window, and performs it
// only when late is called.
type lateTable struct {
	heldTable
	pending *platform.Txn
}

// Commit implements platform.Table.
func (l *lateTable) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	if l.pending != nil || !strings.HasPrefix(txn.Writes[0].Key, frozenPrefix) {
		return l.heldTable.Commit(ctx, txn)
	}
	l.pending = &platform.Txn{Writes: txn.Writes}
	for _, c := range txn.Checks {
		number := platform.NumberOf(c.Version)
		if strings.HasPrefix(c.Key, "lease/") {
			c.Key, number = dutyRow, l.claim
		}
		l.pending.Checks = append(l.pending.Checks, platform.Check{Key: c.Key, Version: number})
	}
	return nil, platform.ErrUnavailable
}

// late performs the transaction. The store compares numbers only.
func (l *lateTable) late(ctx context.Context) error {
	_, err := l.restorable.table.Commit(ctx, *l.pending)
	return err
}

// TestLateFreezeAfterRestore guards against a window that is reported with the counts of an earlier
// attempt to freeze it, which the store performs only after its restore has lost the later one.
func TestLateFreezeAfterRestore(t *testing.T) {
	for name, told := range map[string]bool{"next holder was told the counts": true, "nobody was told": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &fakeClock{now: time.Unix(1000, 0)} // start of window 200
			w := &sealedWorld{t: t, guard: holdDuty(t), clock: clock, store: newRestorable(clock), reported: map[int64]Counts{}}
			first, second := w.start(), w.start()
			w.instances = []*sealedInstance{first, second}
			w.learn(first)
			clock.add(leaseWait)
			w.take(first)
			table := &lateTable{heldTable: first.closer.options.Table.(heldTable)}
			first.closer.options.Table = table
			w.store.keepCopy()
			first.meter.Began("org", 0)
			clock.add(window + 2*minCloseDelay - leaseWait)
			first.saver.save(t.Context())
			w.work(first) // no response
			is.Equal(w.reports, 0)
			first.meter.Began("org", window) // counted late
			first.saver.save(t.Context())
			w.work(first)
			reported := w.reported[200]
			is.Equal(w.reports, 1)
			if told {
				is.NoErr(second.exchange.Apply(first.origin, first.exchange.Collect()))
			}

			w.store.restore(0)
			_ = table.late(t.Context()) // performed only if its condition still holds
			w.instances = []*sealedInstance{second}
			w.learn(second)
			second.saver.save(t.Context())
			w.freeAt = clock.Now()
			clock.add(leaseWait)
			w.take(second)
			w.work(second) // w.report fails the test if the counts differ
			is.Equal(w.reported[200], reported)
		})
	}
}

// TestLateFreezeOfEarlierTenure guards against a window that is reported with the counts that an
// earlier holder tried to freeze, which the store performs after it was restored from a copy of
// before the claim of the holder that reported it.
func TestLateFreezeOfEarlierTenure(t *testing.T) {
	for name, told := range map[string]bool{"next holder was told the counts": true, "nobody was told": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &fakeClock{now: time.Unix(1000, 0)} // start of window 200
			w := &sealedWorld{t: t, guard: holdDuty(t), clock: clock, store: newRestorable(clock), reported: map[int64]Counts{}}
			first, second, third := w.start(), w.start(), w.start()
			w.instances = []*sealedInstance{first, second, third}
			w.learn(first)
			w.learn(second)
			clock.add(leaseWait)
			w.take(first)
			table := &lateTable{heldTable: first.closer.options.Table.(heldTable)}
			first.closer.options.Table = table
			w.store.keepCopy()
			first.meter.Began("org", 0)
			clock.add(window + 2*minCloseDelay - leaseWait)
			first.saver.save(t.Context())
			w.work(first) // no response
			first.meter.Began("org", window)
			first.saver.save(t.Context())
			clock.add(leaseWait)
			w.take(second)
			w.work(second)
			reported := w.reported[200]
			is.Equal(reported, Counts{"org": 2})
			if told {
				is.NoErr(third.exchange.Apply(second.origin, second.exchange.Collect()))
			}

			w.store.restore(0)
			is.NoErr(table.late(t.Context()))
			w.learn(third)
			w.freeAt = clock.Now()
			clock.add(leaseWait)
			w.take(third)
			w.work(third) // w.report fails the test if the counts differ
			rows, err := w.store.Get(t.Context(), frozenKey(200))
			is.NoErr(err)
			is.Equal(string(rows[0].Value) == `{"org":2}`, told) // written again before the report
			is.Equal(w.reports == 2, told)
		})
	}
}
