package ledger

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Find looks up the record of a claim before admission, so that a duplicate
// needs no slot and is never refused as not run. If the claim is a duplicate,
// found is true, and either the decision holds the stored answer or the refusal
// states why there is none. If the table service does not answer, the claim is
// refused as not run, because nothing was dispatched for it.
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
	d, retry, refusal := l.decide(ctx, c, r)
	if !retry && refusal == nil && d.Answer == nil {
		d, retry, refusal = l.await(ctx, c, time.Now().Add(l.options.MaxWait))
	}
	return d, !retry, refusal
}

// lookup reads a record and retries until BeginTimeout has passed.
func (l *Ledger) lookup(ctx context.Context, key string) (*record, error) {
	limited, cancel := context.WithTimeout(ctx, l.options.BeginTimeout)
	defer cancel()
	for {
		_, r, err := l.read(limited, key)
		if err == nil {
			return r, nil
		}
		if wait.For(limited, beginRetryInterval) != nil {
			return nil, err
		}
	}
}
