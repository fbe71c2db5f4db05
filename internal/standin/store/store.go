// Package store is an in-memory stand-in for the platform's store with change
// feeds. An outage can be simulated with SetDown.
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

// Store holds tables of rows. It is safe for concurrent use.
type Store struct {
	start time.Time

	mu          sync.Mutex
	rows        map[string]map[string]tablefeed.Row // by table and key
	version     uint64
	compactedTo uint64        // changes up to this version are no longer in the history
	down        bool          // calls are not answered
	changed     chan struct{} // closed and replaced at each change
	calls       int
}

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
	s.version++
	s.set(table, tablefeed.Row{Key: key, Value: value, Version: s.version})
	s.wake()
}

// Delete deletes a row unconditionally.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(table, tablefeed.Row{Key: key, Version: s.version, Removed: true})
	s.wake()
}

func (s *Store) set(table string, row tablefeed.Row) {
	if s.rows[table] == nil {
		s.rows[table] = map[string]tablefeed.Row{}
	}
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

// Feed returns the change feed of a table.
func (s *Store) Feed(table string) tablefeed.Feed { return &feed{store: s, table: table} }

type feed struct {
	store *Store
	table string
}

// Read implements tablefeed.Feed.
func (f *feed) Read(ctx context.Context, after string) (tablefeed.Page, error) {
	if err := f.store.enter(ctx); err != nil {
		return tablefeed.Page{}, err
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	page := f.store.page(f.table, 0, false)
	page.Rows = slices.DeleteFunc(page.Rows, func(r tablefeed.Row) bool { return r.Key <= after && after != "" })
	slices.SortFunc(page.Rows, func(a, b tablefeed.Row) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

// Changes implements tablefeed.Feed.
func (f *feed) Changes(ctx context.Context, since uint64, hold time.Duration) (tablefeed.Page, error) {
	if err := f.store.enter(ctx); err != nil {
		return tablefeed.Page{}, err
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for over := false; ; {
		f.store.mu.Lock()
		page, compacted, changed, down := f.store.page(f.table, since, true), since < f.store.compactedTo, f.store.changed, f.store.down
		f.store.mu.Unlock()
		switch {
		case down:
			<-ctx.Done()
			return tablefeed.Page{}, ctx.Err()
		case compacted:
			return tablefeed.Page{}, tablefeed.ErrHistoryGone
		case len(page.Rows) > 0 || over:
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return tablefeed.Page{}, ctx.Err()
		}
	}
}

// page returns the rows changed after a version, in order of their versions. It
// includes deleted rows if removed is set.
func (s *Store) page(table string, since uint64, removed bool) tablefeed.Page {
	page := tablefeed.Page{Version: s.version, Clock: time.Since(s.start)}
	for _, row := range s.rows[table] {
		if row.Version > since && (removed || !row.Removed) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b tablefeed.Row) int { return int(a.Version) - int(b.Version) })
	return page
}

// Table returns the transactional interface of a table.
func (s *Store) Table(name string) platform.Table { return &table{store: s, name: name} }

type table struct {
	store *Store
	name  string
}

// Get implements platform.Table.
func (t *table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if t.store.enter(ctx) != nil {
		return nil, platform.ErrUnavailable
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows, nil
}

// row returns a row. Its Version is 0 if it does not exist.
func (t *table) row(key string) platform.Row {
	r := t.store.rows[t.name][key]
	if r.Removed {
		return platform.Row{Key: key}
	}
	return platform.Row{Key: key, Value: r.Value, Version: r.Version}
}

// List implements platform.Table.
func (t *table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.store.enter(ctx) != nil {
		return nil, platform.ErrUnavailable
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	var rows []platform.Row
	for key, r := range t.store.rows[t.name] {
		if strings.HasPrefix(key, prefix) && key > after && !r.Removed {
			rows = append(rows, t.row(key))
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements platform.Table.
func (t *table) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	if t.store.enter(ctx) != nil {
		return nil, platform.ErrUnavailable
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	for _, c := range txn.Checks {
		if current := t.row(c.Key).Version; current != c.Version {
			return nil, &platform.ConflictError{Key: c.Key, Current: current}
		}
	}
	t.store.version++
	versions := make([]uint64, len(txn.Writes))
	for i, w := range txn.Writes {
		versions[i] = t.store.version
		t.store.set(t.name, tablefeed.Row{Key: w.Key, Value: w.Value, Version: t.store.version, Removed: w.Delete})
	}
	t.store.wake()
	return versions, nil
}
