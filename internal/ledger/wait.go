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
	firstPollInterval = 25 * time.Millisecond
	maxPollInterval   = time.Second
)

// await polls the record of another attempt until it is settled or the wait
// ends. It reports again when the record was released, so that the claim may
// be inserted.
func (l *Ledger) await(ctx context.Context, c Claim, until time.Time) (d Decision, again bool, refusal *result.Error) {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval, interval.MaxInterval = firstPollInterval, maxPollInterval
	key := rowPrefix + c.Key.Record()
	for {
		_, r, err := l.read(ctx, key)
		if err == nil {
			d, again, refusal = l.settled(ctx, c, r)
			if again || refusal != nil || d.Answer != nil {
				return d, again, refusal
			}
		}
		if time.Now().After(until) || wait.For(ctx, interval.NextBackOff()) != nil {
			running := result.MayHaveRun(result.AlreadyRunning, "the first request with this Idempotency-Key still runs")
			return Decision{}, false, running.WithRetryAfter(maxPollInterval)
		}
	}
}

// settled decides what a record that was read means to a duplicate; all
// results are empty while its attempt may still be answered.
func (l *Ledger) settled(ctx context.Context, c Claim, r *record) (Decision, bool, *result.Error) {
	switch judge(r, c.Attempt, c.Digest, time.Now(), l.options.LostAfter) {
	case verdictAbsent, verdictOwn:
		return Decision{}, true, nil
	case verdictMismatch:
		return Decision{}, false, c.Gate.Refuse(result.IdempotencyMismatch, "the Idempotency-Key was used with another request")
	case verdictLost:
		return Decision{}, false, willNotRunAgain()
	case verdictAnswered:
		answer, err := l.load(ctx, r.Answer)
		if errors.Is(err, platform.ErrNotFound) {
			return Decision{}, false, willNotRunAgain()
		}
		if err != nil {
			return Decision{}, false, nil // wait on
		}
		return Decision{Answer: answer}, false, nil
	}
	return Decision{}, false, nil
}

func willNotRunAgain() *result.Error {
	return result.MayHaveRun(result.WillNotRunAgain, "an earlier request with this Idempotency-Key was sent and its answer is not known; it will not run again")
}

// load returns a stored answer with its body.
func (l *Ledger) load(ctx context.Context, stored *storedAnswer) (*Answer, error) {
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
