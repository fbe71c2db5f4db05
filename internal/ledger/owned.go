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
	firstRetryInterval = 50 * time.Millisecond
	maxRetryInterval   = 5 * time.Second
)

// Owned is a record that this claim inserted. Its attempt alone may be
// dispatched. Exactly one of Complete, Lost and Release ends it.
type Owned struct {
	ledger  *Ledger
	machine statechart.Machine[facts]
	record  string // digest of the key
	key     string // of the row
	row     record
	version uint64
	unclear bool // an insert was not answered and may take effect later
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

// Record is the digest of the claim's key.
func (o *Owned) Record() string { return o.record }

// Complete stores the answer. When the table service does not confirm it in
// time, storing goes on in the background.
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
		return o.update(ctx)
	}, timeline.RecordAnswered)
}

// Lost stores that the attempt was sent and its answer is not known. Duplicates
// then learn at once that the request will not run again.
func (o *Owned) Lost(ctx context.Context) {
	o.fire(eventSent)
	o.fire(eventLost)
	o.row.State = stateUnknown
	o.settle(ctx, o.update, "")
}

// Release deletes the record of an attempt that is proved not run, so that the
// caller may send the request again. Without a proof it does what Lost does.
func (o *Owned) Release(ctx context.Context, proof result.Proof) {
	if !proof.Issued() {
		o.Lost(ctx)
		return
	}
	o.fire(eventNotRun)
	o.settle(ctx, o.remove, timeline.RecordReleased)
	o.forget()
}

// settle runs the write until it takes effect: for a short time at once, then
// in the background.
func (o *Owned) settle(ctx context.Context, write func(context.Context) error, done timeline.Kind) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.ledger.options.SettleTimeout)
	defer cancel()
	err := o.attempt(ctx, write, done)
	if err == nil {
		return
	}
	if errors.Is(err, errNotOwned) {
		o.ledger.options.Logger.Error("idempotency record not settled", "record", o.record, "error", err)
		return
	}
	o.ledger.background.Go(func() {
		ctx, cancel := context.WithTimeout(o.ledger.ctx, o.ledger.options.SettleLimit)
		defer cancel()
		if err := o.attempt(ctx, write, done); err != nil {
			o.ledger.options.Logger.Error("idempotency record not settled", "record", o.record, "error", err)
		}
	})
}

// attempt repeats the write with growing pauses until it takes effect, can't
// any more, or ctx ends.
func (o *Owned) attempt(ctx context.Context, write func(context.Context) error, done timeline.Kind) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstRetryInterval, maxRetryInterval
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, write(ctx)
	}, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(0))
	if err != nil || done == "" {
		return err
	}
	o.ledger.options.Recorder.Record(timeline.Event{Kind: done, Record: o.record, Attempt: o.row.Attempt})
	return nil
}

// update writes the row over the version that this claim wrote.
func (o *Owned) update(ctx context.Context) error {
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
	return o.checkEffect(ctx, err)
}

// checkEffect resolves a write whose version check failed. When its own earlier
// sending took effect without a reply, the same content is written once more.
func (o *Owned) checkEffect(ctx context.Context, failed error) error {
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

var errNotOwned = errors.New("the idempotency record is no longer this attempt's")

// remove deletes the row if it still is this attempt's.
func (o *Owned) remove(ctx context.Context) error {
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
