package tally

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// minCloseDelay is the minimum time between a window's end and its closing.
	minCloseDelay = 1200 * time.Millisecond
	// dueMargin is the time before a report's due time at which its window is closed even
	// if some instances have not stored all of their counts.
	dueMargin     = 3 * time.Second
	closeInterval = 500 * time.Millisecond
	// maxTimeWait bounds how long a tenure waits at its start for the agreed time of day.
	maxTimeWait      = 5 * time.Second
	listPageSize     = 500
	maxDeletesPerTxn = 40
	// retentionWindows is the age, in windows, at which frozen windows and the counts of
	// ended runs are deleted.
	retentionWindows = 8
)

// Report sends one window's counts under a fencing token. It must be idempotent for
// equal counts.
type Report func(ctx context.Context, token uint64, window int64, counts Counts) error

// CloserOptions configure a Closer. All fields are required.
type CloserOptions struct {
	Window time.Duration
	// Due is how long after a window's end its report is due.
	Due   time.Duration
	Table platform.Table
	Now   func() time.Time // true time
	// TimeAgreed reports whether Now returns the time of day that the instances agree on. If
	// nil, it always does.
	TimeAgreed func() bool
	Report     Report
	// Heard holds the counts that other instances have told this one. If nil, only the
	// rows in the store count.
	Heard *Exchange
	// Epoch returns the store's epoch. If nil, the store is never restored.
	Epoch func() StoreEpoch
	// Expected returns the number of instances that should store counts.
	Expected func() int
	// Duty is the duty under whose lease windows are closed. It is recorded in the
	// timeline.
	Duty     string
	Recorder timeline.Recorder
	Logger   hclog.Logger
}

// Closer closes windows and reports them. Only the holder of a duty runs it. Unreported
// is safe for concurrent use; the other methods are not.
type Closer struct {
	options   CloserOptions
	next      int64 // first window that is not closed in this tenure
	endedRuns []platform.Row
	epoch     epochState
	attempt   attempt // last one to freeze a window in this tenure

	unreported atomic.Int64
}

// attempt is an attempt to freeze a window, whose outcome may be unknown.
type attempt struct {
	window int64
	counts Counts // nil means none
}

// NewCloser returns a Closer that has closed no window yet.
func NewCloser(o CloserOptions) *Closer { return &Closer{options: o} }

// Work closes windows under the duty's lease until ctx ends. Windows whose reports are
// already past due at the start are not reported.
func (c *Closer) Work(ctx context.Context, g lease.Guard) error {
	c.awaitTime(ctx)
	c.next = WindowAt(c.options.Now().Add(-c.options.Due), c.options.Window)
	c.epoch, c.attempt = epochState{}, attempt{}
	for wait.For(ctx, closeInterval) == nil {
		if err := c.closeDue(ctx, g); err != nil {
			c.record(timeline.Event{Kind: timeline.UsageDelayed, Detail: err.Error()})
		}
	}
	return ctx.Err()
}

// awaitTime waits until the time of day is agreed, at most maxTimeWait: an instance whose wall
// clock is wrong would skip windows or close them early.
func (c *Closer) awaitTime(ctx context.Context) {
	if c.options.TimeAgreed == nil {
		return
	}
	for left := maxTimeWait; !c.options.TimeAgreed(); left -= closeInterval {
		if left <= 0 {
			c.options.Logger.Warn("the instances' time of day is unknown; closing windows by this machine's clock", "after", maxTimeWait)
			return
		}
		if wait.For(ctx, closeInterval) != nil {
			return
		}
	}
}

// Unreported returns the number of windows that have ended but were not reported in this
// tenure. It is meaningful only while the lease is held.
func (c *Closer) Unreported() int64 { return c.unreported.Load() }

// closeDue closes the windows that have ended, oldest first, up to the first one with
// missing counts. Windows past their due time are skipped.
func (c *Closer) closeDue(ctx context.Context, g lease.Guard) error {
	if err := c.learnEpoch(ctx, g); err != nil {
		return err
	}
	for {
		now := c.options.Now()
		c.unreported.Store(WindowAt(now, c.options.Window) - c.next)
		end := time.Unix(0, (c.next+1)*int64(c.options.Window))
		if now.Before(end.Add(minCloseDelay)) {
			return nil
		}
		if now.After(end.Add(c.options.Due)) {
			c.record(timeline.Event{Kind: timeline.UsageAbandoned})
			c.next++
			continue
		}
		done, err := c.close(ctx, g, end, now.After(end.Add(c.options.Due-dueMargin)))
		if err != nil || !done {
			return err
		}
		c.next++
		c.deleteEndedRuns(ctx, g)
	}
}

// close freezes and reports the next window. It returns false while counts are
// missing, unless late is set.
func (c *Closer) close(ctx context.Context, g lease.Guard, end time.Time, late bool) (bool, error) {
	stored, err := c.readFrozen(ctx)
	if err != nil {
		return false, err
	}
	counts, complete, err := c.count(ctx, stored, end)
	if err != nil {
		return false, err
	}
	if !complete && !late {
		return false, nil
	}
	if len(counts) == 0 {
		return true, nil
	}
	if !maps.Equal(counts, stored.counts) {
		if err := c.freeze(ctx, g, counts, stored); err != nil {
			return false, err
		}
	}
	if c.options.Heard != nil {
		c.options.Heard.seal(c.next, counts)
	}
	return true, c.report(ctx, g, counts)
}

// count returns the counts to report for the next window, and whether they are complete. Those that
// an instance knows to be frozen go before the stored ones, since they may have been reported. All
// attempts of a tenure have the same counts, since the store may perform an earlier one later.
func (c *Closer) count(ctx context.Context, stored frozenWindow, end time.Time) (Counts, bool, error) {
	if counts, known := c.sealed(); known {
		if counts == nil {
			c.abandon("instances know different frozen counts")
		}
		return counts, true, nil
	}
	if c.next < c.epoch.openFrom && !(stored.dated && stored.epoch == c.epoch.epoch) {
		c.abandon("it may have been reported before the store was restored from an older copy")
		return nil, true, nil
	}
	if stored.version > 0 {
		return stored.counts, true, nil
	}
	if c.attempt.counts != nil && c.attempt.window == c.next {
		return c.attempt.counts, true, nil
	}
	return c.sum(ctx, end)
}

// sealed returns the counts of the next window that an instance knows to be frozen. They are nil if
// instances know different ones. The result is false if none knows any.
func (c *Closer) sealed() (Counts, bool) {
	if c.options.Heard == nil {
		return nil, false
	}
	return c.options.Heard.sealed(c.next)
}

// abandon records that the next window is not reported.
func (c *Closer) abandon(reason string) {
	c.record(timeline.Event{Kind: timeline.UsageAbandoned, Detail: reason})
}

// sum adds up the stored and the heard counts of the next window. It reports whether at least the
// expected number of instances has stored all of their counts. Rows of runs that ended
// long ago are collected in endedRuns.
func (c *Closer) sum(ctx context.Context, end time.Time) (Counts, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.listCounts(ctx)
	if err != nil {
		return nil, false, err
	}
	var heard map[string]Row
	if c.options.Heard != nil {
		heard = c.options.Heard.rows()
	}
	c.endedRuns = nil
	counts := make(map[string]Row, len(rows)) // by run
	cutoff := end.Add(-retentionWindows * c.options.Window).UnixMilli()
	for _, r := range rows {
		var row Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			c.options.Logger.Error("cannot decode counts of an instance; leaving them out", "key", r.Key, "error", err)
			continue
		}
		if row.Through < cutoff {
			c.endedRuns = append(c.endedRuns, r)
		}
		run := strings.TrimPrefix(r.Key, countsPrefix)
		if counts[run] = row; heard != nil {
			counts[run] = row.merge(heard[run])
		}
	}
	for run, row := range heard {
		if _, stored := counts[run]; !stored {
			counts[run] = row
		}
	}
	total, through := c.total(counts, end)
	return total, through >= c.options.Expected(), nil
}

// total adds up the counts of the next window over all runs. It returns the number of runs
// whose counts are complete up to the window's end.
func (c *Closer) total(runs map[string]Row, end time.Time) (total Counts, through int) {
	total = Counts{}
	for _, row := range runs {
		if row.Through >= end.UnixMilli() {
			through++
		}
		for organisation, n := range row.Windows[c.next] {
			total[organisation] += n
		}
	}
	return total, through
}

// listCounts reads the rows of all runs of all instances.
func (c *Closer) listCounts(ctx context.Context) ([]platform.Row, error) {
	var all []platform.Row
	for after := ""; ; {
		rows, err := c.options.Table.List(ctx, countsPrefix, after, listPageSize)
		if err != nil {
			return nil, fmt.Errorf("read the counts: %w", err)
		}
		all = append(all, rows...)
		if len(rows) < listPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// deleteEndedRuns deletes counts of runs that ended long ago, at most maxDeletesPerTxn
// per call.
func (c *Closer) deleteEndedRuns(ctx context.Context, g lease.Guard) {
	if len(c.endedRuns) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(g.Context(ctx), callTimeout)
	defer cancel()
	var txn platform.Txn
	for _, r := range c.endedRuns[:min(len(c.endedRuns), maxDeletesPerTxn)] {
		txn.Checks = append(txn.Checks, platform.Check{Key: r.Key, Version: r.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: r.Key, Delete: true})
	}
	c.endedRuns = nil
	if _, err := c.options.Table.Commit(ctx, txn); err != nil {
		c.options.Logger.Debug("failed to delete counts of ended runs", "error", err)
	}
}

// freeze stores the counts of the next window in place of stored, fenced by the duty's row, and
// deletes the frozen window past its retention, which no holder reports any more.
func (c *Closer) freeze(ctx context.Context, g lease.Guard, counts Counts, stored frozenWindow) error {
	writes, err := c.frozenWrites(counts)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	txn := platform.Txn{
		Checks: []platform.Check{g.Fence(), {Key: frozenKey(c.next), Version: stored.version}},
		Writes: writes,
	}
	c.attempt = attempt{window: c.next, counts: counts}
	if _, err := c.options.Table.Commit(ctx, txn); err != nil {
		return fmt.Errorf("freeze the window: %w", err)
	}
	c.recordCounts(timeline.UsageFrozen, g, counts)
	return nil
}

// report reports the frozen counts. The tenure is checked again right before the call.
func (c *Closer) report(ctx context.Context, g lease.Guard, counts Counts) error {
	ctx, cancel := context.WithTimeout(g.Context(ctx), callTimeout)
	defer cancel()
	if err := g.Check(); err != nil {
		return err
	}
	if err := c.options.Report(ctx, uint64(g.Token), c.next, counts); err != nil {
		return fmt.Errorf("report the window: %w", err)
	}
	c.recordCounts(timeline.UsageReported, g, counts)
	return nil
}

// record adds an event about the next window to the timeline.
func (c *Closer) record(e timeline.Event) {
	e.Window = strconv.FormatInt(c.next, 10)
	c.options.Recorder.Record(e)
}

// recordCounts records an event for each organisation in counts.
func (c *Closer) recordCounts(kind timeline.Kind, g lease.Guard, counts Counts) {
	for _, organisation := range slices.Sorted(maps.Keys(counts)) {
		c.record(timeline.Event{
			Kind: kind, Duty: c.options.Duty, Token: uint64(g.Token), Organisation: organisation, Count: counts[organisation],
		})
	}
}
