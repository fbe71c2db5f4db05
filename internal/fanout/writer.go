package fanout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	// checkedDelay and uncheckedDelay are how long a row waits for others to be
	// written with it. Nobody waits for the outcome of one without a check.
	checkedDelay   = 250 * time.Millisecond
	uncheckedDelay = 1500 * time.Millisecond
	// rowsPerCall is the number of rows written at once, each with a check.
	rowsPerCall = 45
	// commitTimeout is the time for one transaction.
	commitTimeout = time.Second
)

// Entry is one row to be written.
type Entry struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
	// Checked demands that the row has Version, 0 for none, or nothing is written.
	Checked bool   `cbor:"3,keyasint,omitempty"`
	Version uint64 `cbor:"4,keyasint,omitempty"`
}

// written is the outcome of an entry.
type written struct {
	version uint64
	err     error
}

// pending is an entry that waits to be written.
type pending struct {
	Entry
	done chan written // buffered
}

// Writer joins rows of one table that several instances write. The entries of a
// transaction do not depend on one another: one whose check fails does not keep the
// others from being written. It is safe for concurrent use.
type Writer struct {
	table platform.Table

	mu      sync.Mutex
	waiting []*pending
	due     time.Time // of the next transaction; zero: none is due
	timer   *time.Timer
}

// NewWriter returns a writer of a table.
func NewWriter(t platform.Table) *Writer { return &Writer{table: t} }

// Write writes an entry and returns its version. For an entry without a check it
// returns at once, and the version is 0. It returns a *platform.ConflictError when
// the check failed, and another error when the outcome is unknown.
func (w *Writer) Write(ctx context.Context, e Entry) (uint64, error) {
	p := &pending{Entry: e, done: make(chan written, 1)}
	w.add(p)
	if !e.Checked {
		return 0, nil
	}
	select {
	case o := <-p.done:
		return o.version, o.err
	case <-ctx.Done():
		return 0, errors.Join(platform.ErrUnavailable, ctx.Err())
	}
}

func (w *Writer) add(p *pending) {
	delay := uncheckedDelay
	if p.Checked {
		delay = checkedDelay
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = append(w.waiting, p)
	if len(w.waiting) >= rowsPerCall {
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

// flush writes what waits.
func (w *Writer) flush() {
	w.mu.Lock()
	waiting := w.waiting
	w.waiting, w.due = nil, time.Time{}
	w.mu.Unlock()
	for len(waiting) > 0 {
		n := min(len(waiting), rowsPerCall)
		w.commit(waiting[:n])
		waiting = waiting[n:]
	}
}

// commit writes entries in one transaction, without those whose checks fail.
func (w *Writer) commit(entries []*pending) {
	for len(entries) > 0 {
		versions, err := w.try(entries)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			var failed bool
			if entries, failed = without(entries, conflict); failed {
				continue
			}
		}
		for i, p := range entries {
			if err != nil {
				p.done <- written{err: err}
				continue
			}
			p.done <- written{version: versions[i]}
		}
		return
	}
}

func (w *Writer) try(entries []*pending) ([]uint64, error) {
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

// without takes the entry whose check failed out and tells it; false when there is
// none.
func without(entries []*pending, conflict *platform.ConflictError) ([]*pending, bool) {
	var rest []*pending
	for _, p := range entries {
		if p.Checked && p.Key == conflict.Key {
			p.done <- written{err: conflict}
			continue
		}
		rest = append(rest, p)
	}
	return rest, len(rest) < len(entries)
}
