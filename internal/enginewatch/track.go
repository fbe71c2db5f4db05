package enginewatch

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// track is the state of one engine as known to this instance.
type track struct {
	server         watched
	id             serverID
	shared         bool          // no other server has the same id, so the engine may appear in digests
	peers          []string      // other instances that route to it
	predecessors   []string      // peers before this instance in reader order
	lastSeen       time.Time     // last digest from one of predecessors, initially when the track was created
	recordInterval time.Duration // longest time between two records of its first reader
	nextRead       time.Time     // time of the next read
	readInFlight   bool          // a read is in flight
	active         bool          // this instance reads it
	phased         bool          // its reads have been offset by a phase
	pending        bool          // the newest report was read by this instance and not sent yet

	hasReport  bool // a report was stored
	epoch      uint64
	stamp      int64 // of the newest report, by the engine's clock
	measuredAt time.Time
	report     engineapi.LoadReport

	cache cacheTrack
}

// watched is one engine of the platform's list.
type watched struct {
	name, address string
}

// interval returns the time to the next read. The first interval is derived
// from the engine's id and spreads the reads of different engines over time.
func (t *track) interval(every time.Duration) time.Duration {
	if t.phased {
		return every
	}
	t.phased = true
	phase := every * time.Duration(t.id>>16) >> 16
	return max(phase, every/8)
}

// newer reports whether a report with the epoch and timestamp is newer than the
// stored one.
func (t *track) newer(epoch uint64, stamp int64) bool {
	if !t.hasReport || epoch != t.epoch {
		return !t.hasReport || epoch > t.epoch
	}
	return stamp > t.stamp
}

// observeReader records a digest from a reader that precedes this instance in
// reader order.
func (t *track) observeReader(now time.Time, from string) {
	if slices.Contains(t.predecessors, from) {
		t.lastSeen = now
	}
}

// atLeastAsNew reports whether a report is as new as the stored one or newer.
func (t *track) atLeastAsNew(epoch uint64, stamp int64) bool {
	return t.newer(epoch, stamp) || epoch == t.epoch && stamp == t.stamp
}

// store stores a newer report that was measured at a local time, and returns it
// with its timestamp converted to the local clock. That timestamp never
// decreases.
func (t *track) store(r engineapi.LoadReport, measured time.Time) engineapi.LoadReport {
	if t.hasReport && measured.Before(t.measuredAt) {
		measured = t.measuredAt
	}
	t.hasReport = true
	t.epoch, t.stamp = r.Epoch, r.UnixMillis
	t.measuredAt = measured
	t.report = r
	r.UnixMillis = measured.UnixMilli()
	return r
}

// record returns the newest report as a record of a digest.
func (t *track) record(now time.Time) loadRecord {
	return loadRecord{
		ID:      t.id,
		Epoch:   t.epoch,
		Stamp:   t.stamp,
		Age:     max(now.Sub(t.measuredAt), 0),
		Running: t.report.Running,
		Waiting: t.report.Waiting,
		Use:     t.report.CacheUse,
		Tokens:  t.report.TokensPerSec,
		Cold:    t.report.ColdRemaining,
	}
}

func (r *loadRecord) report() engineapi.LoadReport {
	return engineapi.LoadReport{
		Epoch:         r.Epoch,
		Running:       r.Running,
		Waiting:       r.Waiting,
		CacheUse:      r.Use,
		TokensPerSec:  r.Tokens,
		UnixMillis:    r.Stamp,
		ColdRemaining: r.Cold,
	}
}
