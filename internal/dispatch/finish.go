package dispatch

import (
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// finish ends the attempt and reports it to Targets.Observe. It returns nil
// after a complete answer.
func (a *attempt) finish(err *attemptError) *traffic.Failure {
	crashed := a.settle(err)
	o := traffic.Observation{
		Target: a.target, FirstToken: a.firstToken, BetweenMean: a.meanTokenInterval(),
		InputTokens: a.usage.InputTokens, OutputTokens: a.receivedEvents, UndeliveredTokens: a.wastedEvents,
		Complete: err == nil,
	}
	if a.response != nil {
		o.Epoch = a.incarnation.epoch
	}
	if err == nil {
		o.OutputTokens = max(o.OutputTokens, a.usage.OutputTokens)
	} else {
		o.Failure = a.failure(err, crashed)
	}
	a.x.call.Targets.Observe(o)
	return o.Failure
}

// settle closes the attempt, ends its run and reports whether the backend
// server crashed. Later calls return the same result without further effect.
func (a *attempt) settle(err *attemptError) bool {
	if a.settled {
		return a.crashed
	}
	a.settled = true
	if err == nil {
		a.close(errDone)
		a.settleRun(a.response.StatusCode < http.StatusMultipleChoices)
		a.record(timeline.AttemptAnswered, 0, "")
		return false
	}
	a.close(err)
	if err.code == result.Preempted {
		a.x.preempted = a.preempted
	}
	if err.connectionBroken && a.sent() {
		a.crashed = a.x.d.hasCrashed(a.target, a.incarnation, a.x.call.Request.Plain)
	}
	a.settleRun(false)
	if err.code == result.AnswerCrossed {
		a.record(timeline.AttemptDiscarded, err.code, a.response.Header.Get(engineapi.AttemptHeader))
	}
	a.record(timeline.AttemptFailed, err.code, err.cause.Error())
	return a.crashed
}

// settleRun ends the run. complete is true if the server ran the request to its end.
func (a *attempt) settleRun(complete bool) {
	switch {
	case a.run == nil: // the run was not registered
	case a.crashed:
		a.run.Crashed(time.Now())
	default:
		a.run.Ended(complete, time.Now())
	}
}

// meanTokenInterval returns the mean time between tokens; 0 if unknown.
func (a *attempt) meanTokenInterval() time.Duration {
	if a.receivedEvents < 2 || a.firstToken == 0 {
		return 0
	}
	streamed := a.lastRead.Sub(a.started) - a.firstToken
	return max(0, streamed) / time.Duration(a.receivedEvents-1)
}
