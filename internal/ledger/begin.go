package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Claim is a request that asks to run at most once.
type Claim struct {
	Key Key
	// Digest tells requests under one key apart; see BodyDigest.
	Digest string
	// Attempt is the id of the attempt that would be dispatched. It must be new.
	Attempt string
	// Deadline of the request; zero means MaxSendWindow from now.
	Deadline time.Time
	// Gate of the request. It is sealed when the request is refused as not run.
	Gate *result.Gate
}

// Decision tells what becomes of a claim. Exactly one field is set.
type Decision struct {
	// Owned is set when this attempt, and no other, may be dispatched.
	Owned *Owned
	// Answer is set when the request ran before; it is to be given again.
	Answer *Answer
}

// Begin inserts the claim's record, or waits for the answer of the request that
// inserted it first. A duplicate is never refused as not run. A claim is
// refused as not run only when nothing may ever be dispatched for it.
func (l *Ledger) Begin(ctx context.Context, c Claim) (Decision, *result.Error) {
	now := time.Now()
	if latest := now.Add(MaxSendWindow); c.Deadline.IsZero() || c.Deadline.After(latest) {
		c.Deadline = latest
	}
	waitUntil := now.Add(l.options.WaitLimit)
	for {
		d, refusal := l.insert(ctx, c)
		if d.Owned != nil || refusal != nil {
			return d, refusal
		}
		d, again, refusal := l.await(ctx, c, waitUntil)
		if !again {
			return d, refusal
		}
	}
}

// insert drives the record's chart until the claim is owned, refused or found
// to be a duplicate, which is an empty decision.
func (l *Ledger) insert(ctx context.Context, c Claim) (Decision, *result.Error) {
	o := newOwned(l, c)
	limited, cancel := context.WithTimeout(ctx, l.options.BeginTimeout)
	defer cancel()
	o.fire(eventInsert)
	err := o.write(limited)
	for err != nil && o.is(stateUncertain, stateInserting) {
		err = o.resolve(limited, err)
	}
	switch {
	case o.is(stateOwned):
		l.options.Recorder.Record(timeline.Event{Kind: timeline.RecordInserted, Record: o.record, Attempt: c.Attempt})
		return Decision{Owned: o}, nil
	case o.is(stateRefused):
		refusal := c.Gate.Refuse(result.LedgerUnavailable, "the idempotency record could not be written").WithCause(err)
		o.forget()
		return Decision{}, refusal.WithRetryAfter(l.options.BeginTimeout)
	}
	return Decision{}, nil
}

// write tries to insert the record and fires what came of it.
func (o *Owned) write(ctx context.Context) error {
	value, err := o.row.encode()
	if err != nil {
		o.fire(eventUnavailable)
		return err
	}
	versions, err := o.ledger.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: o.key}},
		Writes: []platform.Write{{Key: o.key, Value: value}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		o.version = versions[0]
		o.fire(eventInserted)
		return nil
	case errors.As(err, &conflict):
		return o.readBack(ctx)
	}
	o.unclear = true
	o.fire(eventUnanswered)
	return err
}

// readBack learns who inserted the record.
func (o *Owned) readBack(ctx context.Context) error {
	row, r, err := o.ledger.read(ctx, o.key)
	switch {
	case err != nil:
		o.fire(eventUnanswered)
		return err
	case r == nil:
		return errAbsent
	case r.Attempt != o.row.Attempt:
		o.fire(eventExists)
		return nil
	}
	o.version = row.Version
	o.fire(eventInserted)
	return nil
}

var errAbsent = errors.New("the idempotency record is absent")

// resolve goes on after a call that was not answered, until ctx ends. Inserting
// again is safe: of all inserts of one record only one can take effect.
func (o *Owned) resolve(ctx context.Context, last error) error {
	if err := wait.For(ctx, resolveInterval); err != nil {
		o.fire(eventUnavailable)
		return last
	}
	err := o.readBack(ctx)
	if errors.Is(err, errAbsent) {
		err = o.write(ctx)
	}
	return err
}

const resolveInterval = 20 * time.Millisecond

// read returns a row and its record, nil when absent.
func (l *Ledger) read(ctx context.Context, key string) (platform.Row, *record, error) {
	rows, err := l.table.Get(ctx, key)
	if err != nil {
		return platform.Row{}, nil, err
	}
	if rows[0].Version == 0 {
		return rows[0], nil, nil
	}
	r, err := decodeRecord(rows[0].Value)
	return rows[0], r, err
}
