package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	initialPollInterval = 25 * time.Millisecond
	maxPollInterval     = time.Second
)

// await polls the record of another attempt until it is settled or the wait
// ends. retry is true if the record was released, so that the claim may be
// inserted.
func (l *Ledger) await(ctx context.Context, c Claim, until time.Time) (d Decision, retry bool, refusal *result.Error) {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval, interval.MaxInterval = initialPollInterval, maxPollInterval
	key := rowPrefix + c.Key.Record()
	for {
		_, r, err := l.read(ctx, key)
		if err == nil {
			d, retry, refusal = l.decide(ctx, c, r)
			if retry || refusal != nil || d.Answer != nil {
				return d, retry, refusal
			}
		}
		if time.Now().After(until) || wait.For(ctx, interval.NextBackOff()) != nil {
			running := result.MayHaveRun(result.AlreadyRunning, "the first request with this Idempotency-Key still runs")
			return Decision{}, false, running.WithRetryAfter(maxPollInterval)
		}
	}
}

// decide determines the outcome of a duplicate from its record. The bool result
// is true if the claim may be inserted. All results are empty while the
// record's attempt may still be answered.
func (l *Ledger) decide(ctx context.Context, c Claim, r *record) (Decision, bool, *result.Error) {
	switch classify(r, c.Attempt, c.Digest, time.Now(), l.options.LostAfter) {
	case dispositionAbsent, dispositionOwn:
		return Decision{}, true, nil
	case dispositionMismatch:
		return Decision{}, false, c.Gate.Refuse(result.IdempotencyMismatch, "the Idempotency-Key was used with another request")
	case dispositionLost:
		return Decision{}, false, willNotRunAgainError()
	case dispositionAnswered:
		answer, err := l.loadAnswer(ctx, r.Answer)
		if errors.Is(err, platform.ErrNotFound) {
			return Decision{}, false, willNotRunAgainError()
		}
		if err != nil {
			return Decision{}, false, nil // keep polling
		}
		return Decision{Answer: answer}, false, nil
	}
	return Decision{}, false, nil
}

func willNotRunAgainError() *result.Error {
	return result.MayHaveRun(result.WillNotRunAgain, "an earlier request with this Idempotency-Key was sent and its answer is not known; it will not run again")
}

// loadAnswer returns a stored answer with its body.
func (l *Ledger) loadAnswer(ctx context.Context, stored *storedAnswer) (*Answer, error) {
	if stored == nil {
		return nil, platform.ErrNotFound
	}
	a := &Answer{Status: stored.Status, Header: stored.Header, Body: stored.Body}
	if stored.Object == "" {
		return a, nil
	}
	body, err := l.objects.Get(ctx, stored.Object)
	if err != nil {
		return nil, err
	}
	a.Body = body
	return a, nil
}
