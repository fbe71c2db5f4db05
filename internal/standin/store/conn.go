package store

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// Conn is one instance's access to a store, with versions over all epochs.
type Conn struct {
	store  *Store
	epochs *storeepoch.Tracker
}

// Connect returns the access of an instance that tracks the epoch with t.
func (s *Store) Connect(t *storeepoch.Tracker) *Conn { return &Conn{store: s, epochs: t} }

// Feed returns the change feed of a table for an instance of its own.
func (s *Store) Feed(table string) tablefeed.Feed {
	return s.Connect(&storeepoch.Tracker{}).Feed(table)
}

// Table returns the transactional interface of a table for an instance of its own.
func (s *Store) Table(name string) platform.Table {
	return s.Connect(&storeepoch.Tracker{}).Table(name)
}

// Feed returns the change feed of a table.
func (c *Conn) Feed(table string) tablefeed.Feed { return &feed{c, table} }

// Table returns the transactional interface of a table.
func (c *Conn) Table(name string) platform.Table { return &table{c, name} }

// version returns the version of a row's number.
func version(epoch, number uint64) uint64 {
	v, err := platform.NewRowVersion(epoch, number)
	if err != nil {
		panic(err) // a test that runs for so long does not exist
	}
	return v
}

// observe tracks the epoch of an answer. A new one is asked for once more.
func (c *Conn) observe(epoch uint64) error {
	now := boottime.Now()
	return c.epochs.Confirm(epoch, now, now, func() error {
		sent := boottime.Now()
		return c.epochs.ObserveAnswer(c.store.Epoch(), sent, boottime.Now())
	})
}

// page converts an answer.
func (c *Conn) page(a Answer) (tablefeed.Page, error) {
	if err := c.observe(a.Epoch); err != nil {
		return tablefeed.Page{}, err
	}
	var err error
	page := a.Page
	for i := range page.Rows {
		page.Rows[i].Version = version(a.Epoch, page.Rows[i].Version)
	}
	page.Version, err = platform.NewVersion(a.Epoch, page.Version)
	return page, err
}

type feed struct {
	conn *Conn
	name string
}

// Read implements tablefeed.Feed.
func (f *feed) Read(ctx context.Context, after string) (tablefeed.Page, error) {
	a, err := f.conn.store.Read(ctx, f.name, after)
	if err != nil {
		return tablefeed.Page{}, err
	}
	return f.conn.page(a)
}

// Changes implements tablefeed.Feed.
func (f *feed) Changes(ctx context.Context, since uint64, hold time.Duration) (tablefeed.Page, error) {
	if platform.EpochOf(since) != f.conn.epochs.Current().Number {
		return tablefeed.Page{}, tablefeed.ErrHistoryGone
	}
	a, err := f.conn.store.Changes(ctx, f.name, platform.NumberOf(since), hold)
	if err != nil && !errors.Is(err, tablefeed.ErrHistoryGone) {
		return tablefeed.Page{}, err
	}
	page, stale := f.conn.page(a)
	if stale != nil {
		return tablefeed.Page{}, stale
	}
	if err != nil || a.Epoch != platform.EpochOf(since) {
		return tablefeed.Page{}, tablefeed.ErrHistoryGone
	}
	return page, nil
}

type table struct {
	conn *Conn
	name string
}

// Get implements platform.Table.
func (t *table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	epoch, rows, err := t.conn.store.Get(ctx, t.name, keys...)
	if err != nil {
		return nil, err
	}
	return t.rows(epoch, rows)
}

func (t *table) rows(epoch uint64, rows []platform.Row) ([]platform.Row, error) {
	if err := t.conn.observe(epoch); err != nil {
		return nil, errors.Join(platform.ErrUnavailable, err)
	}
	for i := range rows {
		rows[i].Version = version(epoch, rows[i].Version)
	}
	return rows, nil
}

// List implements platform.Table.
func (t *table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	a, err := t.conn.store.Read(ctx, t.name, max(after, ""))
	if err != nil {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for _, r := range a.Rows {
		if strings.HasPrefix(r.Key, prefix) && len(rows) < limit {
			rows = append(rows, platform.Row{Key: r.Key, Value: r.Value, Version: r.Version})
		}
	}
	return t.rows(a.Epoch, rows)
}

// Commit implements platform.Table.
func (t *table) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	known := t.conn.epochs.Current().Number
	numbers := platform.Txn{Writes: txn.Writes}
	for _, c := range txn.Checks {
		if c.Version != 0 && platform.EpochOf(c.Version) != known {
			return nil, &platform.ConflictError{Key: c.Key}
		}
		numbers.Checks = append(numbers.Checks, platform.Check{Key: c.Key, Version: platform.NumberOf(c.Version)})
	}
	epoch, number, err := t.conn.store.Commit(ctx, t.name, numbers)
	var conflict *platform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return nil, err
	}
	if stale := t.conn.observe(epoch); stale != nil {
		return nil, errors.Join(platform.ErrUnavailable, stale)
	}
	switch {
	case conflict != nil:
		return nil, &platform.ConflictError{Key: conflict.Key, Current: version(epoch, conflict.Current)}
	case epoch != known && len(txn.Checks) > 0:
		return nil, platform.ErrUnavailable
	}
	versions := make([]uint64, len(txn.Writes))
	for i := range versions {
		versions[i] = version(epoch, number)
	}
	return versions, nil
}
