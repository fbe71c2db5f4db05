// Package ledger keeps idempotency records in the table service, so that a
// non-idempotent request is dispatched at most once, through whichever
// instances its duplicates arrive, and its answer can be had again.
//
// The record of (organisation, idempotency key) is inserted by a transaction
// that demands its absence. Only the attempt whose id the record bears may be
// dispatched. A call that the table service does not answer is resolved by
// reading the record back, never by assuming either outcome.
package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Retention is how long a record is kept. A duplicate that arrives later runs.
const Retention = 48 * time.Hour

// MaxSendWindow is the longest time from an insert to the first byte sent. It
// is far below Retention, so that an instance which was paused in between never
// sends after its record has expired.
const MaxSendWindow = time.Hour

const (
	defaultInlineBytes    = 32 << 10
	defaultMaxAnswerBytes = 8 << 20
	defaultBeginTimeout   = 2 * time.Second
	defaultWaitLimit      = 30 * time.Second
	defaultSettleTimeout  = 2 * time.Second
	defaultSettleLimit    = 10 * time.Minute
	defaultLostAfter      = 10 * time.Second
)

// Options configure a Ledger. Zero fields take the defaults.
type Options struct {
	// Recorder takes the time line's events. Nil: none.
	Recorder timeline.Recorder
	// Logger takes warnings. Nil: none.
	Logger hclog.Logger
	// InlineBytes is the largest answer body kept in the record itself; larger
	// ones go to the object store. Default 32 KiB.
	InlineBytes int
	// MaxAnswerBytes is the largest answer body kept at all. Default 8 MiB.
	MaxAnswerBytes int
	// BeginTimeout bounds the insert of a record, with reading it back. Default 2s.
	BeginTimeout time.Duration
	// WaitLimit bounds a duplicate's wait for the stored answer. Default 30s.
	WaitLimit time.Duration
	// SettleTimeout bounds the time that Complete, Release and Lost wait for the
	// table service before they go on in the background. Default 2s.
	SettleTimeout time.Duration
	// SettleLimit bounds the retries in the background. Default 10m.
	SettleLimit time.Duration
	// LostAfter is the time after its deadline at which a record without an
	// answer counts as lost. It covers the difference between clocks. Default 10s.
	LostAfter time.Duration
}

// Ledger inserts and settles records. It is safe for concurrent use.
type Ledger struct {
	table   platform.Table
	objects platform.Objects
	options Options

	ctx        context.Context // ends the work in the background
	cancel     context.CancelFunc
	background sync.WaitGroup // answers that are still to be stored
	forgetting sync.WaitGroup
}

// New returns a ledger over the platform's stores.
func New(table platform.Table, objects platform.Objects, o Options) *Ledger {
	l := &Ledger{table: table, objects: objects, options: o.withDefaults()}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Close waits for answers that are still to be stored until ctx ends; then it
// gives them up.
func (l *Ledger) Close(ctx context.Context) {
	stored := make(chan struct{})
	go func() {
		l.background.Wait()
		close(stored)
	}()
	select {
	case <-stored:
	case <-ctx.Done():
	}
	l.cancel()
	<-stored
	l.forgetting.Wait()
}

func (o Options) withDefaults() Options {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.InlineBytes == 0 {
		o.InlineBytes = defaultInlineBytes
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	o.BeginTimeout = orDefault(o.BeginTimeout, defaultBeginTimeout)
	o.WaitLimit = orDefault(o.WaitLimit, defaultWaitLimit)
	o.SettleTimeout = orDefault(o.SettleTimeout, defaultSettleTimeout)
	o.SettleLimit = orDefault(o.SettleLimit, defaultSettleLimit)
	o.LostAfter = orDefault(o.LostAfter, defaultLostAfter)
	return o
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
