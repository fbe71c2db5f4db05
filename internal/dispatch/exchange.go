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

// exchange is the state of one call of Do.
type exchange struct {
	d              *Dispatcher
	call           Call
	w              http.ResponseWriter
	control        *http.ResponseController
	ctx            context.Context
	cancel         context.CancelCauseFunc
	cancelDeadline context.CancelFunc

	header    http.Header // the caller's fields that backend servers may see
	query     string
	body      []byte
	model     modelRequest
	attemptID string

	outcome       Outcome
	delivered     streamProgress
	unflushed     bool        // bytes were written but not flushed
	answerStarted atomic.Bool // part of the answer was written to the caller
	bodyRead      atomic.Bool // part of a streamed request body was read
	hedgeLosers   sync.WaitGroup
	preempted     <-chan struct{} // channel that preempted an earlier attempt
	gate          *result.Gate
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
		x.model = parseModelRequest(c.Body)
		x.body = x.model.body
	}
	x.applyDeadline(ctx)
	return x
}

// applyDeadline derives the exchange's context, which ends at the request's
// deadline.
func (x *exchange) applyDeadline(ctx context.Context) {
	x.cancelDeadline = func() {}
	if deadline := x.call.Request.Deadline; !deadline.IsZero() {
		ctx, x.cancelDeadline = context.WithDeadlineCause(ctx, deadline, errDeadline)
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
}

// close cancels the exchange and waits for hedges that lost.
func (x *exchange) close() {
	x.cancel(errDone)
	x.cancelDeadline()
	x.hedgeLosers.Wait()
}

// run makes attempts until the answer is complete or the request must end.
func (x *exchange) run() {
	target := x.call.Targets.First()
	for number := 1; ; number++ {
		failed, err := x.try(target, number > 1)
		if err == nil {
			return
		}
		x.call.Progress.AttemptFailed()
		if ended := x.finalError(err, failed, number); ended != nil {
			x.endWithError(ended)
			return
		}
		next, refused := x.call.Targets.Next(x.ctx, *failed)
		if refused != nil {
			x.endWithError(x.refusalResult(refused, err))
			return
		}
		target = next
	}
}

// try makes one attempt, or two with hedging, and reports each to
// Targets.Observe.
func (x *exchange) try(target traffic.Target, fresh bool) (*traffic.Failure, *attemptError) {
	if x.isQuarantined() {
		x.call.Targets.Observe(traffic.Observation{Target: target})
		err := &attemptError{code: result.RequestQuarantined, cause: errQuarantined, final: true}
		return &traffic.Failure{Target: target, Code: err.code}, err
	}
	a, err := x.startAttempt(target, fresh || !x.call.Request.Idempotent)
	if err != nil && err.retrySameServer && a.target == target && !a.settle(err) {
		a, err = x.startAttempt(target, true)
	}
	if err == nil {
		err = x.relay(a)
	}
	return a.finish(err), err
}

var errQuarantined = errors.New("backend servers crashed while they ran this request")

func (x *exchange) isQuarantined() bool {
	r := x.call.Request
	if r.Fingerprint == 0 || !x.d.options.Suspects.Refused(r.Suspect(), time.Now()) {
		return false
	}
	x.d.options.Recorder.Record(timeline.Event{
		Kind: timeline.QuarantineRefused, Request: r.ID, Record: formatFingerprint(r.Fingerprint),
	})
	return true
}

// finalError returns the result to end the request with, or nil if another
// attempt is allowed.
func (x *exchange) finalError(err *attemptError, failed *traffic.Failure, number int) *result.Error {
	r := x.call.Request
	switch {
	case err.final || number >= x.d.options.MaxAttempts:
		return x.failureResult(err)
	case !failed.Sent && !x.bodyRead.Load():
		return nil // nothing was written, so another server may be tried
	case !r.Idempotent:
		return x.unknownOutcomeResult(err)
	case x.call.Stream != nil:
		return x.failureResult(err) // a streamed body cannot be read again
	case x.outcome.AnswerStarted && !x.delivered.resumable():
		return x.failureResult(err)
	}
	return nil
}

// failureResult returns the result of a request that ends with the attempt's
// error.
func (x *exchange) failureResult(err *attemptError) *result.Error {
	var ending *result.Error
	if errors.As(err.cause, &ending) {
		if x.outcome.AnswerStarted && ending.Code == result.KeyWithdrawn {
			return result.MayHaveRun(result.StreamKeyWithdrawn, "the key was withdrawn while the answer streamed")
		}
		return x.refuse(ending.Code, "%s", ending.Message).WithRetryAfter(ending.RetryAfter)
	}
	if !x.call.Request.Idempotent && x.gate.Opened() && err.code != result.CallerGone {
		return x.unknownOutcomeResult(err)
	}
	return x.refuse(err.code, "%s", publicMessage(err)).WithCause(err.cause)
}

func (x *exchange) unknownOutcomeResult(err *attemptError) *result.Error {
	e := x.refuse(result.OutcomeUnknown, "the answer was lost: %s", publicMessage(err))
	return e.WithCause(err.cause)
}

// refusalResult returns the result of a request for which Targets gave no
// further target after a failure.
func (x *exchange) refusalResult(refused *result.Error, last *attemptError) *result.Error {
	if context.Cause(x.ctx) != nil {
		return x.failureResult((&attempt{x: x, ctx: x.ctx}).classifyCause(context.Cause(x.ctx)))
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
	var stall *stallError
	if errors.As(err.cause, &stall) {
		return stall.Error()
	}
	if errors.Is(err.cause, errDeadline) {
		return errDeadline.Error()
	}
	return info.Meaning
}
