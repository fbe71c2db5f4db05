package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// flushRetries bounds how often one flush is tried anew after a conflict.
const flushRetries = 4

// journal holds the unflushed batches of one origin, and what is known of the
// rows that a flush depends on. It is not safe for concurrent use.
type journal struct {
	table    platform.Table
	origin   Origin
	batches  []Batch // ascending sequence, all above through
	through  uint64
	cursor   uint64 // version of the cursor row
	known    bool   // the rows were read
	frontier frontierRow
	frontAt  uint64 // version of the frontier row
}

// add appends a batch unless it is held or flushed already.
func (j *journal) add(b Batch) {
	if b.Sequence <= max(j.through, j.last()) {
		return
	}
	j.batches = append(j.batches, b)
}

// last is the highest sequence held, 0 when there is none.
func (j *journal) last() uint64 {
	if len(j.batches) == 0 {
		return 0
	}
	return j.batches[len(j.batches)-1].Sequence
}

// drop forgets the batches up to a sequence.
func (j *journal) drop(through uint64) {
	j.through = max(j.through, through)
	j.batches = slices.DeleteFunc(j.batches, func(b Batch) bool { return b.Sequence <= j.through })
}

// read takes the cursor and the frontier from the table service.
func (j *journal) read(ctx context.Context) error {
	rows, err := j.table.Get(ctx, cursorKey(j.origin), frontierKey)
	if err != nil {
		return err
	}
	cursor, err := decodeRow[cursorRow](rows[0])
	if err != nil {
		return err
	}
	frontier, err := decodeRow[frontierRow](rows[1])
	if err != nil {
		return err
	}
	j.frontier = frontier
	j.cursor, j.frontAt = rows[0].Version, rows[1].Version
	j.drop(cursor.Through)
	j.known = true
	return nil
}

// flush writes the held batches once. Batches of windows that are closed go to
// the current window as late usage.
func (j *journal) flush(ctx context.Context, current string) error {
	for range flushRetries {
		if !j.known {
			if err := j.read(ctx); err != nil {
				return err
			}
		}
		if len(j.batches) == 0 {
			return nil
		}
		last := j.last()
		txn, err := j.txn(current)
		if err != nil {
			return err
		}
		versions, err := j.table.Commit(ctx, txn)
		if err == nil {
			j.cursor = versions[0]
			j.drop(last)
			return nil
		}
		// Somebody else moved a row, or the outcome is unknown: read first.
		j.known = false
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return fmt.Errorf("usage of %q lost the race for its rows %d times", j.origin.Instance, flushRetries)
}

// txn writes all held batches, one row a window, and moves the cursor.
func (j *journal) txn(current string) (platform.Txn, error) {
	first := j.batches[0].Sequence
	txn := platform.Txn{Checks: []platform.Check{
		{Key: cursorKey(j.origin), Version: j.cursor},
		{Key: frontierKey, Version: j.frontAt},
	}}
	write, err := writeOf(cursorKey(j.origin), cursorRow{Through: j.last(), Window: current})
	if err != nil {
		return txn, err
	}
	txn.Writes = append(txn.Writes, write)
	windows := j.windows(max(current, j.frontier.Open))
	for _, window := range slices.Sorted(maps.Keys(windows)) {
		write, err := writeOf(batchKey(window, j.origin, first), linesRow{sortedLines(windows[window])})
		if err != nil {
			return txn, err
		}
		txn.Writes = append(txn.Writes, write)
	}
	return txn, nil
}

// windows sums the held batches by the window that takes them.
func (j *journal) windows(current string) map[string]map[Key]Amount {
	windows := make(map[string]map[Key]Amount)
	for _, b := range j.batches {
		window, late := b.Window, ""
		if b.Window < j.frontier.Open {
			window, late = current, b.Window
		}
		sums := windows[window]
		if sums == nil {
			sums = make(map[Key]Amount)
			windows[window] = sums
		}
		for _, line := range b.Lines {
			line.Key.Late = late
			sums[line.Key] = sums[line.Key].add(line.Amount)
		}
	}
	return windows
}

// sortedLines gives equal sums the same form.
func sortedLines(sums map[Key]Amount) []Line {
	lines := make([]Line, 0, len(sums))
	for key, amount := range sums {
		lines = append(lines, Line{key, amount})
	}
	slices.SortFunc(lines, func(a, b Line) int { return a.Key.compare(b.Key) })
	return lines
}
