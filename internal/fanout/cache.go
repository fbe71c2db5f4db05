package fanout

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// maxTombstones bounds the deleted rows that a cache retains. Beyond it all are dropped,
// and followers at an older version must read the whole table again.
const maxTombstones = 4096

// errRestoredSince reports a position of before the store was restored from an older copy.
var errRestoredSince = errors.New("the store was restored from an older copy since that version")

// errStoreUnavailable reports that a source cannot reach the store itself.
var errStoreUnavailable = errors.New("the source cannot reach the store")

// Cache is a source's copy of one table, which other instances follow. A
// tablefeed.Follower keeps it up to date. It is safe for concurrent use.
type Cache struct {
	now func() boottime.Instant

	mu          sync.Mutex
	loaded      bool
	unavailable bool
	rows        map[string]tablefeed.Row // by key; includes tombstones
	tombstones  int                      // number of tombstones in rows
	version     uint64                   // newest store version received
	compacted   uint64                   // changes up to this version are no longer available
	currentAt   boottime.Instant         // instant at which the rows were last known to be current
	changed     chan struct{}            // closed and replaced at each change
}

// NewCache returns an empty cache.
func NewCache(now func() boottime.Instant) *Cache {
	return &Cache{now: now, rows: map[string]tablefeed.Row{}, changed: make(chan struct{})}
}

// Apply applies an update, which may be empty. version is the newest version of the
// store, and currentAt the instant at which the rows were current.
func (c *Cache) Apply(u tablefeed.Update, version uint64, currentAt boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded || u.Restored {
		c.reset(version)
	}
	if u.Full {
		c.markUnlistedDeleted(u.Rows, version)
	}
	for _, r := range u.Rows {
		c.set(r)
	}
	c.version = max(c.version, version)
	c.currentAt = max(c.currentAt, currentAt)
	c.unavailable = false
	c.dropTombstones()
	if len(u.Rows) > 0 || u.Full {
		c.notify()
	}
}

// reset empties the cache for a full read at a version. Changes since an earlier version, or
// since one of an earlier epoch, are not available.
func (c *Cache) reset(version uint64) {
	c.loaded, c.compacted, c.tombstones = true, version, 0
	clear(c.rows)
}

// MarkUnavailable marks the store as unavailable and wakes pending calls of Changes. The next
// update ends that state.
func (c *Cache) MarkUnavailable(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = true
	c.notify()
}

func (c *Cache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// set stores a row unless a newer version of it is present.
func (c *Cache) set(r tablefeed.Row) {
	old, ok := c.rows[r.Key]
	if ok && old.Version > r.Version {
		return
	}
	if ok && old.Removed {
		c.tombstones--
	}
	if r.Removed {
		c.tombstones++
	}
	c.rows[r.Key] = r
}

// markUnlistedDeleted replaces the rows that a full read no longer lists by tombstones.
func (c *Cache) markUnlistedDeleted(rows []tablefeed.Row, version uint64) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
	}
	for key, r := range c.rows {
		if !listed[key] && !r.Removed {
			c.set(tablefeed.Row{Key: key, Version: max(version, r.Version), Removed: true})
		}
	}
}

// dropTombstones drops all tombstones once there are more than maxTombstones.
func (c *Cache) dropTombstones() {
	if c.tombstones <= maxTombstones {
		return
	}
	for key, r := range c.rows {
		if r.Removed {
			delete(c.rows, key)
		}
	}
	c.tombstones, c.compacted = 0, c.version
}

// Changes returns the rows changed after version since, oldest first. It blocks until
// there is at least one or wait has passed, and then returns an empty page. Page.Age is
// the time since the rows were last known to be current. It returns errStoreUnavailable
// while the store cannot be reached, errRestoredSince for a version of an earlier epoch, and
// tablefeed.ErrHistoryGone when the changes after since are no longer available.
func (c *Cache) Changes(ctx context.Context, since uint64, wait time.Duration) (tablefeed.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait <= 0; ; {
		page, changed, err := c.page(since)
		if err != nil || len(page.Rows) > 0 || expired {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return tablefeed.Page{}, ctx.Err()
		}
	}
}

func (c *Cache) page(since uint64) (tablefeed.Page, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.loaded || c.unavailable:
		return tablefeed.Page{}, nil, errStoreUnavailable
	case platform.EpochOf(since) < platform.EpochOf(c.version):
		return tablefeed.Page{}, nil, errRestoredSince
	case since < c.compacted:
		return tablefeed.Page{}, nil, tablefeed.ErrHistoryGone
	}
	page := tablefeed.Page{Version: c.version, Age: max(c.now().Sub(c.currentAt), 0)}
	for _, r := range c.rows {
		if r.Version > since {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b tablefeed.Row) int { return cmp.Compare(a.Version, b.Version) })
	return page, c.changed, nil
}
