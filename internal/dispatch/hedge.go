package dispatch

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// raced is the beginning of an answer, or the failure to get one.
type raced struct {
	attempt *attempt
	err     *attemptError
}

// race starts the attempt and, when no answer has begun after the class's
// delay, a second one elsewhere. The first answer to begin wins; the other
// attempt is cancelled.
func (x *exchange) race(first *attempt) (*attempt, *attemptError) {
	results := make(chan raced, 2)
	running := []*attempt{first}
	launch := func(a *attempt) { go func() { results <- raced{a, a.start()} }() }
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
			running = without(running, r.attempt)
			if r.err != nil && len(running) > 0 {
				r.attempt.finish(r.err)
				continue
			}
			x.abandon(running, results)
			return r.attempt, r.err
		}
	}
}

func without(attempts []*attempt, gone *attempt) []*attempt {
	var kept []*attempt
	for _, a := range attempts {
		if a != gone {
			kept = append(kept, a)
		}
	}
	return kept
}

// abandon cancels the attempts that lost and observes them as they end.
func (x *exchange) abandon(losers []*attempt, results <-chan raced) {
	for _, a := range losers {
		a.cancel(errHedgeLost)
		x.losers.Go(func() {
			r := <-results
			err := &attemptError{code: result.CallerGone, cause: errHedgeLost, final: true}
			r.attempt.finish(err)
		})
	}
}
