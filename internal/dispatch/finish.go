package dispatch

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// finish ends the attempt and observes it. It returns nil after a whole answer.
func (a *attempt) finish(err *attemptError) *traffic.Failure {
	crashed := a.conclude(err)
	o := traffic.Observation{
		Target: a.target, FirstToken: a.firstToken, BetweenMean: a.betweenMean(),
		InputTokens: a.usage.InputTokens, OutputTokens: a.received, Wasted: a.wasted,
		Whole: err == nil,
	}
	if a.response != nil {
		o.Epoch = a.epoch
	}
	if err == nil {
		o.OutputTokens = max(o.OutputTokens, a.usage.OutputTokens)
	} else {
		o.Failure = a.failure(err, crashed)
	}
	a.x.call.Targets.Observe(o)
	return o.Failure
}

// conclude closes the attempt, settles its run and reports whether the backend
// server crashed. It acts once.
func (a *attempt) conclude(err *attemptError) bool {
	if a.concluded {
		return a.crashed
	}
	a.concluded = true
	if err == nil {
		a.close(errDone)
		a.endRun(true)
		a.record(timeline.AttemptAnswered, 0, "")
		return false
	}
	a.close(err)
	if err.code == result.Preempted {
		a.x.preempted = a.preempted
	}
	if err.connection && a.sent() {
		a.crashed = a.x.d.crashed(a.target, a.epoch, a.x.call.Request.Plain)
	}
	a.endRun(false)
	if err.code == result.AnswerCrossed {
		a.record(timeline.AttemptDiscarded, err.code, a.response.Header.Get(engineapi.AttemptHeader))
	}
	a.record(timeline.AttemptFailed, err.code, err.cause.Error())
	return a.crashed
}

func (a *attempt) endRun(whole bool) {
	switch {
	case a.run == nil: // it was never started
	case a.crashed:
		a.run.Crashed(time.Now())
	default:
		a.run.Ended(whole, time.Now())
	}
}

// betweenMean is the mean time between tokens; 0 if unknown.
func (a *attempt) betweenMean() time.Duration {
	if a.received < 2 || a.firstToken == 0 {
		return 0
	}
	streamed := a.lastRead.Sub(a.started) - a.firstToken
	return max(0, streamed) / time.Duration(a.received-1)
}
