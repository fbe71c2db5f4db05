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

// Feed is a table's feed that goes through another instance while there is a fit
// one: a source of its zone, or one that stands in for a store that failed.
type Feed struct {
	// Name of the table among instances.
	Name string
	// Store is the store's own feed.
	Store tablefeed.Feed
	// Group tells which instance to ask.
	Group *Group
	// Client asks it.
	Client *Client
	// MaxAge is the age of a source's proof from which its answer does not count.
	MaxAge time.Duration
	// StandInAge is the same while another instance stands in for a store that failed.
	StandInAge time.Duration
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
		return f.askStore(ctx, since, wait)
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
	if errors.Is(err, errStoreLost) && !f.Group.EndStandIn() {
		return tablefeed.Page{}, err
	}
	page, err = f.askStore(ctx, since, 0)
	page.AtOnce = true
	return page, err
}

// askStore asks the store. When that fails, the follower's next call goes to
// another instance, which the store may still answer.
func (f *Feed) askStore(ctx context.Context, since uint64, wait time.Duration) (tablefeed.Page, error) {
	page, err := f.Store.Changes(ctx, since, wait)
	stopped := errors.Is(ctx.Err(), context.Canceled)
	if err != nil && !stopped && !errors.Is(err, tablefeed.ErrHistoryGone) {
		f.Group.StoreFailed(err)
	}
	return page, err
}

// ask asks a source, in less than the wait.
func (f *Feed) ask(ctx context.Context, source Member, since uint64, wait time.Duration) (tablefeed.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, max(wait, answerTime))
	defer cancel()
	page, err := f.Client.changes(ctx, source, f.Name, since, max(wait-answerTime, 0))
	page.AtOnce = true
	if age := f.mostAge(); err == nil && page.Age > age {
		return tablefeed.Page{}, fmt.Errorf("the source's proof is %v old", page.Age)
	}
	return page, err
}

// mostAge is the age of a proof from which an answer does not count.
func (f *Feed) mostAge() time.Duration {
	if f.Group.StandsIn() {
		return f.StandInAge
	}
	return f.MaxAge
}
