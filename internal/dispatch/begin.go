package dispatch

import (
	"errors"
	"strconv"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const fingerprintBase = 16

func fingerprintText(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, fingerprintBase)
}

var errIsolated = errors.New("another suspect request runs on the backend server")

// begin sends the request to the target until an answer begins. With hedging
// the returned attempt may be one to another target.
func (x *exchange) begin(target traffic.Target, fresh bool) (*attempt, *attemptError) {
	a := x.newAttempt(target, fresh)
	if !x.mayHedge() {
		return a, a.start()
	}
	return x.race(a)
}

func (x *exchange) mayHedge() bool {
	r := x.call.Request
	return r.Idempotent && r.Class != nil && r.Class.HedgeAfter > 0 &&
		x.call.Stream == nil && !x.outcome.Started
}

// start registers the run and sends the request.
func (a *attempt) start() *attemptError {
	r := a.x.call.Request
	run, ok := a.x.d.options.Suspects.Start(r.Fingerprint, a.target.Server, a.epoch, time.Now())
	if !ok {
		return &attemptError{code: result.NoBackendServer, cause: errIsolated}
	}
	a.run = run
	if err := a.send(); err != nil {
		return a.explain(err)
	}
	return nil
}

// watchPreemption cancels the attempt when a higher tier takes its slot. A
// channel that preempted an earlier attempt is not watched again.
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
