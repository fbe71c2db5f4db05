package edge

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// observeEpoch tells the tracker, which may be nil, of the epoch of rows that another instance
// has read.
func observeEpoch(t *storeepoch.Tracker, version uint64) {
	if epoch := platform.EpochOf(version); t != nil && epoch > 0 {
		_ = t.Observe(epoch, boottime.Now()) // the follower has discarded rows of an earlier one
	}
}

// storeRestored records that the store came back from an older copy of itself, and makes the
// tables be read again.
func (e *Edge) storeRestored(old, now storeepoch.Epoch) {
	e.events.Record(timeline.Event{Kind: timeline.StoreRestored, Detail: fmt.Sprintf("epoch=%d before=%d", now.Number, old.Number)})
	for _, f := range []*tablefeed.Follower{e.view.operators, e.view.servers, e.members.follower} {
		f.Restored()
	}
}
