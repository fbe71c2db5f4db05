package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/presence"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// limitedFeed fails after a number of calls.
type limitedFeed struct {
	tablefeed.Feed
	left atomic.Int64
}

var errFeedDown = errors.New("feed is down")

func (f *limitedFeed) Read(ctx context.Context, after string) (tablefeed.Page, error) {
	if f.left.Add(-1) < 0 {
		return tablefeed.Page{}, errFeedDown
	}
	return f.Feed.Read(ctx, after)
}

func (f *limitedFeed) Changes(ctx context.Context, since uint64, hold time.Duration) (tablefeed.Page, error) {
	if f.left.Add(-1) < 0 {
		return tablefeed.Page{}, errFeedDown
	}
	return f.Feed.Changes(ctx, since, hold)
}

// TestStartWhileStoreFailsWithoutRestore guards against an instance that has read the
// configuration and the servers of a store that was never restored, and serves nothing until the
// store answers again.
func TestStartWhileStoreFailsWithoutRestore(t *testing.T) {
	t.Parallel()
	for name, operatorCalls := range map[string]int64{"instances' rows only": 1 << 40, "store silent after the first answers": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestPlatform(t)
			w.canaryShare = 0.1 // without a bound on the age of keys
			w.addServer("a", 0)
			w.adjust = func(p *Platform) {
				p.Instances = &limitedFeed{Feed: p.Instances}
				operators := &limitedFeed{Feed: p.Operators}
				operators.left.Store(operatorCalls)
				p.Operators = operators
			}
			r := w.start("one")
			started := time.Now()
			eventually(t, 8*time.Second, "ready", func() bool { return r.readyStatus() == http.StatusOK })
			if took := time.Since(started); took > time.Second {
				t.Fatalf("ready after %v", took)
			}
		})
	}
}

// TestStartingInstanceHoldsNoOther guards against an instance that serves nothing since another one,
// which is not serving either, has written its row first.
func TestStartingInstanceHoldsNoOther(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.addServer("a", 0)
	w.store.Restore(0)
	w.adjust = func(p *Platform) { p.Instances = &limitedFeed{Feed: p.Instances} }
	one := w.start("one")
	stored := func() (row presence.Row, ok bool) {
		rows, err := w.store.Table("instances").Get(t.Context(), "one")
		return row, err == nil && rows[0].Version > 0 && json.Unmarshal(rows[0].Value, &row) == nil
	}
	eventually(t, 2*time.Second, "row written", func() bool { _, ok := stored(); return ok })
	w.adjust = nil
	two := w.start("two")
	eventually(t, time.Second, "the other one ready", func() bool { return two.readyStatus() == http.StatusOK })
	is.True(one.readyStatus() != http.StatusOK)
	eventually(t, restoreGrace, "ready", func() bool { return one.readyStatus() == http.StatusOK })
	eventually(t, 2*maxRepublishDelay, "row written again", func() bool { row, ok := stored(); return ok && row.Epoch != nil })
}

// TestStartOnCopyWhileStoreFails guards against an instance that never serves, or takes keys of a
// copy as fresh, since the store falls silent after its first answers.
func TestStartOnCopyWhileStoreFails(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.addServer("a", 0)
	w.store.Restore(0)
	w.adjust = func(p *Platform) {
		p.Instances = &limitedFeed{Feed: p.Instances}
		operators := &limitedFeed{Feed: p.Operators}
		operators.left.Store(1)
		p.Operators = operators
	}
	r := w.start("one")
	neverFor(t, restoreGrace, "serving", r.view.serving.Load)
	eventually(t, time.Second, "serving", r.view.serving.Load)
	is.New(t).True(r.view.keysValidFor() < 0)
}
