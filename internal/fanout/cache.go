package fanout

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// mostRemoved is the number of deleted rows that are remembered.
const mostRemoved = 4096

// errStoreLost reports that a source does not hear the store itself.
var errStoreLost = errors.New("the source has lost the store")

// Cache is a copy of one table that other instances follow. Its methods Took and
// Lost are a tablefeed.Follower's. It is safe for concurrent use.
type Cache struct {
	now func() boottime.Instant

	mu      sync.Mutex
	known   bool
	lost    bool
	rows    map[string]tablefeed.Row // deleted rows included
	removed int                      // deleted rows among them
	version uint64                   // newest version of the store that was heard of
	oldest  uint64                   // changes up to it are not known
	proved  boottime.Instant         // when the rows were current
	changed chan struct{}            // closed and replaced at each change
}

// NewCache returns an empty cache.
func NewCache(now func() boottime.Instant) *Cache {
	return &Cache{now: now, rows: map[string]tablefeed.Row{}, changed: make(chan struct{})}
}

// Took takes what an answer has brought, which may be nothing new.
func (c *Cache) Took(u tablefeed.Update, version uint64, proved boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		c.known, c.oldest = true, version
	}
	if u.Whole {
		c.removeUnlisted(u.Rows, version)
	}
	for _, r := range u.Rows {
		c.set(r)
	}
	c.version = max(c.version, version)
	c.proved = max(c.proved, proved)
	c.lost = false
	c.dropRemoved()
	if len(u.Rows) > 0 || u.Whole {
		c.wake()
	}
}

// Lost takes the loss of the store. Instances that wait are told.
func (c *Cache) Lost(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
	c.wake()
}

func (c *Cache) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// set takes a row unless a newer one is known.
func (c *Cache) set(r tablefeed.Row) {
	before, ok := c.rows[r.Key]
	if ok && before.Version > r.Version {
		return
	}
	if ok && before.Removed {
		c.removed--
	}
	if r.Removed {
		c.removed++
	}
	c.rows[r.Key] = r
}

// removeUnlisted marks the rows that a read of the whole table lacks.
func (c *Cache) removeUnlisted(rows []tablefeed.Row, version uint64) {
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

// dropRemoved forgets deleted rows when there are many.
func (c *Cache) dropRemoved() {
	if c.removed <= mostRemoved {
		return
	}
	for key, r := range c.rows {
		if r.Removed {
			delete(c.rows, key)
		}
	}
	c.removed, c.oldest = 0, c.version
}

// Changes returns the rows changed after a version as soon as there is one, or
// after the wait, with the age of the proof that there are no others.
func (c *Cache) Changes(ctx context.Context, since uint64, wait time.Duration) (tablefeed.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := wait <= 0; ; {
		page, changed, err := c.page(since)
		if err != nil || len(page.Rows) > 0 || over {
			return page, err
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

func (c *Cache) page(since uint64) (tablefeed.Page, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.known || c.lost:
		return tablefeed.Page{}, nil, errStoreLost
	case since < c.oldest:
		return tablefeed.Page{}, nil, tablefeed.ErrHistoryGone
	}
	page := tablefeed.Page{Version: c.version, Age: max(c.now().Sub(c.proved), 0)}
	for _, r := range c.rows {
		if r.Version > since {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b tablefeed.Row) int { return cmp.Compare(a.Version, b.Version) })
	return page, c.changed, nil
}
