package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// exchange is one call of Do.
type exchange struct {
	d       *Dispatcher
	call    Call
	w       http.ResponseWriter
	control *http.ResponseController
	ctx     context.Context
	cancel  context.CancelCauseFunc
	endCtx  context.CancelFunc

	header    http.Header // what backend servers may see of the caller's
	query     string
	body      []byte
	model     modelRequest
	attemptID string

	outcome   Outcome
	progress  progress
	pending   bool        // written but not flushed
	answering atomic.Bool // a part of the answer was given to the caller
	bodyRead  atomic.Bool // a part of a streamed body was read
	losers    sync.WaitGroup
	preempted <-chan struct{} // preempted an earlier attempt
	gate      *result.Gate
}

func newExchange(ctx context.Context, d *Dispatcher, c Call, w http.ResponseWriter) *exchange {
	c.Timeouts = c.Timeouts.withDefaults()
	if c.Progress == nil {
		c.Progress = noProgress{}
	}
	x := &exchange{
		d: d, call: c, w: w, control: http.NewResponseController(w),
		header: forwardHeader(c.Header), query: stripQuery(c.RawQuery), body: c.Body,
		gate: c.Request.Gate,
	}
	if x.gate == nil {
		x.gate = new(result.Gate)
	}
	if !c.Request.Plain {
		x.model = readModelRequest(c.Body)
		x.body = x.model.body
	}
	x.bound(ctx)
	return x
}

// bound applies the request's deadline and stops work for preemption.
func (x *exchange) bound(ctx context.Context) {
	x.endCtx = func() {}
	if deadline := x.call.Request.Deadline; !deadline.IsZero() {
		ctx, x.endCtx = context.WithDeadlineCause(ctx, deadline, errDeadline)
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
}

// close waits for the attempts that lost a hedge.
func (x *exchange) close() {
	x.cancel(errDone)
	x.endCtx()
	x.losers.Wait()
}

// run makes attempts until the answer is whole or the request must end.
func (x *exchange) run() {
	target := x.call.Targets.First()
	for number := 1; ; number++ {
		failed, err := x.try(target, number > 1)
		if err == nil {
			return
		}
		x.call.Progress.AttemptFailed()
		if ended := x.mustEnd(err, failed, number); ended != nil {
			x.end(ended)
			return
		}
		next, refused := x.call.Targets.Next(x.ctx, *failed)
		if refused != nil {
			x.end(x.refusal(refused, err))
			return
		}
		target = next
	}
}

// try makes one attempt, or two with hedging, and observes each.
func (x *exchange) try(target traffic.Target, fresh bool) (*traffic.Failure, *attemptError) {
	if x.refused() {
		x.call.Targets.Observe(traffic.Observation{Target: target})
		err := &attemptError{code: result.RequestQuarantined, cause: errQuarantined, final: true}
		return &traffic.Failure{Target: target, Code: err.code}, err
	}
	a, err := x.begin(target, fresh || !x.call.Request.Idempotent)
	if err != nil && err.retrySame && a.target == target && !a.conclude(err) {
		a, err = x.begin(target, true)
	}
	if err == nil {
		err = x.relay(a)
	}
	return a.finish(err), err
}

var errQuarantined = errors.New("backend servers crashed while they ran this request")

func (x *exchange) refused() bool {
	r := x.call.Request
	if r.Fingerprint == 0 || !x.d.options.Suspects.Refused(r.Fingerprint, time.Now()) {
		return false
	}
	x.d.options.Recorder.Record(timeline.Event{
		Kind: timeline.QuarantineRefused, Request: r.ID, Record: fingerprintText(r.Fingerprint),
	})
	return true
}

// mustEnd returns nil when another attempt is allowed.
func (x *exchange) mustEnd(err *attemptError, failed *traffic.Failure, number int) *result.Error {
	r := x.call.Request
	switch {
	case err.final || number >= x.d.options.MaxAttempts:
		return x.failed(err)
	case !failed.Sent && !x.bodyRead.Load():
		return nil // another server may be tried: nothing was written
	case !r.Idempotent:
		return x.unknownOutcome(err)
	case x.call.Stream != nil:
		return x.failed(err) // the body can't be read again
	case x.outcome.Started && !x.progress.resumable():
		return x.failed(err)
	}
	return nil
}

// failed is the result of a request that ends with the attempt's error.
func (x *exchange) failed(err *attemptError) *result.Error {
	var ending *result.Error
	if errors.As(err.cause, &ending) {
		if x.outcome.Started && ending.Code == result.KeyWithdrawn {
			return result.MayHaveRun(result.StreamKeyLapsed, "the key was withdrawn while the answer streamed")
		}
		return x.refuse(ending.Code, "%s", ending.Message).WithRetryAfter(ending.RetryAfter)
	}
	if !x.call.Request.Idempotent && x.gate.Opened() && err.code != result.CallerGone {
		return x.unknownOutcome(err)
	}
	return x.refuse(err.code, "%s", publicMessage(err)).WithCause(err.cause)
}

func (x *exchange) unknownOutcome(err *attemptError) *result.Error {
	e := x.refuse(result.OutcomeUnknown, "the answer was lost: %s", publicMessage(err))
	return e.WithCause(err.cause)
}

// refusal is the result when no further target was given after a failure.
func (x *exchange) refusal(refused *result.Error, last *attemptError) *result.Error {
	if context.Cause(x.ctx) != nil {
		return x.failed((&attempt{x: x, ctx: x.ctx}).explainCause(context.Cause(x.ctx)))
	}
	code := refused.Code
	if last.code == result.Preempted {
		code = result.Preempted
	}
	return x.refuse(code, "%s; the last attempt failed: %s", refused.Message, publicMessage(last)).
		WithCause(last).WithRetryAfter(refused.RetryAfter)
}

func publicMessage(err *attemptError) string {
	info, _ := err.code.Info()
	var silence *silenceError
	if errors.As(err.cause, &silence) {
		return silence.Error()
	}
	if errors.Is(err.cause, errDeadline) {
		return errDeadline.Error()
	}
	return info.Meaning
}
