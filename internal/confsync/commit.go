package confsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	commitTimeout    = 8 * time.Second
	minRetryDelay    = 10 * time.Millisecond
	maxRetryDelay    = 500 * time.Millisecond
	logKeptVersions  = 4096 // older entries are deleted; a reader further behind loads all rows
	compactionStride = 256  // versions between two compactions
)

// changeBuilder builds the change to commit and its row from the newest state.
// It returns errUnchanged if the state already has the requested value.
type changeBuilder func(State) (Change, rowWrite, error)

// rowWrite is the row that a change writes in addition to the head row and the
// log entry.
type rowWrite struct {
	key   string
	value func(version uint64) any
}

// errUnchanged reports that the state already has the requested value.
var errUnchanged = errors.New("the state already has the requested value")

// errVersionTaken reports that another commit took the version.
var errVersionTaken = errors.New("another commit took the version")

// commitResult is the outcome of a commit: the version that holds the change,
// and whether this call wrote it or it was already there.
type commitResult struct {
	version uint64
	changed bool
}

// commit commits the change that b builds. It rebuilds the change on each
// newer state and retries with backoff until commitTimeout.
func (s *Store) commit(ctx context.Context, b changeBuilder) (commitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	id := s.newID()
	delay := minRetryDelay
	for {
		w, err := s.tryCommit(ctx, b, id)
		if err == nil || !retryable(err) {
			return w, err
		}
		if wait.For(ctx, rand.N(delay)) != nil {
			return commitResult{}, refuse(result.StoreUnavailable, "the table service did not confirm the change").WithCause(err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func retryable(err error) bool {
	return errors.Is(err, errVersionTaken) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, context.DeadlineExceeded)
}

// tryCommit commits on top of the current head row.
func (s *Store) tryCommit(ctx context.Context, b changeBuilder, id string) (commitResult, error) {
	began := s.options.Now()
	head, version, err := readHead(ctx, s.options.Table)
	if err != nil {
		return commitResult{}, err
	}
	if err := s.catchUp(ctx, version, began); err != nil {
		return commitResult{}, err
	}
	state := s.State()
	if state.Version != version {
		return commitResult{}, errVersionTaken
	}
	c, row, err := b(state)
	if errors.Is(err, errUnchanged) {
		return commitResult{version: state.Version}, nil
	}
	if err != nil {
		return commitResult{}, err
	}
	c.Version = version + 1
	c.ID = id
	txn, err := transaction(head, c, row)
	if err != nil {
		return commitResult{}, err
	}
	if err := s.confirm(ctx, txn, c); err != nil {
		return commitResult{}, err
	}
	s.afterCommit(ctx, c)
	return commitResult{version: c.Version, changed: true}, nil
}

func transaction(head platform.Row, c Change, row rowWrite) (platform.Txn, error) {
	txn := platform.Txn{Checks: []platform.Check{{Key: headKey, Version: head.Version}}}
	values := []struct {
		key   string
		value any
	}{
		{headKey, headRow{Version: c.Version}},
		{logRowKey(c.Version), c},
		{row.key, row.value(c.Version)},
	}
	for _, v := range values {
		w, err := encodeWrite(v.key, v.value)
		if err != nil {
			return platform.Txn{}, err
		}
		txn.Writes = append(txn.Writes, w)
	}
	return txn, nil
}

// confirm commits the transaction and, if the reply is lost, reads the log to
// find out whether it took effect. The check on the head row makes a retry
// idempotent.
func (s *Store) confirm(ctx context.Context, txn platform.Txn, c Change) error {
	delay := minRetryDelay
	for {
		_, err := s.options.Table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		winner, readErr := s.committedID(ctx, c.Version)
		if readErr == nil && winner == c.ID {
			return nil
		}
		if readErr == nil && winner != "" {
			return errVersionTaken
		}
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) && readErr == nil {
			return errVersionTaken
		}
		if wait.For(ctx, rand.N(delay)) != nil {
			return errors.Join(err, ctx.Err())
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// committedID returns the ID of the change that was committed as the version,
// or "" if there is none.
func (s *Store) committedID(ctx context.Context, version uint64) (string, error) {
	rows, err := s.options.Table.Get(ctx, logRowKey(version))
	if err != nil {
		return "", err
	}
	var c Change
	if err := decodeRow(rows[0], &c); err != nil {
		return "", err
	}
	return c.ID, nil
}

// afterCommit applies a committed change on this instance, pushes it to the
// other instances, and compacts the log every compactionStride versions.
func (s *Store) afterCommit(ctx context.Context, c Change) {
	if err := s.push([]Change{c}, ""); err != nil {
		s.requestPoll()
	}
	if c.Version%compactionStride == 0 && c.Version > logKeptVersions {
		s.compact(ctx, c.Version-logKeptVersions)
	}
}

// compact deletes the log entries below the version. After a failure, the next
// call deletes them.
func (s *Store) compact(ctx context.Context, below uint64) {
	rows, err := s.options.Table.List(ctx, logPrefix, "", 2*compactionStride)
	if err != nil {
		return
	}
	var txn platform.Txn
	for _, row := range rows {
		if row.Key < logRowKey(below) {
			txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
		}
	}
	if len(txn.Writes) == 0 {
		return
	}
	if _, err := s.options.Table.Commit(ctx, txn); err != nil {
		s.options.Logger.Debug("compaction of the change log failed; the next compaction retries", "error", err)
	}
}

// refuse returns the numbered result that rejects an operator's command.
func refuse(code result.Code, format string, args ...any) *result.Error {
	var gate result.Gate
	return gate.Refuse(code, format, args...)
}
