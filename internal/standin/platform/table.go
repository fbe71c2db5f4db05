package platform

import (
	"bytes"
	"context"
	"strings"
	"sync"

	"github.com/google/btree"
	api "github.com/hawthornwick/hawthornwick/internal/platform"
)

const btreeDegree = 32

// table keeps rows in key order. A row's version is the number of the last
// transaction that wrote it, so that a row created again after a deletion never
// has an earlier version again.
type table struct {
	mu      sync.Mutex
	rows    *btree.BTreeG[api.Row]
	lastTxn uint64 // number of the last transaction
}

func (t *table) init() {
	t.rows = btree.NewG(btreeDegree, func(a, b api.Row) bool { return a.Key < b.Key })
}

// get returns a row. Its Version is 0 if it does not exist. The caller holds mu.
func (t *table) get(key string) api.Row {
	row, ok := t.rows.Get(api.Row{Key: key})
	if !ok {
		return api.Row{Key: key}
	}
	row.Value = bytes.Clone(row.Value)
	return row
}

func (t *table) list(prefix, after string, limit int) []api.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []api.Row
	t.rows.AscendGreaterOrEqual(api.Row{Key: max(prefix, after)}, func(row api.Row) bool {
		if !strings.HasPrefix(row.Key, prefix) {
			return false
		}
		if row.Key == after {
			return true
		}
		if len(found) == limit {
			return false
		}
		row.Value = bytes.Clone(row.Value)
		found = append(found, row)
		return true
	})
	return found
}

func (t *table) commit(txn api.Txn) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, check := range txn.Checks {
		row := t.get(check.Key)
		if row.Version != check.Version {
			return nil, &api.ConflictError{Key: check.Key, Current: row.Version}
		}
	}
	t.lastTxn++
	versions := make([]uint64, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		if w.Delete {
			t.rows.Delete(api.Row{Key: w.Key})
			versions = append(versions, 0)
			continue
		}
		t.rows.ReplaceOrInsert(api.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: t.lastTxn})
		versions = append(versions, t.lastTxn)
	}
	return versions, nil
}

// tableCaller implements api.Table for one caller.
type tableCaller struct{ *Caller }

// Get implements api.Table.
func (c tableCaller) Get(ctx context.Context, keys ...string) ([]api.Row, error) {
	return call(ctx, c.Caller, TableInterface, cost{reads: len(keys)}, func() ([]api.Row, error) {
		t := &c.p.table
		t.mu.Lock()
		rows := make([]api.Row, 0, len(keys))
		for _, key := range keys {
			rows = append(rows, t.get(key))
		}
		t.mu.Unlock()
		c.countRead(rows)
		return rows, nil
	})
}

// List implements api.Table. The call counts as one row against the read limit
// beforehand; the other rows are charged afterwards, when their number is known.
func (c tableCaller) List(ctx context.Context, prefix, after string, limit int) ([]api.Row, error) {
	rows, err := call(ctx, c.Caller, TableInterface, cost{reads: 1}, func() ([]api.Row, error) {
		rows := c.p.table.list(prefix, after, limit)
		c.countRead(rows)
		return rows, nil
	})
	if err == nil && !allow(ctx, c.p.reads, len(rows)-1) {
		return nil, api.ErrUnavailable
	}
	return rows, err
}

// Commit implements api.Table.
func (c tableCaller) Commit(ctx context.Context, txn api.Txn) ([]uint64, error) {
	cost := cost{writes: max(1, len(txn.Writes))}
	return call(ctx, c.Caller, TableInterface, cost, func() ([]uint64, error) {
		c.countWrite(txn)
		return c.p.table.commit(txn)
	})
}

func (c tableCaller) countRead(rows []api.Row) {
	n := Counts{ReadCalls: 1, ReadRows: int64(max(1, len(rows)))}
	for _, row := range rows {
		n.Bytes += int64(len(row.Key) + len(row.Value))
	}
	c.p.counts.add(c.name, TableInterface, n)
}

func (c tableCaller) countWrite(txn api.Txn) {
	n := Counts{WriteCalls: 1, WriteRows: int64(max(1, len(txn.Writes)))}
	for _, check := range txn.Checks {
		n.Bytes += int64(len(check.Key))
	}
	for _, w := range txn.Writes {
		n.Bytes += int64(len(w.Key) + len(w.Value))
	}
	c.p.counts.add(c.name, TableInterface, n)
}
