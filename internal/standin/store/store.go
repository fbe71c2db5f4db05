// Package store is an in-memory stand-in for the platform's store with change
// feeds. It can be away (SetDown), forget its history (Compact) and come back from an
// older copy of itself (Restore).
package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// Store holds tables of rows. Its versions are the numbers of its transactions, without an
// epoch. It is safe for concurrent use.
type Store struct {
	start time.Time

	mu          sync.Mutex
	rows        map[string]map[string]tablefeed.Row // by table and key
	version     uint64
	epoch       uint64
	undo        []change      // the newest changes, in order
	compactedTo uint64        // changes up to this version are no longer in the history
	down        bool          // calls are not answered
	changed     chan struct{} // closed and replaced at each change
	calls       int
}

// change is what Restore takes back.
type change struct {
	at      time.Time
	table   string
	before  tablefeed.Row // the row before the change; a zero Version means that it was absent
	version uint64        // of the store before the change
}

// maxCopyAge is the age of the oldest copy that Restore can use.
const maxCopyAge = 20 * time.Second

// New returns an empty store.
func New() *Store {
	return &Store{start: time.Now(), rows: map[string]map[string]tablefeed.Row{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage. Calls made during an outage block until their
// context ends.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Compact discards the history of changes, so that feeds must read the whole
// table again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.compactedTo = s.version
	s.wake()
}

// SetEpoch sets the epoch of an empty store.
func (s *Store) SetEpoch(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
}

// Restore replaces all rows by those of a copy of the given age, at most maxCopyAge. All that
// was written since is gone, its numbers are given out again, and the epoch rises by one.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Now().Add(-age)
	for len(s.undo) > 0 && s.undo[len(s.undo)-1].at.After(since) {
		c := s.undo[len(s.undo)-1]
		s.undo = s.undo[:len(s.undo)-1]
		s.version = c.version
		if c.before.Version == 0 {
			delete(s.rows[c.table], c.before.Key)
			continue
		}
		s.rows[c.table][c.before.Key] = c.before
	}
	s.compactedTo = min(s.compactedTo, s.version)
	s.epoch++
	s.wake()
}

// Epoch returns how often the store was restored.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Keys returns the keys of the rows of a table, also while the store is down.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key, row := range s.rows[table] {
		if !row.Removed {
			keys = append(keys, key)
		}
	}
	return keys
}

// Calls returns the number of calls so far, including unanswered ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row unconditionally.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.version
	s.version++
	s.set(before, table, tablefeed.Row{Key: key, Value: value, Version: s.version})
	s.wake()
}

// Delete deletes a row unconditionally.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.version
	s.version++
	s.set(before, table, tablefeed.Row{Key: key, Version: s.version, Removed: true})
	s.wake()
}

// set writes a row. version is that of the store before the change.
func (s *Store) set(version uint64, table string, row tablefeed.Row) {
	if s.rows[table] == nil {
		s.rows[table] = map[string]tablefeed.Row{}
	}
	c := change{at: time.Now(), table: table, before: s.rows[table][row.Key], version: version}
	c.before.Key = row.Key
	for len(s.undo) > 0 && c.at.Sub(s.undo[0].at) > maxCopyAge {
		s.undo = s.undo[1:]
	}
	s.undo = append(s.undo, c)
	s.rows[table][row.Key] = row
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter counts a call. During an outage it blocks until ctx ends.
func (s *Store) enter(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	if !down {
		return ctx.Err()
	}
	<-ctx.Done()
	return ctx.Err()
}

// Answer is the answer to a call with the store's epoch.
type Answer struct {
	Epoch uint64
	tablefeed.Page
}

// Read returns the rows of a table whose keys sort after after, in the order of their keys.
func (s *Store) Read(ctx context.Context, table, after string) (Answer, error) {
	if err := s.enter(ctx); err != nil {
		return Answer{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answer(table, 0, false)
	a.Rows = slices.DeleteFunc(a.Rows, func(r tablefeed.Row) bool { return r.Key <= after && after != "" })
	slices.SortFunc(a.Rows, func(a, b tablefeed.Row) int { return strings.Compare(a.Key, b.Key) })
	return a, nil
}

// Changes returns the rows of a table changed after the number since, as soon as there is one,
// or none after hold. It returns tablefeed.ErrHistoryGone, with the epoch, if the store has no
// such number or no longer has the changes.
func (s *Store) Changes(ctx context.Context, table string, since uint64, hold time.Duration) (Answer, error) {
	if err := s.enter(ctx); err != nil {
		return Answer{}, err
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		a, changed, down := s.answer(table, since, true), s.changed, s.down
		gone := since < s.compactedTo || since > s.version
		s.mu.Unlock()
		switch {
		case down:
			<-ctx.Done()
			return Answer{}, ctx.Err()
		case gone:
			return Answer{Epoch: a.Epoch}, tablefeed.ErrHistoryGone
		case len(a.Rows) > 0 || over:
			return a, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
}

// answer returns the rows changed after a number, in order of their numbers. It includes
// deleted rows if removed is set.
func (s *Store) answer(table string, since uint64, removed bool) Answer {
	page := tablefeed.Page{Version: s.version, Clock: time.Since(s.start)}
	for _, row := range s.rows[table] {
		if row.Version > since && (removed || !row.Removed) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b tablefeed.Row) int { return int(a.Version) - int(b.Version) })
	return Answer{Epoch: s.epoch, Page: page}
}

// Get returns rows of a table. The number of an absent row is 0.
func (s *Store) Get(ctx context.Context, table string, keys ...string) (epoch uint64, rows []platform.Row, err error) {
	if s.enter(ctx) != nil {
		return 0, nil, platform.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		rows = append(rows, s.row(table, key))
	}
	return s.epoch, rows, nil
}

func (s *Store) row(table, key string) platform.Row {
	r := s.rows[table][key]
	if r.Removed {
		return platform.Row{Key: key}
	}
	return platform.Row{Key: key, Value: r.Value, Version: r.Version}
}

// Commit applies a transaction on a table and returns its number. It returns
// *platform.ConflictError, with the epoch, if a check fails.
func (s *Store) Commit(ctx context.Context, table string, txn platform.Txn) (epoch, number uint64, err error) {
	if s.enter(ctx) != nil {
		return 0, 0, platform.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Checks {
		if current := s.row(table, c.Key).Version; current != c.Version {
			return s.epoch, 0, &platform.ConflictError{Key: c.Key, Current: current}
		}
	}
	before := s.version
	s.version++
	for _, w := range txn.Writes {
		s.set(before, table, tablefeed.Row{Key: w.Key, Value: w.Value, Version: s.version, Removed: w.Delete})
	}
	s.wake()
	return s.epoch, s.version, nil
}
