package fanout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/stall"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

const (
	// LongPollWait is the long-poll wait for following a table through a source.
	LongPollWait = time.Second
	// responseMargin is the part of the wait that is reserved for the start of the
	// response. A source that has not answered by the end of the wait counts as failed.
	responseMargin = 400 * time.Millisecond
	// transferLimit bounds the time that the transfer of a response may take.
	transferLimit = 5 * time.Second
)

// Feed reads the changes of a table through another instance while one is available: a
// source of its zone, or a proxy after a failure of the store. It falls back to the
// store. All fields are required.
type Feed struct {
	// Name identifies the table in calls between instances.
	Name string
	// Store is the feed of the store itself.
	Store tablefeed.Feed
	// Group selects the instance to call.
	Group *Group
	// Client makes the calls.
	Client *Client
	// MaxAge is the maximum age of a source's data. Older answers are rejected.
	MaxAge time.Duration
	// ProxyMaxAge replaces MaxAge while the table is read through a proxy.
	ProxyMaxAge time.Duration
}

var _ tablefeed.Feed = (*Feed)(nil)

// Read implements tablefeed.Feed. It always reads the store.
func (f *Feed) Read(ctx context.Context, after string) (tablefeed.Page, error) {
	return f.Store.Read(ctx, after)
}

// Changes implements tablefeed.Feed. When the source fails, the store is read within
// the same call. A source that cannot reach the store is reported as a failure of the
// store itself, since entries may have expired in the meantime.
func (f *Feed) Changes(ctx context.Context, since uint64, wait time.Duration) (tablefeed.Page, error) {
	source, ok := f.Group.Source()
	if !ok {
		return f.fetchFromStore(ctx, since, wait)
	}
	page, err := f.fetchFromSource(ctx, source, since, wait)
	if err == nil {
		f.Group.ReportSuccess(source)
		return page, nil
	}
	if ctx.Err() != nil {
		return tablefeed.Page{}, err
	}
	if errors.Is(err, errRestoredSince) { // which is no failure of the source
		return tablefeed.Page{}, tablefeed.ErrHistoryGone
	}
	f.Group.ReportFailure(source, err)
	if errors.Is(err, errStoreUnavailable) && !f.Group.EndProxy() {
		return tablefeed.Page{}, err
	}
	page, err = f.fetchFromStore(ctx, since, 0)
	page.Immediate = true
	return page, err
}

// fetchFromStore reads the store. After a failure the next call goes through a proxy,
// since the store may still answer another instance.
func (f *Feed) fetchFromStore(ctx context.Context, since uint64, wait time.Duration) (tablefeed.Page, error) {
	page, err := f.Store.Changes(ctx, since, wait)
	stopped := errors.Is(context.Cause(ctx), context.Canceled)
	if err != nil && !stopped && !errors.Is(err, tablefeed.ErrHistoryGone) {
		f.Group.ReportStoreFailure(err)
	}
	return page, err
}

// fetchFromSource reads a source. It waits at most for wait or responseMargin, whichever
// is longer, for the answer to begin, and as long for each further part of it.
func (f *Feed) fetchFromSource(ctx context.Context, source Member, since uint64, wait time.Duration) (tablefeed.Page, error) {
	ctx, cancel := stall.WithTimeout(ctx, max(wait, responseMargin), transferLimit)
	defer cancel()
	page, err := f.Client.fetchChanges(ctx, source, f.Name, since, max(wait-responseMargin, 0))
	page.Immediate = true
	if age := f.ageLimit(); err == nil && page.Age > age {
		return tablefeed.Page{}, fmt.Errorf("source data is too old: %v", page.Age)
	}
	if err == nil && platform.EpochOf(page.Version) < platform.EpochOf(since) {
		return tablefeed.Page{}, fmt.Errorf("source data is of the store's epoch %d, before its last restore", platform.EpochOf(page.Version))
	}
	return page, err
}

// ageLimit returns the maximum age of the data of an answer.
func (f *Feed) ageLimit() time.Duration {
	if f.Group.UsesProxy() {
		return f.ProxyMaxAge
	}
	return f.MaxAge
}
