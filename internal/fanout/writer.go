package fanout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	// maxCheckedDelay and maxUncheckedDelay bound how long a row waits to be batched with
	// others. An unchecked row may wait longer, since no caller waits for its outcome.
	maxCheckedDelay   = 250 * time.Millisecond
	maxUncheckedDelay = 1500 * time.Millisecond
	// maxRowsPerTxn bounds the rows of one transaction, each with a check.
	maxRowsPerTxn = 45
	// commitTimeout bounds one transaction.
	commitTimeout = time.Second
)

// Entry is one row to write.
type Entry struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
	// Checked makes the write conditional on the row's version being Version, where 0
	// means that the row must not exist.
	Checked bool   `cbor:"3,keyasint,omitempty"`
	Version uint64 `cbor:"4,keyasint,omitempty"`
}

// writeResult is the outcome of writing an entry.
type writeResult struct {
	version uint64
	err     error
}

// pendingEntry is an entry that has not been written yet.
type pendingEntry struct {
	Entry
	done chan writeResult // buffered, so that a result never blocks
}

// Writer batches rows of one table that several instances write. The entries of a batch
// are independent of each other: one whose check fails does not prevent the others from
// being written. It is safe for concurrent use.
type Writer struct {
	table platform.Table

	mu      sync.Mutex
	pending []*pendingEntry
	due     time.Time // when the next batch is written; zero if none is pending
	timer   *time.Timer
}

// NewWriter returns a writer for a table.
func NewWriter(t platform.Table) *Writer { return &Writer{table: t} }

// Write writes an entry and returns its version. An entry without a check is queued;
// Write returns immediately with version 0. It returns a *platform.ConflictError when
// the check failed. After any other error the outcome is unknown.
func (w *Writer) Write(ctx context.Context, e Entry) (uint64, error) {
	p := &pendingEntry{Entry: e, done: make(chan writeResult, 1)}
	w.add(p)
	if !e.Checked {
		return 0, nil
	}
	select {
	case r := <-p.done:
		return r.version, r.err
	case <-ctx.Done():
		return 0, errors.Join(platform.ErrUnavailable, ctx.Err())
	}
}

func (w *Writer) add(p *pendingEntry) {
	delay := maxUncheckedDelay
	if p.Checked {
		delay = maxCheckedDelay
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, p)
	if len(w.pending) >= maxRowsPerTxn {
		delay = 0
	}
	due := time.Now().Add(delay)
	if !w.due.IsZero() && !due.Before(w.due) {
		return
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.due = due
	w.timer = time.AfterFunc(delay, w.flush)
}

// flush writes all pending entries.
func (w *Writer) flush() {
	w.mu.Lock()
	entries := w.pending
	w.pending, w.due = nil, time.Time{}
	w.mu.Unlock()
	for len(entries) > 0 {
		n := min(len(entries), maxRowsPerTxn)
		w.commit(entries[:n])
		entries = entries[n:]
	}
}

// commit writes entries in one transaction and retries without those whose checks fail.
func (w *Writer) commit(entries []*pendingEntry) {
	for len(entries) > 0 {
		versions, err := w.commitOnce(entries)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			var removed bool
			if entries, removed = rejectConflict(entries, conflict); removed {
				continue
			}
		}
		for i, p := range entries {
			if err != nil {
				p.done <- writeResult{err: err}
				continue
			}
			p.done <- writeResult{version: versions[i]}
		}
		return
	}
}

func (w *Writer) commitOnce(entries []*pendingEntry) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var txn platform.Txn
	for _, p := range entries {
		if p.Checked {
			txn.Checks = append(txn.Checks, platform.Check{Key: p.Key, Version: p.Version})
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: p.Key, Value: p.Value})
	}
	return w.table.Commit(ctx, txn)
}

// rejectConflict reports the conflict to its entry and returns the remaining entries. It
// returns false when no entry matches the conflict.
func rejectConflict(entries []*pendingEntry, conflict *platform.ConflictError) ([]*pendingEntry, bool) {
	var rest []*pendingEntry
	for _, p := range entries {
		if p.Checked && p.Key == conflict.Key {
			p.done <- writeResult{err: conflict}
			continue
		}
		rest = append(rest, p)
	}
	return rest, len(rest) < len(entries)
}
