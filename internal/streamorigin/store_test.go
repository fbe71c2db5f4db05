package streamorigin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// fakeStore is a store of several tables that can be restored from an older copy.
type fakeStore struct {
	mu      sync.Mutex
	tables  []map[string]platform.Row
	version uint64
	epoch   uint64
	down    bool
	commits int
	reads   int
	copies  []map[string]platform.Row
	number  uint64 // version at the time of the copy
}

func newFakeStore(tables int) *fakeStore {
	s := &fakeStore{}
	for range tables {
		s.tables = append(s.tables, map[string]platform.Row{})
	}
	return s
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// copyRows makes the copy that restore goes back to.
func (s *fakeStore) copyRows() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies, s.number = nil, s.version
	for _, t := range s.tables {
		s.copies = append(s.copies, maps.Clone(t))
	}
}

func (s *fakeStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables, s.version = s.copies, s.number
	s.epoch++
}

func (s *fakeStore) rows(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for _, t := range s.tables {
		for key, r := range t {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, r)
			}
		}
	}
	return rows
}

func (s *fakeStore) commitCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// link is one instance's connection to the store. It knows the epoch of the last answer.
type link struct {
	store *fakeStore

	mu    sync.Mutex
	epoch uint64
	cut   bool
	delay time.Duration // before each call takes effect; set before use
	// intercept is called with each transaction. It returns whether the transaction takes
	// effect and whether it is answered. May be nil.
	intercept func(platform.Txn) (takesEffect, answered bool)
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) setIntercept(f func(platform.Txn) (takesEffect, answered bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.intercept = f
}

func (l *link) known() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// follow does what an answer of another table's feed does.
func (l *link) follow() {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	if !l.store.down {
		l.answered()
	}
}

func (l *link) tables() []platform.Table {
	var tables []platform.Table
	for i := range l.store.tables {
		tables = append(tables, &linkTable{link: l, index: i})
	}
	return tables
}

// enter blocks until ctx ends while the store does not answer.
func (l *link) enter(ctx context.Context) error {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	l.store.mu.Lock()
	down := l.store.down || cut
	l.store.mu.Unlock()
	if down {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	return wait.For(ctx, l.delay)
}

// answered notes the epoch of an answer. The caller must hold l.store.mu.
func (l *link) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = max(l.epoch, l.store.epoch)
}

type linkTable struct {
	link  *link
	index int
	away  bool // commits are not answered
}

func (t *linkTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := t.link.enter(ctx); err != nil {
		return nil, err
	}
	s := t.link.store
	s.mu.Lock()
	defer s.mu.Unlock()
	t.link.answered()
	s.reads++
	var rows []platform.Row
	for _, key := range keys {
		r := s.tables[t.index][key]
		r.Key = key
		rows = append(rows, r)
	}
	return rows, nil
}

func (t *linkTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.link.enter(ctx); err != nil {
		return nil, err
	}
	s := t.link.store
	s.mu.Lock()
	defer s.mu.Unlock()
	t.link.answered()
	s.reads++
	var rows []platform.Row
	for key, r := range s.tables[t.index] {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *linkTable) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	if err := t.link.enter(ctx); err != nil {
		return nil, err
	}
	if t.away {
		<-ctx.Done()
		return nil, platform.ErrUnavailable
	}
	t.link.mu.Lock()
	intercept := t.link.intercept
	t.link.mu.Unlock()
	effect, answer := true, true
	if intercept != nil {
		effect, answer = intercept(txn)
	}
	versions, err := []uint64(nil), error(nil)
	if effect {
		versions, err = t.link.store.apply(t.index, txn)
	}
	if !answer || !effect {
		<-ctx.Done()
		return nil, platform.ErrUnavailable
	}
	t.link.store.mu.Lock()
	defer t.link.store.mu.Unlock()
	t.link.answered()
	return versions, err
}

// apply performs a transaction.
func (s *fakeStore) apply(table int, txn platform.Txn) ([]uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	rows := s.tables[table]
	for _, c := range txn.Checks {
		if rows[c.Key].Version != c.Version {
			return nil, &platform.ConflictError{Key: c.Key, Current: rows[c.Key].Version}
		}
	}
	s.version++
	var versions []uint64
	for _, w := range txn.Writes {
		versions = append(versions, s.version)
		if w.Delete {
			delete(rows, w.Key)
			continue
		}
		rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return versions, nil
}
