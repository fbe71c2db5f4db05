package dispatch

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// hedgeResult is an attempt whose answer has begun, or that failed before.
type hedgeResult struct {
	attempt *attempt
	err     *attemptError
}

// startHedged starts the attempt. If no answer has begun after the class's
// hedge delay, it starts a second attempt on another target. The first answer
// to begin wins; the other attempt is cancelled.
func (x *exchange) startHedged(first *attempt) (*attempt, *attemptError) {
	results := make(chan hedgeResult, 2)
	running := []*attempt{first}
	launch := func(a *attempt) { go func() { results <- hedgeResult{a, a.start()} }() }
	launch(first)
	delay := time.NewTimer(time.Duration(x.call.Request.Class.HedgeAfter))
	defer delay.Stop()
	for {
		select {
		case <-delay.C:
			target, ok := x.call.Targets.Hedge(first.target)
			if !ok {
				continue
			}
			second := x.newAttempt(target, true)
			running = append(running, second)
			launch(second)
		case r := <-results:
			running = withoutAttempt(running, r.attempt)
			if r.err != nil && len(running) > 0 {
				r.attempt.finish(r.err)
				continue
			}
			x.cancelLosers(running, results)
			return r.attempt, r.err
		}
	}
}

func withoutAttempt(attempts []*attempt, removed *attempt) []*attempt {
	var kept []*attempt
	for _, a := range attempts {
		if a != removed {
			kept = append(kept, a)
		}
	}
	return kept
}

// cancelLosers cancels the attempts that lost and reports each to
// Targets.Observe when it has ended.
func (x *exchange) cancelLosers(losers []*attempt, results <-chan hedgeResult) {
	for _, a := range losers {
		a.cancel(errHedgeLost)
		x.hedgeLosers.Go(func() {
			r := <-results
			err := &attemptError{code: result.CallerGone, cause: errHedgeLost, final: true}
			r.attempt.finish(err)
		})
	}
}
