// Package tablefeed follows a table of the platform's store through its feed of
// changes. A Follower keeps the table's rows, and the time up to which they are
// proved to be current.
package tablefeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// ErrHistoryGone reports that the feed no longer reaches back to the version
// that was asked for. All rows have to be read anew.
var ErrHistoryGone = errors.New("the history of changes is no longer available")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool // the row was deleted; Value is empty
}

// Page is an answer of the store.
type Page struct {
	Rows    []Row
	Version uint64        // newest version of the store
	Clock   time.Duration // the store's steady clock when it answered
	// More is true when a read has rows after the last one of the page.
	More bool
	// Age is how long before the answer the rows were proved to be current, when it
	// does not come from the store itself. Zero: they were then.
	Age time.Duration
	// AtOnce is true when the answer was not held back for the wait of the call.
	AtOnce bool
}

// Feed reads one table.
type Feed interface {
	// Read returns the rows after a key, as many as one call gives, with keys in
	// ascending order. An empty key starts at the first row.
	Read(ctx context.Context, after string) (Page, error)
	// Changes returns the rows changed after a version, as soon as there is one or
	// after the wait. It returns ErrHistoryGone when they are no longer known.
	Changes(ctx context.Context, since uint64, wait time.Duration) (Page, error)
}

// Update tells what a Follower has learnt.
type Update struct {
	Rows []Row // changed rows, or all of them
	// Whole is true when Rows are all rows of the table.
	Whole bool
	// Gap is how long the store had not been heard of when calls had failed. Zero:
	// the last call was answered.
	Gap time.Duration
}

// Options configure a Follower.
type Options struct {
	// Name of the table, for the log.
	Name string
	// Feed reads the table. Required.
	Feed Feed
	// Wait returns how long the store may hold a call back without a change. It
	// bounds the age of the proof. Nil: it answers at once.
	Wait func() time.Duration
	// Pause returns the least time between two calls. Nil: none.
	Pause func() time.Duration
	// Patience is the time beyond Wait after which a call is given up.
	Patience time.Duration
	// ReadPatience is the time after which the read of one page of all rows is given
	// up. Zero: Patience.
	ReadPatience time.Duration
	// RetryMost bounds the wait before a call after failed ones. Nil: 500 ms.
	RetryMost func() time.Duration
	// Contact ends that wait when another table was answered. Nil: nothing does.
	Contact *Contact
	// Apply takes what was learnt; calls do not overlap. Required.
	Apply func(Update)
	// Heard takes the store's steady clock with each answer and the instant at
	// which that arrived. It returns the instant at which the answer was made. Nil:
	// unknown.
	Heard func(clock time.Duration, at boottime.Instant) boottime.Instant
	// Took hears of each answer, changes or none, with the newest version and the
	// instant at which the rows were current. May be nil.
	Took func(u Update, version uint64, proved boottime.Instant)
	// Lost hears of the first failed call in a row. May be nil.
	Lost func(error)
	// Recorder hears of contact lost and regained. Required.
	Recorder timeline.Recorder
}

// Follower follows one table. It is safe for concurrent use.
type Follower struct {
	options Options

	mu     sync.Mutex
	proved boottime.Instant // the rows were current then; zero: never

	known   bool     // all rows were read once
	reading *reading // pages of all rows read so far; nil: none
	version uint64   // of the rows; belongs to the goroutine of Run
	failing bool
}

// reading is a read of all rows that has not reached the last page. A page that
// fails is asked for again; those before it are kept, so that many instances which
// read at once come to an end although the store turns some of their calls away.
type reading struct {
	rows    []Row
	version uint64           // of the first page; changes after it follow from the feed
	proved  boottime.Instant // when the first page was made
	failed  bool             // calls had failed before or between the pages
}

// after is the key from which the next page starts.
func (r *reading) after() string {
	if r == nil || len(r.rows) == 0 {
		return ""
	}
	return r.rows[len(r.rows)-1].Key
}

// add takes the next page.
func (r *reading) add(p Page, proved boottime.Instant) *reading {
	if r == nil {
		r = &reading{version: p.Version, proved: proved}
	}
	r.rows = append(r.rows, p.Rows...)
	return r
}

// New returns a follower that knows nothing until Run.
func New(o Options) *Follower {
	if o.Pause == nil {
		o.Pause = noTime
	}
	if o.Wait == nil {
		o.Wait = noTime
	}
	if o.RetryMost == nil {
		o.RetryMost = func() time.Duration { return defaultRetryMost }
	}
	return &Follower{options: o}
}

func noTime() time.Duration { return 0 }

// Proved returns the latest instant for which the rows are known to be current.
// The zero Instant means that none were read.
func (f *Follower) Proved() boottime.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proved
}

const (
	retryLeast       = 100 * time.Millisecond
	retryFactor      = 4
	defaultRetryMost = 500 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := retryLeast
	for ctx.Err() == nil {
		started := boottime.Now()
		err := f.step(ctx)
		switch {
		case errors.Is(err, ErrHistoryGone):
			f.known, f.reading = false, nil
			f.options.Recorder.Record(timeline.Event{Kind: timeline.TableReread, Subject: f.options.Name})
			continue
		case err != nil && ctx.Err() != nil:
			return
		case err != nil:
			f.lost(err)
			f.options.Contact.Wait(ctx, retryLeast/2+rand.N(retryLeast), retry/2+rand.N(retry))
			retry = min(retryFactor*retry, f.options.RetryMost())
		default:
			retry = retryLeast
			f.regained()
			f.options.Contact.note()
			if f.reading == nil {
				_ = wait.For(ctx, f.options.Pause()-boottime.Now().Sub(started))
			}
		}
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	hold := time.Duration(0)
	if f.known && !f.failing { // after a failure an answer at once tells soonest
		hold = f.options.Wait()
	}
	ctx, cancel := context.WithTimeout(ctx, f.patience(hold))
	defer cancel()
	sent := boottime.Now()
	page, err := f.call(ctx, hold)
	if err != nil {
		return err
	}
	f.take(page, sent, hold)
	return nil
}

// patience is the time after which the next call is given up.
func (f *Follower) patience(hold time.Duration) time.Duration {
	if !f.known && f.options.ReadPatience > 0 {
		return f.options.ReadPatience
	}
	return hold + f.options.Patience
}

func (f *Follower) call(ctx context.Context, hold time.Duration) (Page, error) {
	if !f.known {
		return f.options.Feed.Read(ctx, f.reading.after())
	}
	return f.options.Feed.Changes(ctx, f.version, hold)
}

// take applies an answer.
func (f *Follower) take(page Page, sent boottime.Instant, hold time.Duration) {
	proof := f.proof(page, sent, boottime.Now(), hold)
	whole, failed := !f.known, f.failing
	if whole {
		f.reading = f.reading.add(page, proof)
		f.reading.failed = f.reading.failed || f.failing
		if page.More && len(page.Rows) > 0 {
			return
		}
		page.Rows, page.Version, proof = f.reading.rows, f.reading.version, f.reading.proved
		failed, f.reading = f.reading.failed, nil
	}
	f.known = true
	f.version = max(f.version, page.Version)
	gap := time.Duration(0)
	if before := f.Proved(); failed && !before.IsZero() {
		gap = proof.Sub(before)
	}
	u := Update{Rows: page.Rows, Whole: whole, Gap: gap}
	if whole || len(page.Rows) > 0 || gap > 0 {
		f.options.Apply(u)
	}
	if f.options.Took != nil {
		f.options.Took(u, f.version, proof)
	}
	f.mu.Lock()
	f.proved = max(f.proved, proof)
	f.mu.Unlock()
}

// proof is the latest instant for which an answer is known to be current: when it
// was made, or else when the call was sent, or when the wait was over for an
// empty answer that was held back so long; earlier by the age that the answer states.
func (f *Follower) proof(page Page, sent, heard boottime.Instant, hold time.Duration) boottime.Instant {
	proof := sent
	if f.options.Heard != nil {
		proof = max(proof, min(f.options.Heard(page.Clock, heard), heard))
	}
	if f.known && !page.AtOnce && len(page.Rows) == 0 && heard.Sub(sent) >= hold {
		proof = max(proof, sent.Add(hold))
	}
	return proof.Add(-page.Age)
}

func (f *Follower) lost(err error) {
	if f.failing {
		return
	}
	f.failing = true
	f.options.Recorder.Record(timeline.Event{Kind: timeline.TableLost, Subject: f.options.Name, Detail: err.Error()})
	if f.options.Lost != nil {
		f.options.Lost(err)
	}
}

func (f *Follower) regained() {
	if !f.failing {
		return
	}
	f.failing = false
	f.options.Recorder.Record(timeline.Event{Kind: timeline.TableRegained, Subject: f.options.Name, Version: f.version})
}
