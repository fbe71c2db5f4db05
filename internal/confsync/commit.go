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
	logKeptVersions  = 4096 // older entries are deleted; readers then load everything
	compactionStride = 256  // versions between two deletions
)

// build turns the newest state into the change to commit and its row. It
// returns errUnchanged when the state already says what is wanted.
type build func(State) (Change, rowWrite, error)

// rowWrite is the row that a change writes beside the head and the log.
type rowWrite struct {
	key   string
	value func(version uint64) any
}

// errUnchanged reports that the state already is as wanted.
var errUnchanged = errors.New("nothing to change")

// errLostRace reports that another commit took the version.
var errLostRace = errors.New("another commit came first")

// written is what became of a change: the version that holds it, and whether it
// was made now or stood there before.
type written struct {
	version uint64
	changed bool
}

// commit commits the change that b builds, anew for each newer state.
func (s *Store) commit(ctx context.Context, b build) (written, error) {
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
			return written{}, refused(result.StoreUnavailable, "the table service did not confirm the change").WithCause(err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func retryable(err error) bool {
	return errors.Is(err, errLostRace) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, context.DeadlineExceeded)
}

// tryCommit commits on top of the head row as it is now.
func (s *Store) tryCommit(ctx context.Context, b build, id string) (written, error) {
	began := s.options.Now()
	head, version, err := readHead(ctx, s.options.Table)
	if err != nil {
		return written{}, err
	}
	if err := s.catchUp(ctx, version, began); err != nil {
		return written{}, err
	}
	state := s.State()
	if state.Version != version {
		return written{}, errLostRace
	}
	c, row, err := b(state)
	if errors.Is(err, errUnchanged) {
		return written{version: state.Version}, nil
	}
	if err != nil {
		return written{}, err
	}
	c.Version = version + 1
	c.ID = id
	txn, err := transaction(head, c, row)
	if err != nil {
		return written{}, err
	}
	if err := s.confirm(ctx, txn, c); err != nil {
		return written{}, err
	}
	s.committed(ctx, c)
	return written{version: c.Version, changed: true}, nil
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

// confirm commits the transaction and finds out what became of it when the
// reply is lost. The check on the head row makes sending it again harmless.
func (s *Store) confirm(ctx context.Context, txn platform.Txn, c Change) error {
	delay := minRetryDelay
	for {
		_, err := s.options.Table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		winner, readErr := s.winner(ctx, c.Version)
		if readErr == nil && winner == c.ID {
			return nil
		}
		if readErr == nil && winner != "" {
			return errLostRace
		}
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) && readErr == nil {
			return errLostRace
		}
		if wait.For(ctx, rand.N(delay)) != nil {
			return errors.Join(err, ctx.Err())
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// winner returns the id of the change that took the version, "" if none did.
func (s *Store) winner(ctx context.Context, version uint64) (string, error) {
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

// committed puts a committed change in force here, pushes it to the other
// instances, and deletes old log entries now and then.
func (s *Store) committed(ctx context.Context, c Change) {
	if err := s.push([]Change{c}, ""); err != nil {
		s.requestPoll()
	}
	if c.Version%compactionStride == 0 && c.Version > logKeptVersions {
		s.compact(ctx, c.Version-logKeptVersions)
	}
}

// compact deletes the log entries below the version. A failure is mended by
// the next call.
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
		s.options.Logger.Debug("change log not compacted", "error", err)
	}
}

// refused builds the error of an operator's act.
func refused(code result.Code, format string, args ...any) *result.Error {
	var gate result.Gate
	return gate.Refuse(code, format, args...)
}
