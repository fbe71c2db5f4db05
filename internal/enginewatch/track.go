package enginewatch

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// track is what an instance knows of one engine.
type track struct {
	server  watched
	id      serverID
	shared  bool          // its id names no other server, so digests may hold it
	peers   []string      // other instances that route to it
	better  []string      // those of them that read it before this instance does
	heard   time.Time     // last digest of it from one of better, or when the wait began
	every   time.Duration // between two records of its first reader
	next    time.Time     // next read
	reading bool          // a read is under way
	active  bool          // this instance reads it
	spread  bool          // its reads were given a phase of their own
	pending bool          // the newest report was read here and not sent yet

	known    bool // a report was taken
	epoch    uint64
	stamp    int64 // of the newest report, by the engine's clock
	measured time.Time
	report   engineapi.LoadReport

	cache cacheTrack
}

// watched is one engine of the platform's list.
type watched struct {
	name, address string
}

// interval returns the time to the next read. The first one gives the reads of
// each engine a phase of their own.
func (t *track) interval(every time.Duration) time.Duration {
	if t.spread {
		return every
	}
	t.spread = true
	phase := every * time.Duration(t.id>>16) >> 16
	return max(phase, every/8)
}

// newer reports whether a report with the epoch and stamp is newer than the
// newest one.
func (t *track) newer(epoch uint64, stamp int64) bool {
	if !t.known || epoch != t.epoch {
		return !t.known || epoch > t.epoch
	}
	return stamp > t.stamp
}

// hear notes a sign of life of a reader before this instance in the order.
func (t *track) hear(now time.Time, from string) {
	if slices.Contains(t.better, from) {
		t.heard = now
	}
}

// newest reports whether a report is the newest one or newer.
func (t *track) newest(epoch uint64, stamp int64) bool {
	return t.newer(epoch, stamp) || epoch == t.epoch && stamp == t.stamp
}

// take stores a newer report that was measured at a local time and returns it
// with its stamp moved to the local clock. It never moves back.
func (t *track) take(r engineapi.LoadReport, measured time.Time) engineapi.LoadReport {
	if t.known && measured.Before(t.measured) {
		measured = t.measured
	}
	t.known = true
	t.epoch, t.stamp = r.Epoch, r.UnixMillis
	t.measured = measured
	t.report = r
	r.UnixMillis = measured.UnixMilli()
	return r
}

// record returns the newest report for a digest.
func (t *track) record(now time.Time) loadRecord {
	return loadRecord{
		ID:      t.id,
		Epoch:   t.epoch,
		Stamp:   t.stamp,
		Age:     max(now.Sub(t.measured), 0),
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
