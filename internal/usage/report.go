package usage

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// reportAll reports every frozen window, oldest first. A frozen row is kept until its
// report is confirmed, so that a retry carries the same figures.
func (c *Closer) reportAll(ctx context.Context, token uint64) error {
	return c.forEachPage(ctx, frozenPrefix, func(rows []platform.Row) error {
		for _, row := range rows {
			if err := c.report(ctx, row, token); err != nil {
				return err
			}
		}
		return nil
	})
}

// report sends one frozen window and deletes its rows once it is confirmed.
func (c *Closer) report(ctx context.Context, row platform.Row, token uint64) error {
	window := row.Key[len(frozenPrefix):]
	frozen, err := decodeRow[linesRow](row)
	if err != nil {
		return err
	}
	if !c.windows.startReport(window) {
		return fmt.Errorf("window %q is not in a state to be reported", window)
	}
	if err := c.sendReport(ctx, window, frozen.Lines, token); err != nil {
		c.windows.fail(window, err)
		return fmt.Errorf("report window %q: %w", window, err)
	}
	c.windows.fire(window, eventReported, actionMarkDone)
	if err := c.deleteBatches(ctx, window); err != nil {
		return err
	}
	return c.commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: row.Key, Version: row.Version}},
		Writes: []platform.Write{{Key: row.Key, Delete: true}},
	})
}

func (c *Closer) sendReport(ctx context.Context, window string, lines []Line, token uint64) error {
	ctx, cancel := context.WithTimeout(c.withReportEvent(ctx, window, lines, token), callTimeout)
	defer cancel()
	start := windowStart(window)
	r := platform.UsageReport{
		Window: window, Duty: Duty, Token: token,
		Start: start, End: start.Add(WindowLength),
		Lines: make([]platform.UsageLine, 0, len(lines)),
	}
	for _, l := range lines {
		r.Lines = append(r.Lines, platform.UsageLine{
			Organisation: l.Key.Organisation, Class: l.Key.Class, Model: l.Key.Model, LateWindow: l.Key.Late,
			Requests: l.Amount.Requests, InputTokens: l.Amount.Input, OutputTokens: l.Amount.Output,
		})
	}
	return c.sink.Report(ctx, r)
}

// deleteBatches deletes the batch rows of a reported window.
func (c *Closer) deleteBatches(ctx context.Context, window string) error {
	for {
		rows, err := c.listPage(ctx, windowPrefix(window), "")
		if err != nil || len(rows) == 0 {
			return err
		}
		for len(rows) > 0 {
			n := min(maxDeletesPerTxn, len(rows))
			var txn platform.Txn
			for _, row := range rows[:n] {
				txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
			}
			if err := c.commit(ctx, txn); err != nil {
				return err
			}
			rows = rows[n:]
		}
	}
}

// record records one event per organisation, in the order of the lines.
func (c *Closer) record(kind timeline.Kind, window string, lines []Line, token uint64) {
	var names []string
	tokens := make(map[string]int64)
	for _, l := range lines {
		name := l.Key.Organisation
		if _, ok := tokens[name]; !ok {
			names = append(names, name)
		}
		tokens[name] += l.Amount.Input + l.Amount.Output
	}
	for _, name := range names {
		c.options.Recorder.Record(timeline.Event{
			Kind: kind, Window: window, Organisation: name, Count: tokens[name], Duty: Duty, Token: token,
		})
	}
}

// withReportEvent returns a context with a check that records the report after the last
// check of the tenure has passed, right before the report is written.
func (c *Closer) withReportEvent(ctx context.Context, window string, lines []Line, token uint64) context.Context {
	return platform.WithWriteCheck(ctx, func() (time.Duration, error) {
		valid, err := platform.RunWriteCheck(ctx)
		if err != nil {
			return 0, err
		}
		c.record(timeline.UsageReported, window, lines, token)
		return valid, nil
	})
}
