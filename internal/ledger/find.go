package ledger

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Find looks for the record of a claim before the claim is admitted, so that a
// duplicate takes no slot and is never refused as not run. It reports found
// when the claim is a duplicate: the decision then holds the stored answer, or
// the refusal says why there is none. A table service that does not answer
// refuses the claim as not run, because nothing was dispatched for it.
func (l *Ledger) Find(ctx context.Context, c Claim) (d Decision, found bool, refusal *result.Error) {
	r, err := l.lookup(ctx, rowPrefix+c.Key.Record())
	if err != nil {
		refusal = c.Gate.Refuse(result.LedgerUnavailable,
			"the idempotency record could not be read, so nothing was sent; whether an earlier request with this Idempotency-Key ran is not known now")
		return Decision{}, false, refusal.WithCause(err).WithRetryAfter(l.options.BeginTimeout)
	}
	if r == nil {
		return Decision{}, false, nil
	}
	d, again, refusal := l.settled(ctx, c, r)
	if !again && refusal == nil && d.Answer == nil {
		d, again, refusal = l.await(ctx, c, time.Now().Add(l.options.WaitLimit))
	}
	return d, !again, refusal
}

// lookup reads a record, trying again until BeginTimeout.
func (l *Ledger) lookup(ctx context.Context, key string) (*record, error) {
	limited, cancel := context.WithTimeout(ctx, l.options.BeginTimeout)
	defer cancel()
	for {
		_, r, err := l.read(limited, key)
		if err == nil {
			return r, nil
		}
		if wait.For(limited, resolveInterval) != nil {
			return nil, err
		}
	}
}
