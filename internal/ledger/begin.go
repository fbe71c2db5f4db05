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

// Claim is a request that must run at most once.
type Claim struct {
	Key Key
	// Digest distinguishes requests under one key; see RequestDigest.
	Digest string
	// Attempt is the id of the attempt to dispatch. It must be unique.
	Attempt string
	// Deadline is the request's deadline. Zero means MaxSendWindow from now,
	// which is also the upper limit.
	Deadline time.Time
	// Gate is the request's gate. It is sealed when the request is refused as
	// not run.
	Gate *result.Gate
}

// Decision is the outcome of a claim that was not refused. Exactly one field is
// set.
type Decision struct {
	// Owned is set if the claim's attempt, and no other, may be dispatched.
	Owned *Owned
	// Answer is set if the request has already been answered; it is replayed.
	Answer *Answer
}

// Begin inserts the claim's record, or waits for the answer of the request that
// inserted it first. A duplicate is never refused as not run. A claim is
// refused as not run only if nothing will ever be dispatched for it.
func (l *Ledger) Begin(ctx context.Context, c Claim) (Decision, *result.Error) {
	now := time.Now()
	if latest := now.Add(MaxSendWindow); c.Deadline.IsZero() || c.Deadline.After(latest) {
		c.Deadline = latest
	}
	waitUntil := now.Add(l.options.MaxWait)
	for {
		d, refusal := l.insert(ctx, c)
		if d.Owned != nil || refusal != nil {
			return d, refusal
		}
		d, retry, refusal := l.await(ctx, c, waitUntil)
		if !retry {
			return d, refusal
		}
	}
}

// insert fires events at the record's state machine until the claim is owned,
// refused or a duplicate. For a duplicate, the decision is empty.
func (l *Ledger) insert(ctx context.Context, c Claim) (Decision, *result.Error) {
	o := newOwned(l, c)
	limited, cancel := context.WithTimeout(ctx, l.options.BeginTimeout)
	defer cancel()
	o.fire(eventInsert)
	err := o.tryInsert(limited)
	for err != nil && o.is(stateUncertain, stateInserting) {
		err = o.resolveInsert(limited, err)
	}
	switch {
	case o.is(stateOwned):
		l.options.Recorder.Record(timeline.Event{Kind: timeline.RecordInserted, Record: o.record, Attempt: c.Attempt})
		return Decision{Owned: o}, nil
	case o.is(stateRefused):
		refusal := c.Gate.Refuse(result.LedgerUnavailable, "the idempotency record could not be written").WithCause(err)
		o.removeLateInsert()
		return Decision{}, refusal.WithRetryAfter(l.options.BeginTimeout)
	}
	return Decision{}, nil
}

// tryInsert tries once to insert the record and fires the event for the
// outcome.
func (o *Owned) tryInsert(ctx context.Context) error {
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
	o.insertUncertain = true
	o.fire(eventUnanswered)
	return err
}

// readBack reads the record to determine which attempt inserted it, and fires
// the event for the outcome. It returns errRecordAbsent if there is no record.
func (o *Owned) readBack(ctx context.Context) error {
	row, r, err := o.ledger.read(ctx, o.key)
	switch {
	case err != nil:
		o.fire(eventUnanswered)
		return err
	case r == nil:
		return errRecordAbsent
	case r.Attempt != o.row.Attempt:
		o.fire(eventExists)
		return nil
	}
	o.version = row.Version
	o.fire(eventInserted)
	return nil
}

var errRecordAbsent = errors.New("the idempotency record does not exist")

// resolveInsert makes one further step after a call that was not answered: it
// waits, reads the record and, if there is none, inserts it again. Repeating
// the insert is safe, because at most one insert of a record can take effect.
// If ctx has ended, it fires the unavailable event and returns the last error.
func (o *Owned) resolveInsert(ctx context.Context, last error) error {
	if err := wait.For(ctx, beginRetryInterval); err != nil {
		o.fire(eventUnavailable)
		return last
	}
	err := o.readBack(ctx)
	if errors.Is(err, errRecordAbsent) {
		err = o.tryInsert(ctx)
	}
	return err
}

const beginRetryInterval = 20 * time.Millisecond

// read returns a row and its record. The record is nil if the row does not
// exist.
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
