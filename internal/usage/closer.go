package usage

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Duty is the name of the duty that closes and reports windows.
const Duty = "usage"

// Intervals and limits of a Closer.
const (
	closeInterval    = 5 * time.Second
	closeGrace       = time.Minute // after a window's end, for usage that is not flushed yet
	listPageSize     = 500
	maxDeletesPerTxn = 100
)

// Closer closes the windows, freezes their figures and reports them. Only the holder of
// Duty runs it. It is not safe for concurrent use.
type Closer struct {
	options Options
	sink    platform.UsageSink
	windows windowMachines
}

// NewCloser returns a Closer that reports to the sink.
func NewCloser(o Options, sink platform.UsageSink) *Closer {
	o = o.withDefaults()
	return &Closer{options: o, sink: sink, windows: newWindowMachines(o)}
}

// Work runs under the duty's lease until ctx ends; see lease.Manager.Do.
func (c *Closer) Work(ctx context.Context, g lease.Guard) error {
	return c.run(platform.WithWriteCheck(ctx, g.Remaining), uint64(g.Token))
}

// run closes windows as they become due. Failed calls are retried in the next step.
func (c *Closer) run(ctx context.Context, token uint64) error {
	defer c.windows.loseAll()
	swept := c.options.Now()
	for {
		if err := c.step(ctx, token); err != nil {
			c.options.Logger.Debug("some usage windows are not reported yet; retrying", "error", err)
		}
		if now := c.options.Now(); now.Sub(swept) >= sweepInterval {
			swept = now
			if err := c.sweep(ctx); err != nil {
				c.options.Logger.Debug("failed to delete old cursor rows; retrying at the next sweep", "error", err)
			}
		}
		if wait.For(ctx, closeInterval) != nil {
			return ctx.Err()
		}
	}
}

// step advances the frontier, freezes the windows before it and reports the frozen ones.
// Each part is idempotent: any holder can repeat it with the same result.
func (c *Closer) step(ctx context.Context, token uint64) error {
	if err := c.advanceFrontier(ctx); err != nil {
		return fmt.Errorf("close a window: %w", err)
	}
	if err := c.freezeAll(ctx); err != nil {
		return fmt.Errorf("freeze a window: %w", err)
	}
	return c.reportAll(ctx, token)
}

// readFrontier returns the frontier and the version of its row.
func (c *Closer) readFrontier(ctx context.Context) (frontierRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.options.Table.Get(ctx, frontierKey)
	if err != nil {
		return frontierRow{}, 0, err
	}
	f, err := decodeRow[frontierRow](rows[0])
	return f, rows[0].Version, err
}

// advanceFrontier closes the windows that ended at least closeGrace ago. No flush adds
// to them afterwards.
func (c *Closer) advanceFrontier(ctx context.Context) error {
	f, version, err := c.readFrontier(ctx)
	if err != nil {
		return err
	}
	open := WindowAt(c.options.Now().Add(-closeGrace))
	if f.Open >= open {
		return nil
	}
	f.Open = open
	return c.writeFrontier(ctx, f, version, nil)
}

// writeFrontier writes the frontier, and other rows in the same transaction.
func (c *Closer) writeFrontier(ctx context.Context, f frontierRow, version uint64, others []platform.Write) error {
	write, err := writeOf(frontierKey, f)
	if err != nil {
		return err
	}
	return c.commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: frontierKey, Version: version}},
		Writes: append([]platform.Write{write}, others...),
	})
}

// firstWindow returns the oldest window with usage, or open if there is none.
func (c *Closer) firstWindow(ctx context.Context, open string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.options.Table.List(ctx, batchPrefix, "", 1)
	if err != nil || len(rows) == 0 {
		return open, err
	}
	window := rows[0].Key[len(batchPrefix):]
	return min(open, window[:len(windowFormat)]), nil
}

// freezeAll freezes all closed windows, oldest first.
func (c *Closer) freezeAll(ctx context.Context) error {
	for {
		f, version, err := c.readFrontier(ctx)
		if err != nil || f.Frozen >= f.Open {
			return err
		}
		if f.Frozen != "" {
			err = c.freeze(ctx, f, version)
		} else if f.Frozen, err = c.firstWindow(ctx, f.Open); err == nil {
			err = c.writeFrontier(ctx, f, version, nil)
		}
		if err != nil {
			return err
		}
	}
}

// freeze writes the figures of the next window and advances the frontier in one
// transaction. A closed window receives no more usage, so that every holder computes the
// same figures.
func (c *Closer) freeze(ctx context.Context, f frontierRow, version uint64) error {
	window := f.Frozen
	c.windows.fire(window, eventEnded, actionFreeze)
	lines, err := c.sum(ctx, window)
	if err != nil {
		return err
	}
	f.Frozen = WindowAt(windowStart(window).Add(WindowLength))
	var writes []platform.Write
	if len(lines) > 0 {
		write, err := writeOf(frozenKey(window), linesRow{lines})
		if err != nil {
			return err
		}
		writes = append(writes, write)
	}
	if err := c.writeFrontier(ctx, f, version, writes); err != nil {
		c.windows.fail(window, err)
		return err
	}
	c.windows.fire(window, eventFrozen, actionReport)
	if len(lines) == 0 {
		c.windows.fire(window, eventReported, actionMarkDone) // nothing to report
		return nil
	}
	c.record(timeline.UsageFrozen, window, lines, 0)
	return nil
}

// sum adds up the batches of a closed window.
func (c *Closer) sum(ctx context.Context, window string) ([]Line, error) {
	sums := make(map[Key]Amount)
	err := c.forEachPage(ctx, windowPrefix(window), func(rows []platform.Row) error {
		for _, row := range rows {
			batch, err := decodeRow[linesRow](row)
			if err != nil {
				return err
			}
			for _, line := range batch.Lines {
				sums[line.Key] = sums[line.Key].add(line.Amount)
			}
		}
		return nil
	})
	return sortedLines(sums), err
}

// forEachPage calls f with the rows under a prefix, page by page.
func (c *Closer) forEachPage(ctx context.Context, prefix string, f func([]platform.Row) error) error {
	for after := ""; ; {
		rows, err := c.listPage(ctx, prefix, after)
		if err != nil {
			return err
		}
		if err := f(rows); err != nil {
			return err
		}
		if len(rows) < listPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (c *Closer) listPage(ctx context.Context, prefix, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.options.Table.List(ctx, prefix, after, listPageSize)
}

func (c *Closer) commit(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.options.Table.Commit(ctx, txn)
	return err
}
