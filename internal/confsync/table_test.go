package confsync

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// fakeTable is an in-memory table service with injectable faults.
type fakeTable struct {
	mu        sync.Mutex
	rows      map[string]platform.Row
	down      bool // all calls fail without effect
	loseReply int  // number of commits that take effect but return an error

	beforeCommit func() // runs once, before the next commit takes effect
	afterLost    func() // runs once, after a commit whose reply is lost

	reads, writes atomic.Int64
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]platform.Row)} }

func (t *fakeTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (t *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads.Add(1)
	if t.down {
		return nil, platform.ErrUnavailable
	}
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (t *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads.Add(1)
	if t.down {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (t *fakeTable) Commit(_ context.Context, txn platform.Txn) ([]uint64, error) {
	t.runHook(&t.beforeCommit)
	versions, lost, err := t.commit(txn)
	if lost {
		t.runHook(&t.afterLost)
	}
	return versions, err
}

// runHook calls a hook once.
func (t *fakeTable) runHook(hook *func()) {
	t.mu.Lock()
	f := *hook
	*hook = nil
	t.mu.Unlock()
	if f != nil {
		f()
	}
}

func (t *fakeTable) commit(txn platform.Txn) (versions []uint64, lost bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes.Add(1)
	if t.down {
		return nil, false, platform.ErrUnavailable
	}
	for _, c := range txn.Checks {
		if current := t.rows[c.Key].Version; current != c.Version {
			return nil, false, &platform.ConflictError{Key: c.Key, Current: current}
		}
	}
	versions = make([]uint64, len(txn.Writes))
	for i, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		versions[i] = t.rows[w.Key].Version + 1
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: versions[i]}
	}
	if t.loseReply > 0 {
		t.loseReply--
		return nil, true, platform.ErrUnavailable
	}
	return versions, false, nil
}

// tablePath is one instance's connection to the table service.
type tablePath struct {
	*fakeTable
	cut atomic.Bool
}

func (p *tablePath) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if p.cut.Load() {
		return nil, blockUntilDone(ctx)
	}
	return p.fakeTable.Get(ctx, keys...)
}

func (p *tablePath) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if p.cut.Load() {
		return nil, blockUntilDone(ctx)
	}
	return p.fakeTable.List(ctx, prefix, after, limit)
}

func (p *tablePath) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	if p.cut.Load() {
		return nil, blockUntilDone(ctx)
	}
	return p.fakeTable.Commit(ctx, txn)
}

// blockUntilDone simulates a call whose packets are dropped: it returns an
// error when ctx is done.
func blockUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return platform.ErrUnavailable
}
