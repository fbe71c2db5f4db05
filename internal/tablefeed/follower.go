// Package tablefeed follows a table of the platform's store through its change
// feed. A Follower passes the rows on to a callback and tracks the latest instant at
// which they are known to have been current.
package tablefeed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/stall"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// ErrHistoryGone reports that the feed no longer holds the changes since the
// requested version. All rows must be read again.
var ErrHistoryGone = errors.New("the feed no longer holds the changes since the requested version")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool // the row was deleted; Value is empty
}

// Page is one answer of a feed.
type Page struct {
	Rows    []Row
	Version uint64        // newest version of the store, see platform.NewVersion
	Clock   time.Duration // the store's monotonic clock when it answered
	// More is true if a read has further rows after the last one of the page.
	More bool
	// Age is the age of the rows at the time of the answer, if it comes from a
	// source instead of the store. Zero means that the rows were current.
	Age time.Duration
	// Immediate is true if the answer was returned immediately instead of after the
	// requested wait.
	Immediate bool
}

// Feed reads one table of the store. The calls of a Follower do not overlap.
type Feed interface {
	// Read returns one page of the rows after a key, in ascending order of their
	// keys. An empty key starts at the first row.
	Read(ctx context.Context, after string) (Page, error)
	// Changes returns the rows changed after a version, as soon as there is one,
	// or none after the wait. It returns ErrHistoryGone if the feed no longer
	// holds all changes since the version, and for a version of an earlier epoch.
	Changes(ctx context.Context, since uint64, wait time.Duration) (Page, error)
}

// Update holds the rows that a Follower received.
type Update struct {
	Rows []Row // changed rows, or all of them
	// Full is true if Rows are all rows of the table.
	Full bool
	// Restored is true for the first rows, which are all of the table, after the store was
	// restored from an older copy. Rows that were known before may be missing or older, and
	// are written again soon.
	Restored bool
	// Version is the newest version of the store at these rows, and Before the one at the
	// rows before. Before is zero for the first rows.
	Version, Before uint64
	// Gap is the time between the latest instants at which the rows were current
	// before and after failed calls. Zero means that no call has failed since the
	// previous update.
	Gap time.Duration
}

// Options configure a Follower.
type Options struct {
	// Name is the table's name in events.
	Name string
	// Feed reads the table. Required.
	Feed Feed
	// Wait returns how long the store may delay its answer while nothing changes.
	// It bounds the age of CurrentAsOf. If nil, the store answers immediately.
	Wait func() time.Duration
	// Pause returns the minimum interval between two calls. If nil, there is none.
	Pause func() time.Duration
	// CallTimeout is added to Wait to give the time that a call may take until its
	// answer begins, and between two parts of the answer.
	CallTimeout time.Duration
	// ReadTimeout is the same for one page of a read of all rows. Zero means
	// CallTimeout.
	ReadTimeout time.Duration
	// MaxRetryDelay returns the upper bound of the backoff after failed calls,
	// before jitter. If nil, it is 500 ms.
	MaxRetryDelay func() time.Duration
	// RetrySignal ends the backoff early when another table was answered. If nil,
	// nothing does.
	RetrySignal *RetrySignal
	// Apply receives the changed rows. It is also called without rows at the end
	// of an outage. Calls do not overlap. Required.
	Apply func(Update)
	// AnsweredAt receives the store's monotonic clock from each answer and the
	// instant at which the answer arrived. It returns the instant at which the
	// store sent it, or zero if that is unknown. If nil, it is unknown.
	AnsweredAt func(clock time.Duration, at boottime.Instant) boottime.Instant
	// OnAnswer receives each answer, even without changes, with the newest version
	// and the latest instant at which the rows were current. May be nil.
	OnAnswer func(u Update, version uint64, currentAsOf boottime.Instant)
	// OnFailure receives the error of the first of several failed calls in a row.
	// May be nil.
	OnFailure func(error)
	// Recorder receives the events of outages and recoveries. Required.
	Recorder timeline.Recorder
}

// Follower follows one table. Run must be called once; the other methods are safe for
// concurrent use.
type Follower struct {
	options Options
	wake    *wait.Signal // ends a pause

	mu          sync.Mutex
	currentAsOf boottime.Instant // see CurrentAsOf
	applied     uint64           // see Version
	restored    bool             // Restored was called since the last call began
	cancelCall  func()           // cancels the call in flight; nil if there is none

	// The following fields belong to the goroutine of Run.
	complete bool   // all rows were read, so that changes can be followed
	scan     *scan  // the unfinished read of all rows; nil if there is none
	version  uint64 // of the rows
	failing  bool   // the last call failed
	// reloads counts the last reloads that followed one another closely, reloadedAt is the last one.
	reloads    int
	reloadedAt boottime.Instant
}

// scan is an unfinished read of all rows. If the read of a page fails, only that page
// is read again, so that many instances that read at the same time all finish although
// the store rejects some of their calls.
type scan struct {
	rows        []Row
	version     uint64           // of the first page; later changes are read from the feed
	currentAsOf boottime.Instant // of the first page
	failed      bool             // a call failed before or between the pages
}

// after returns the key after which the next page starts.
func (r *scan) after() string {
	if r == nil || len(r.rows) == 0 {
		return ""
	}
	return r.rows[len(r.rows)-1].Key
}

// add appends the next page. It returns a new scan if r is nil.
func (r *scan) add(p Page, currentAsOf boottime.Instant) *scan {
	if r == nil {
		r = &scan{version: p.Version, currentAsOf: currentAsOf}
	}
	r.rows = append(r.rows, p.Rows...)
	return r
}

// New returns a follower that has no rows until Run is called.
func New(o Options) *Follower {
	if o.Pause == nil {
		o.Pause = zeroDuration
	}
	if o.Wait == nil {
		o.Wait = zeroDuration
	}
	if o.MaxRetryDelay == nil {
		o.MaxRetryDelay = func() time.Duration { return defaultMaxRetryDelay }
	}
	return &Follower{options: o, wake: wait.NewSignal()}
}

func zeroDuration() time.Duration { return 0 }

// CurrentAsOf returns the latest instant at which the rows are known to have been
// current. The zero Instant means that the table was not read yet.
func (f *Follower) CurrentAsOf() boottime.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentAsOf
}

// Version returns the newest version of the store that was applied. Zero means that the table was
// not read yet.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

// Restored must be called when the store's epoch has risen. It ends a pause or call of the
// follower, which then reads all rows again.
func (f *Follower) Restored() {
	f.mu.Lock()
	f.restored = true
	cancel := f.cancelCall
	f.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	f.wake.Notify()
}

// setCall records the function that cancels the next call, or nil at its end. It reports
// whether the store was restored since the last time.
func (f *Follower) setCall(cancel func()) (restored bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	restored = f.restored
	f.restored, f.cancelCall = false, cancel
	return restored
}

const (
	// maxRestoreJitter spreads the reads of many instances after a restore.
	maxRestoreJitter = 200 * time.Millisecond

	minRetryDelay = 100 * time.Millisecond
	retryFactor   = 4
	// transferLimit bounds the time that the transfer of an answer may take.
	transferLimit        = 6 * time.Second
	defaultMaxRetryDelay = 500 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	maxDelay := minRetryDelay
	for ctx.Err() == nil {
		started := boottime.Now()
		err := f.step(ctx)
		switch {
		case errors.Is(err, ErrHistoryGone):
			f.complete, f.scan = false, nil
			f.options.Recorder.Record(timeline.Event{Kind: timeline.TableReloaded, Subject: f.options.Name})
			f.pauseReloads(ctx, started)
		case err != nil && ctx.Err() != nil:
			return
		case err != nil:
			f.recordFailure(err)
			f.options.RetrySignal.Wait(ctx, minRetryDelay/2+rand.N(minRetryDelay), maxDelay/2+rand.N(maxDelay))
			maxDelay = min(retryFactor*maxDelay, f.options.MaxRetryDelay())
		default:
			maxDelay = minRetryDelay
			f.recordRecovery()
			f.options.RetrySignal.notify()
			if f.scan == nil {
				_, _ = f.wake.For(ctx, f.options.Pause()-boottime.Now().Sub(started), maxRestoreJitter)
			}
		}
	}
}

const (
	// quickReloads is the number of times in a row that all rows are read anew at once. More of them
	// within reloadInterval of each other wait for that long at least.
	quickReloads   = 2
	reloadInterval = time.Second
)

// pauseReloads waits if the rows are read anew again and again, since the store and the source do
// not agree on what is the newest version.
func (f *Follower) pauseReloads(ctx context.Context, now boottime.Instant) {
	if now.Sub(f.reloadedAt) >= reloadInterval {
		f.reloads = 0
	}
	f.reloads++
	f.reloadedAt = now
	if f.reloads > quickReloads {
		_ = wait.For(ctx, reloadInterval+rand.N(reloadInterval/2))
	}
}

// step makes one call and applies its answer.
func (f *Follower) step(ctx context.Context) error {
	ctx, cancelCall := context.WithCancel(ctx)
	defer cancelCall()
	if f.setCall(cancelCall) {
		f.complete, f.scan = false, nil
	}
	hold := time.Duration(0)
	if f.complete && !f.failing { // after a failure, an immediate answer shows the recovery soonest
		hold = f.options.Wait()
	}
	ctx, cancel := stall.WithTimeout(ctx, f.callTimeout(hold), transferLimit)
	defer cancel()
	sent := boottime.Now()
	page, err := f.call(ctx, hold)
	if f.setCall(nil) {
		return ErrHistoryGone
	}
	if err != nil {
		return err
	}
	if err := f.checkEpoch(page); err != nil {
		return err
	}
	f.apply(page, sent, hold)
	return nil
}

// errEarlierEpoch reports a page of an earlier epoch than the rows.
var errEarlierEpoch = errors.New("the answer is of the time before the store was restored from an older copy")

// checkEpoch discards pages of an earlier epoch. A read of all rows starts again if the store
// was restored between two of its pages.
func (f *Follower) checkEpoch(page Page) error {
	epoch := platform.EpochOf(page.Version)
	if epoch < platform.EpochOf(f.version) {
		return errEarlierEpoch
	}
	if f.scan != nil && epoch != platform.EpochOf(f.scan.version) {
		f.scan = nil
		return fmt.Errorf("the store was restored to epoch %d between two pages of a read", epoch)
	}
	return nil
}

// callTimeout returns the timeout of the next call, which the store may hold for hold.
func (f *Follower) callTimeout(hold time.Duration) time.Duration {
	if !f.complete && f.options.ReadTimeout > 0 {
		return f.options.ReadTimeout
	}
	return hold + f.options.CallTimeout
}

func (f *Follower) call(ctx context.Context, hold time.Duration) (Page, error) {
	if !f.complete {
		return f.options.Feed.Read(ctx, f.scan.after())
	}
	return f.options.Feed.Changes(ctx, f.version, hold)
}

// apply applies an answer to a call that was sent at the given instant.
func (f *Follower) apply(page Page, sent boottime.Instant, hold time.Duration) {
	currentAsOf := f.validAsOf(page, sent, boottime.Now(), hold)
	whole, failed := !f.complete, f.failing
	if whole {
		f.scan = f.scan.add(page, currentAsOf)
		f.scan.failed = f.scan.failed || f.failing
		if page.More && len(page.Rows) > 0 {
			return
		}
		page.Rows, page.Version, currentAsOf = f.scan.rows, f.scan.version, f.scan.currentAsOf
		failed, f.scan = f.scan.failed, nil
	}
	f.complete = true
	restored := platform.EpochOf(page.Version) > platform.EpochOf(f.version) && f.version > 0
	before := f.version
	f.version = max(f.version, page.Version)
	gap := time.Duration(0)
	if last := f.CurrentAsOf(); failed && !last.IsZero() {
		gap = currentAsOf.Sub(last)
	}
	u := Update{Rows: page.Rows, Full: whole, Restored: restored, Version: f.version, Before: before, Gap: gap}
	if whole || restored || len(page.Rows) > 0 || gap > 0 {
		f.options.Apply(u)
	}
	if f.options.OnAnswer != nil {
		f.options.OnAnswer(u, f.version, currentAsOf)
	}
	f.mu.Lock()
	f.currentAsOf = max(f.currentAsOf, currentAsOf)
	f.applied = f.version
	f.mu.Unlock()
}

// validAsOf returns the latest instant at which the rows of an answer are known to have
// been current. This is when the store sent the answer, if known, or else when the call
// was sent. If an answer without changes was held for the whole wait, it is at least
// the end of the wait. The age that the answer states is subtracted.
func (f *Follower) validAsOf(page Page, sent, arrived boottime.Instant, hold time.Duration) boottime.Instant {
	currentAsOf := sent
	if f.options.AnsweredAt != nil {
		currentAsOf = max(currentAsOf, min(f.options.AnsweredAt(page.Clock, arrived), arrived))
	}
	if f.complete && !page.Immediate && len(page.Rows) == 0 && arrived.Sub(sent) >= hold {
		currentAsOf = max(currentAsOf, sent.Add(hold))
	}
	return currentAsOf.Add(-page.Age)
}

func (f *Follower) recordFailure(err error) {
	if f.failing {
		return
	}
	f.failing = true
	f.options.Recorder.Record(timeline.Event{Kind: timeline.TableUnavailable, Subject: f.options.Name, Detail: err.Error()})
	if f.options.OnFailure != nil {
		f.options.OnFailure(err)
	}
}

func (f *Follower) recordRecovery() {
	if !f.failing {
		return
	}
	f.failing = false
	f.options.Recorder.Record(timeline.Event{Kind: timeline.TableRecovered, Subject: f.options.Name, Version: f.version})
}
