package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// maxFlushAttempts bounds the attempts of one flush in the event of conflicts.
const maxFlushAttempts = 4

// journal holds the unflushed batches of one origin and the state of the rows that a
// flush depends on. It is not safe for concurrent use.
type journal struct {
	table           platform.Table
	origin          Origin
	batches         []Batch // in ascending sequence, all above flushedThrough
	flushedThrough  uint64
	cursorVersion   uint64 // version of the cursor row
	loaded          bool   // whether the versions and frontier were read
	frontier        frontierRow
	frontierVersion uint64 // version of the frontier row
}

// add appends a batch unless it is already held or flushed.
func (j *journal) add(b Batch) {
	if b.Sequence <= max(j.flushedThrough, j.lastSequence()) {
		return
	}
	j.batches = append(j.batches, b)
}

// lastSequence returns the highest sequence held, 0 if there is none.
func (j *journal) lastSequence() uint64 {
	if len(j.batches) == 0 {
		return 0
	}
	return j.batches[len(j.batches)-1].Sequence
}

// dropThrough drops the batches up to and including a sequence.
func (j *journal) dropThrough(through uint64) {
	j.flushedThrough = max(j.flushedThrough, through)
	j.batches = slices.DeleteFunc(j.batches, func(b Batch) bool { return b.Sequence <= j.flushedThrough })
}

// load reads the cursor and the frontier from the table service.
func (j *journal) load(ctx context.Context) error {
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
	j.cursorVersion, j.frontierVersion = rows[0].Version, rows[1].Version
	j.dropThrough(cursor.Through)
	j.loaded = true
	return nil
}

// flush writes all held batches in one transaction. Batches of closed windows are added
// to the current window as late usage.
func (j *journal) flush(ctx context.Context, current string) error {
	for range maxFlushAttempts {
		if !j.loaded {
			if err := j.load(ctx); err != nil {
				return err
			}
		}
		if len(j.batches) == 0 {
			return nil
		}
		last := j.lastSequence()
		txn, err := j.txn(current)
		if err != nil {
			return err
		}
		versions, err := j.table.Commit(ctx, txn)
		if err == nil {
			j.cursorVersion = versions[0]
			j.dropThrough(last)
			return nil
		}
		// Another writer moved a row, or the outcome is unknown: read the rows first.
		j.loaded = false
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return fmt.Errorf("flush of usage of %q conflicted with other writers %d times", j.origin.Instance, maxFlushAttempts)
}

// txn returns the transaction that writes all held batches, as one row per window, and
// advances the cursor.
func (j *journal) txn(current string) (platform.Txn, error) {
	first := j.batches[0].Sequence
	txn := platform.Txn{Checks: []platform.Check{
		{Key: cursorKey(j.origin), Version: j.cursorVersion},
		{Key: frontierKey, Version: j.frontierVersion},
	}}
	write, err := writeOf(cursorKey(j.origin), cursorRow{Through: j.lastSequence(), Window: current})
	if err != nil {
		return txn, err
	}
	txn.Writes = append(txn.Writes, write)
	windows := j.sumByWindow(max(current, j.frontier.Open))
	for _, window := range slices.Sorted(maps.Keys(windows)) {
		write, err := writeOf(batchKey(window, j.origin, first), linesRow{sortedLines(windows[window])})
		if err != nil {
			return txn, err
		}
		txn.Writes = append(txn.Writes, write)
	}
	return txn, nil
}

// sumByWindow sums the held batches by the window that they are added to.
func (j *journal) sumByWindow(current string) map[string]map[Key]Amount {
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

// sortedLines returns the sums in a fixed order, so that equal sums have equal encodings.
func sortedLines(sums map[Key]Amount) []Line {
	lines := make([]Line, 0, len(sums))
	for key, amount := range sums {
		lines = append(lines, Line{key, amount})
	}
	slices.SortFunc(lines, func(a, b Line) int { return a.Key.compare(b.Key) })
	return lines
}
