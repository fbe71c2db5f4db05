package dispatch

import (
	"errors"
	"strconv"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const fingerprintBase = 16

func formatFingerprint(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, fingerprintBase)
}

var errSuspectIsolated = errors.New("another suspect request is running on the backend server")

// startAttempt sends the request to the target and waits until an answer
// begins. With hedging, the returned attempt may be one to another target.
func (x *exchange) startAttempt(target traffic.Target, fresh bool) (*attempt, *attemptError) {
	a := x.newAttempt(target, fresh)
	if !x.canHedge() {
		return a, a.start()
	}
	return x.startHedged(a)
}

func (x *exchange) canHedge() bool {
	r := x.call.Request
	return r.Idempotent && r.Class != nil && r.Class.HedgeAfter > 0 &&
		x.call.Stream == nil && !x.outcome.AnswerStarted
}

// start registers the run with Suspects and sends the request.
func (a *attempt) start() *attemptError {
	r := a.x.call.Request
	run, ok := a.x.d.options.Suspects.Start(r.Suspect(), a.target.Server, a.incarnation.epoch, time.Now())
	if !ok {
		return &attemptError{code: result.NoBackendServer, cause: errSuspectIsolated}
	}
	a.run = run
	if err := a.send(); err != nil {
		return a.classify(err)
	}
	return nil
}

// watchPreemption cancels the attempt when a higher tier preempts its slot. The
// channel that preempted an earlier attempt stays closed and is not watched
// again.
func (x *exchange) watchPreemption(a *attempt) {
	a.preempted = x.call.Targets.Preempted()
	if !x.call.Request.Idempotent || a.preempted == nil || a.preempted == x.preempted {
		return
	}
	go func() {
		select {
		case <-a.preempted:
			a.cancel(errPreempted)
		case <-a.ctx.Done():
		}
	}()
}
