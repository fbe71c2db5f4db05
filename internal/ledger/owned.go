package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	initialRetryInterval = 50 * time.Millisecond
	maxRetryInterval     = 5 * time.Second
)

// Owned is a record that this claim inserted. Only its attempt may be
// dispatched. Exactly one of Complete, Lost and Release must be called.
type Owned struct {
	ledger          *Ledger
	machine         statechart.Machine[facts]
	record          string // digest of the claim's key
	key             string // key of the row
	row             record
	version         uint64
	insertUncertain bool // an insert was not answered and may take effect later
	// SendBefore is the latest time at which the first byte may be sent.
	SendBefore time.Time
}

func newOwned(l *Ledger, c Claim) *Owned {
	id := c.Key.Record()
	now := time.Now()
	return &Owned{
		ledger:  l,
		machine: chart.Machine(id, l.options.Recorder),
		record:  id,
		key:     rowPrefix + id,
		row: record{
			State: stateRunning, Attempt: c.Attempt, Digest: c.Digest,
			Inserted: now.UnixMilli(), Deadline: c.Deadline.UnixMilli(),
		},
		SendBefore: c.Deadline,
	}
}

// Record returns the digest of the claim's key.
func (o *Owned) Record() string { return o.record }

// Complete stores the answer. If the table service does not confirm the write
// within Options.SettleTimeout, retries continue in the background.
func (o *Owned) Complete(ctx context.Context, a Answer) {
	o.fire(eventSent)
	o.fire(eventAnswered)
	stored := &storedAnswer{Status: a.Status, Header: a.Header, Body: a.Body}
	if len(a.Body) > o.ledger.options.InlineBytes {
		stored.Object = o.key + "/" + o.row.Attempt
		stored.Body = nil
	}
	o.row.State, o.row.Answer = stateAnswered, stored
	body := a.Body
	o.settle(ctx, func(ctx context.Context) error {
		if stored.Object != "" {
			if err := o.ledger.objects.Put(ctx, stored.Object, body); err != nil {
				return err
			}
		}
		return o.updateRow(ctx)
	}, timeline.RecordAnswered)
}

// Lost stores that the attempt was sent and its answer is unknown. Duplicates
// are then refused at once with WillNotRunAgain instead of waiting for an
// answer.
func (o *Owned) Lost(ctx context.Context) {
	o.fire(eventSent)
	o.fire(eventLost)
	o.row.State = stateUnknown
	o.settle(ctx, o.updateRow, "")
}

// Release deletes the record of an attempt that is proved not run, so that the
// caller may retry the request. If the proof was not issued, it acts as Lost.
func (o *Owned) Release(ctx context.Context, proof result.Proof) {
	if !proof.Issued() {
		o.Lost(ctx)
		return
	}
	o.fire(eventNotRun)
	o.settle(ctx, o.removeRow, timeline.RecordReleased)
	o.removeLateInsert()
}

// settle retries the write until it takes effect: first in the foreground for
// up to Options.SettleTimeout, then in the background.
func (o *Owned) settle(ctx context.Context, write func(context.Context) error, done timeline.Kind) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.ledger.options.SettleTimeout)
	defer cancel()
	err := o.retryWrite(ctx, write, done)
	if err == nil {
		return
	}
	if errors.Is(err, errNotOwned) {
		o.ledger.options.Logger.Error("idempotency record not settled", "record", o.record, "error", err)
		return
	}
	o.ledger.background.Go(func() {
		ctx, cancel := context.WithTimeout(o.ledger.ctx, o.ledger.options.SettleRetryTimeout)
		defer cancel()
		if err := o.retryWrite(ctx, write, done); err != nil {
			o.ledger.options.Logger.Error("idempotency record not settled", "record", o.record, "error", err)
		}
	})
}

// retryWrite retries the write with exponential backoff until it takes effect,
// fails permanently, or ctx ends.
func (o *Owned) retryWrite(ctx context.Context, write func(context.Context) error, done timeline.Kind) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = initialRetryInterval, maxRetryInterval
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, write(ctx)
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	if err != nil || done == "" {
		return err
	}
	o.ledger.options.Recorder.Record(timeline.Event{Kind: done, Record: o.record, Attempt: o.row.Attempt})
	return nil
}

// updateRow writes the row if it still has the version that this claim wrote.
func (o *Owned) updateRow(ctx context.Context) error {
	value, err := o.row.encode()
	if err != nil {
		return backoff.Permanent(err)
	}
	versions, err := o.ledger.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: o.key, Version: o.version}},
		Writes: []platform.Write{{Key: o.key, Value: value}},
	})
	if err == nil {
		o.version = versions[0]
		return nil
	}
	return o.resolveConflict(ctx, err)
}

// resolveConflict handles a write whose version check failed. If the record is
// still this attempt's, an earlier write took effect without a reply;
// resolveConflict then takes over the row's version and returns the error, so
// that the write is retried. Otherwise it returns a permanent error.
func (o *Owned) resolveConflict(ctx context.Context, failed error) error {
	var conflict *platform.ConflictError
	if !errors.As(failed, &conflict) {
		return failed
	}
	row, r, err := o.ledger.read(ctx, o.key)
	switch {
	case err != nil:
		return err
	case r == nil || r.Attempt != o.row.Attempt:
		return backoff.Permanent(errNotOwned)
	}
	o.version = row.Version
	return failed
}

var errNotOwned = errors.New("the idempotency record no longer belongs to this attempt")

// removeRow deletes the row if it still belongs to this attempt.
func (o *Owned) removeRow(ctx context.Context) error {
	row, r, err := o.ledger.read(ctx, o.key)
	if err != nil {
		return err
	}
	if r == nil || r.Attempt != o.row.Attempt {
		return nil
	}
	_, err = o.ledger.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: o.key, Version: row.Version}},
		Writes: []platform.Write{{Key: o.key, Delete: true}},
	})
	return err
}
