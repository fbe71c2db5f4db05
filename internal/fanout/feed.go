package fanout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

const (
	// FollowWait is the wait with which a table is followed through a source.
	FollowWait = time.Second
	// answerTime is the part of the wait that is kept for the answer's way. A source
	// that has not answered when the wait is over is given up.
	answerTime = 400 * time.Millisecond
)

// Feed is a table's feed that goes through a source while there is a fit one.
type Feed struct {
	// Name of the table among instances.
	Name string
	// Store is the store's own feed.
	Store tablefeed.Feed
	// Group tells which source to ask.
	Group *Group
	// Client asks it.
	Client *Client
	// MaxAge is the age of a source's proof from which its answer does not count.
	MaxAge time.Duration
}

var _ tablefeed.Feed = (*Feed)(nil)

// Read implements tablefeed.Feed. It asks the store.
func (f *Feed) Read(ctx context.Context, after string) (tablefeed.Page, error) {
	return f.Store.Read(ctx, after)
}

// Changes implements tablefeed.Feed. When the source fails, the store is asked
// within the same call; when the source has lost the store, that is an error like
// one of the store's own, since entries may have lapsed meanwhile.
func (f *Feed) Changes(ctx context.Context, since uint64, wait time.Duration) (tablefeed.Page, error) {
	source, ok := f.Group.Source()
	if !ok {
		return f.Store.Changes(ctx, since, wait)
	}
	page, err := f.ask(ctx, source, since, wait)
	if err == nil {
		f.Group.Answered(source)
		return page, nil
	}
	if ctx.Err() != nil {
		return tablefeed.Page{}, err
	}
	f.Group.Failed(source, err)
	if errors.Is(err, errStoreLost) {
		return tablefeed.Page{}, err
	}
	page, err = f.Store.Changes(ctx, since, 0)
	page.AtOnce = true
	return page, err
}

// ask asks a source, in less than the wait.
func (f *Feed) ask(ctx context.Context, source Member, since uint64, wait time.Duration) (tablefeed.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, max(wait, answerTime))
	defer cancel()
	page, err := f.Client.changes(ctx, source, f.Name, since, max(wait-answerTime, 0))
	page.AtOnce = true
	if err == nil && page.Age > f.MaxAge {
		return tablefeed.Page{}, fmt.Errorf("the source's proof is %v old", page.Age)
	}
	return page, err
}
