package edge

import (
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/presence"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	// restoreGrace is the time after the first answer of a restored store within which
	// operators and backend servers write again what the copy lacks.
	restoreGrace = 2500 * time.Millisecond
	// settleMargin is the time from the end of the grace time to the answer that ends it.
	settleMargin = 100 * time.Millisecond
	// maxStartHold bounds the hold of an instance that has just started while the store does not
	// answer.
	maxStartHold = restoreGrace + feedTimeout
	// maxRepublishDelay bounds the random delay after which an instance writes its row again
	// to a restored store. It spreads the writes of all instances.
	maxRepublishDelay = time.Second
)

// settling is the time after a restore of the store in which the operators' rows may be missing
// or older than those that this instance had read. It is over once rows were read that were
// current at its end; until then this instance can't know what was written again. It is immutable.
type settling struct {
	until boottime.Instant
	asOf  boottime.Instant // latest instant at which the rows of before the restore were current
}

// over reports whether rows that were current at an instant show that the time is over. s may be
// nil.
func (s *settling) over(read boottime.Instant) bool { return s == nil || !read.Before(s.until) }

// currentAsOf returns the latest instant at which the operators' rows are known to have been
// current, where read is the one of the last answer. s may be nil.
func (s *settling) currentAsOf(read boottime.Instant) boottime.Instant {
	if s.over(read) {
		return read
	}
	return min(s.asOf, read)
}

// begin returns the settling that starts with a restore. s is the one that is not over yet, or nil.
func (s *settling) begin(now, read boottime.Instant) *settling {
	return &settling{until: now.Add(restoreGrace), asOf: s.currentAsOf(read)}
}

// currentEpoch returns the store's epoch. t may be nil.
func currentEpoch(t *storeepoch.Tracker) storeepoch.Epoch {
	if t == nil {
		return storeepoch.Epoch{}
	}
	return t.Current()
}

// epochAge returns the time since this instance learned of the store's epoch. The result is false
// if the store is never restored.
func epochAge(t *storeepoch.Tracker) (time.Duration, bool) {
	epoch := currentEpoch(t)
	return boottime.Now().Sub(epoch.SeenAt), epoch.Stated
}

// observeEpoch tells the tracker, which may be nil, of the epoch of rows that were read. That of
// another instance's rows was confirmed there.
func observeEpoch(t *storeepoch.Tracker, version uint64) {
	if epoch := platform.EpochOf(version); t != nil && epoch > 0 {
		_ = t.Adopt(epoch, boottime.Now()) // the follower has discarded rows of an earlier one
	}
}

// startHold keeps an instance that has just started from acting on the operators' rows of a store
// that was restored shortly before.
type startHold struct {
	readAt   boottime.Instant // when the operators' rows were read first; zero means not yet
	settling *settling        // of rows that may be of a copy
}

// beginHold starts the hold with the first operators' rows. The caller must hold v.mu.
func (v *storeView) beginHold(now boottime.Instant) {
	if !v.start.readAt.IsZero() {
		return
	}
	v.start = startHold{readAt: now, settling: &settling{until: now.Add(restoreGrace)}}
	v.settling.CompareAndSwap(nil, v.start.settling)
}

// release ends the start hold if it is over. An instance that the store leaves after the first
// answers goes on as in any outage, but doesn't take keys as fresh that may be of a copy. The caller
// must hold v.mu.
func (v *storeView) release() {
	table := v.table.Load()
	if v.serving.Load() || table == nil {
		return
	}
	switch {
	case v.mayServe(table.Version, v.start.settling.over(v.operators.CurrentAsOf())):
		v.settling.CompareAndSwap(v.start.settling, nil)
	case boottime.Now().Sub(v.start.readAt) < maxStartHold || !v.mayServe(table.Version, true):
		return
	}
	v.serving.Store(true)
	if v.epochWithheld {
		v.rowOutdated.Notify()
	}
}

// mayServe reports whether the operators' rows may be acted on. config is the version of their
// configuration, and waited is true once the time in which operators write again is over. If the
// store was never restored, instances' rows that were not read hold nothing.
func (v *storeView) mayServe(config uint64, waited bool) bool {
	store, epoch := currentEpoch(v.platform.Epochs), v.epoch.Load()
	if !store.Stated {
		return true
	}
	rows, read := v.instances()
	if !read {
		return waited || store.Number == 0 && epoch == 0
	}
	return presence.MayServe(rows, epoch, config, waited)
}

// recordRestore records what this instance makes of a restored store. The caller must hold v.mu.
func (v *storeView) recordRestore(u tablefeed.Update) {
	config := uint64(0)
	if t := v.table.Load(); t != nil {
		config = t.Version
	}
	v.recorder.Record(timeline.Event{
		Kind: timeline.StoreRestored, Version: platform.NumberOf(u.Version),
		Detail: fmt.Sprintf("epoch=%d before=%d newest_before=%d dropped: positions in the tables, held duties; kept for %v: configuration=%d zones=%q servers=%d; written again: this instance's row, usage counts",
			platform.EpochOf(u.Version), platform.EpochOf(u.Before), platform.NumberOf(u.Before), restoreGrace, config, v.zones.names(), len(v.directory.Servers())),
	})
}

// releaseNow ends the start hold if the instances' rows show that it is over.
func (v *storeView) releaseNow() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.release()
}

// setEpoch sets the fields of this instance's row that tell others how far they may rely on the
// operators' rows. Before it serves, this instance knows no more than others that start.
func (v *storeView) setEpoch(row *presence.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	table := v.table.Load()
	if v.epochWithheld = !v.serving.Load(); v.epochWithheld {
		return
	}
	if table == nil || !currentEpoch(v.platform.Epochs).Stated {
		return
	}
	epoch := v.epoch.Load()
	row.Epoch, row.Config, row.Settled = &epoch, table.Version, v.settled()
}

// storeRestored gives up what is held in the store, reads the tables again, and makes the counts of
// usage be written again. This instance's row follows once the operators' rows were read.
func (e *Edge) storeRestored(_, _ storeepoch.Epoch) {
	e.duties.leases.EpochChanged()
	e.duties.saver.Restored()
	for _, f := range []*tablefeed.Follower{e.view.operators, e.view.servers, e.members.follower} {
		f.Restored()
	}
}

// logDiscards logs that answers of the store were discarded because of their epoch.
func (e *Edge) logDiscards(d storeepoch.Discards) {
	e.logger.Warn("answers of the store were discarded because of its epoch", "count", d.Count, "reason", d.Last.Reason, "epoch", d.Last.Epoch, "known", d.Last.Known)
}
