package fanout

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// countedStore counts the full reads of an instance.
type countedStore struct{ reads atomic.Int64 }

func (s *countedStore) Read(context.Context, string) (tablefeed.Page, error) {
	s.reads.Add(1)
	return tablefeed.Page{Version: 7}, nil
}

func (s *countedStore) Changes(ctx context.Context, since uint64, hold time.Duration) (tablefeed.Page, error) {
	time.Sleep(min(hold, time.Second))
	return tablefeed.Page{Version: 7}, ctx.Err()
}

// TestSourceOfLaterEpochThanStore guards against a follower that reads all rows of the store
// without a pause, since its source refuses the epoch that the store states.
func TestSourceOfLaterEpochThanStore(t *testing.T) {
	p := newPair(t)
	p.cache.Apply(tablefeed.Update{Full: true, Restored: true}, version(t, 9, 3), p.clock.now())
	s := &countedStore{}
	p.feed.Store = s
	f := tablefeed.New(tablefeed.Options{
		Name: "servers", Feed: p.feed, Wait: func() time.Duration { return time.Second }, CallTimeout: time.Second,
		Apply: func(tablefeed.Update) {}, Recorder: timeline.Discard,
	})
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	f.Run(ctx)
	if n := s.reads.Load(); n > 10 {
		t.Fatalf("%d full reads in 2 s", n)
	}
}
