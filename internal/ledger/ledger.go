// Package ledger stores idempotency records in the table service. They ensure
// that a non-idempotent request is dispatched at most once, even if duplicates
// arrive at different instances, and that duplicates receive the stored answer.
//
// The record of (organisation, idempotency key) is inserted by a transaction
// that requires its absence. Only the attempt whose id the record stores may be
// dispatched. If the table service does not answer a call, the outcome is
// determined by reading the record back; neither outcome is ever assumed.
package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Retention is how long a record is kept. A duplicate that arrives later is run
// again.
const Retention = 48 * time.Hour

// MaxSendWindow bounds the time from the insert of a record to the first byte
// sent. It is far below Retention, so that an instance that was paused in
// between never sends after its record has expired.
const MaxSendWindow = time.Hour

const (
	defaultInlineBytes        = 32 << 10
	defaultMaxAnswerBytes     = 8 << 20
	defaultBeginTimeout       = 2 * time.Second
	defaultMaxWait            = 30 * time.Second
	defaultSettleTimeout      = 2 * time.Second
	defaultSettleRetryTimeout = 10 * time.Minute
	defaultLostAfter          = 10 * time.Second
)

// Options configure a Ledger. Zero fields take the defaults.
type Options struct {
	// Recorder receives the timeline events. If nil, they are discarded.
	Recorder timeline.Recorder
	// Logger receives errors and debug messages. If nil, they are discarded.
	Logger hclog.Logger
	// InlineBytes is the largest answer body stored in the record itself;
	// larger ones are stored in the object store. Zero means 32 KiB.
	InlineBytes int
	// MaxAnswerBytes is the largest answer body that is stored. Zero means
	// 8 MiB.
	MaxAnswerBytes int
	// BeginTimeout bounds the insert of a record, including reading it back.
	// Zero means 2 s.
	BeginTimeout time.Duration
	// MaxWait bounds a duplicate's wait for the stored answer. Zero means 30 s.
	MaxWait time.Duration
	// SettleTimeout bounds how long Complete, Release and Lost wait for the
	// table service before they continue in the background. Zero means 2 s.
	SettleTimeout time.Duration
	// SettleRetryTimeout bounds the retries in the background. Zero means 10 min.
	SettleRetryTimeout time.Duration
	// LostAfter is the time after its deadline at which a record without an
	// answer counts as lost. It allows for clock skew between instances. Zero
	// means 10 s.
	LostAfter time.Duration
}

// Ledger inserts and settles idempotency records. It is safe for concurrent
// use.
type Ledger struct {
	table   platform.Table
	objects platform.Objects
	options Options

	ctx        context.Context // cancelled to stop background work
	cancel     context.CancelFunc
	background sync.WaitGroup // pending writes of outcomes
	cleanups   sync.WaitGroup // removals of late inserts
}

// New returns a ledger over the platform's table service and object store.
func New(table platform.Table, objects platform.Objects, o Options) *Ledger {
	l := &Ledger{table: table, objects: objects, options: o.withDefaults()}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Close waits for pending writes until ctx ends and then cancels them. Pending
// removals of late inserts are cancelled.
func (l *Ledger) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	l.cancel()
	<-done
	l.cleanups.Wait()
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
	o.MaxWait = orDefault(o.MaxWait, defaultMaxWait)
	o.SettleTimeout = orDefault(o.SettleTimeout, defaultSettleTimeout)
	o.SettleRetryTimeout = orDefault(o.SettleRetryTimeout, defaultSettleRetryTimeout)
	o.LostAfter = orDefault(o.LostAfter, defaultLostAfter)
	return o
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
