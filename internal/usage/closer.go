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

// Limits of a Closer.
const (
	closeInterval = 5 * time.Second
	closeGrace    = time.Minute // after a window's end, for usage on its way
	rowsPerPage   = 500
	deletesPerTxn = 100
)

// Closer closes the windows, freezes their figures and reports them. Only the
// holder of Duty runs it.
type Closer struct {
	options Options
	sink    platform.UsageSink
	windows windowMachines
}

// NewCloser returns a closer that reports to the sink.
func NewCloser(o Options, sink platform.UsageSink) *Closer {
	o = o.withDefaults()
	return &Closer{options: o, sink: sink, windows: newWindowMachines(o)}
}

// Work runs under the duty's lease until ctx ends; see lease.Manager.Do.
func (c *Closer) Work(ctx context.Context, g lease.Guard) error {
	return c.run(platform.WithCheck(ctx, g.Check), uint64(g.Token))
}

// run closes windows as their time comes. Failed calls are tried again.
func (c *Closer) run(ctx context.Context, token uint64) error {
	defer c.windows.lost()
	swept := c.options.Now()
	for {
		if err := c.step(ctx, token); err != nil {
			c.options.Logger.Debug("usage windows are not all reported", "error", err)
		}
		if now := c.options.Now(); now.Sub(swept) >= sweepInterval {
			swept = now
			if err := c.sweep(ctx); err != nil {
				c.options.Logger.Debug("old cursors were not deleted", "error", err)
			}
		}
		if wait.For(ctx, closeInterval) != nil {
			return ctx.Err()
		}
	}
}

// step advances the frontier, freezes what lies before it and reports what is
// frozen. Each part can be repeated by any holder with the same result.
func (c *Closer) step(ctx context.Context, token uint64) error {
	if err := c.advance(ctx); err != nil {
		return fmt.Errorf("close a window: %w", err)
	}
	if err := c.freezeAll(ctx); err != nil {
		return fmt.Errorf("freeze a window: %w", err)
	}
	return c.reportAll(ctx, token)
}

// front reads the frontier.
func (c *Closer) front(ctx context.Context) (frontierRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.options.Table.Get(ctx, frontierKey)
	if err != nil {
		return frontierRow{}, 0, err
	}
	f, err := decodeRow[frontierRow](rows[0])
	return f, rows[0].Version, err
}

// advance moves the frontier, after which no flush adds to an earlier window.
func (c *Closer) advance(ctx context.Context) error {
	f, version, err := c.front(ctx)
	if err != nil {
		return err
	}
	open := WindowAt(c.options.Now().Add(-closeGrace))
	if f.Open >= open {
		return nil
	}
	f.Open = open
	return c.move(ctx, f, version, nil)
}

// move writes the frontier, and other rows in the same transaction.
func (c *Closer) move(ctx context.Context, f frontierRow, version uint64, others []platform.Write) error {
	write, err := writeOf(frontierKey, f)
	if err != nil {
		return err
	}
	return c.commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: frontierKey, Version: version}},
		Writes: append([]platform.Write{write}, others...),
	})
}

// firstWindow is the oldest window with usage, or the given one without any.
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

// freezeAll freezes every closed window, oldest first.
func (c *Closer) freezeAll(ctx context.Context) error {
	for {
		f, version, err := c.front(ctx)
		if err != nil || f.Frozen >= f.Open {
			return err
		}
		if f.Frozen != "" {
			err = c.freeze(ctx, f, version)
		} else if f.Frozen, err = c.firstWindow(ctx, f.Open); err == nil {
			err = c.move(ctx, f, version, nil)
		}
		if err != nil {
			return err
		}
	}
}

// freeze writes the figures of one window and moves on, in one transaction. The
// window takes no more usage, so that every holder would write the same figures.
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
	if err := c.move(ctx, f, version, writes); err != nil {
		c.windows.failed(window, err)
		return err
	}
	c.windows.fire(window, eventFrozen, actionReport)
	if len(lines) == 0 {
		c.windows.fire(window, eventReported, actionMarkDone) // there is nothing to report
		return nil
	}
	c.record(timeline.UsageFrozen, window, lines, 0)
	return nil
}

// sum adds up the batches of a closed window.
func (c *Closer) sum(ctx context.Context, window string) ([]Line, error) {
	sums := make(map[Key]Amount)
	err := c.pages(ctx, windowPrefix(window), func(rows []platform.Row) error {
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

// pages calls f for the rows with a prefix, page by page.
func (c *Closer) pages(ctx context.Context, prefix string, f func([]platform.Row) error) error {
	for after := ""; ; {
		rows, err := c.page(ctx, prefix, after)
		if err != nil {
			return err
		}
		if err := f(rows); err != nil {
			return err
		}
		if len(rows) < rowsPerPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (c *Closer) page(ctx context.Context, prefix, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.options.Table.List(ctx, prefix, after, rowsPerPage)
}

func (c *Closer) commit(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.options.Table.Commit(ctx, txn)
	return err
}
