package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

var (
	errPreempted  = errors.New("the slot was preempted by a higher tier")
	errHedgeLost  = errors.New("another attempt answered first")
	errDeadline   = errors.New("the request's deadline passed")
	errDone       = errors.New("the exchange has ended")
	errCallerGone = errors.New("the caller has disconnected")
	errUnframed   = errors.New("the answer has neither Content-Length nor chunked encoding")
	errUnwanted   = errors.New("the server stated after it was chosen that it wants no requests")
)

// attemptError describes why an attempt failed.
type attemptError struct {
	code             result.Code
	cause            error
	connectionBroken bool // the server may have crashed
	retrySameServer  bool // a retry of the same server on a new connection may succeed
	final            bool // no other attempt is made
}

// Error implements the error interface.
func (e *attemptError) Error() string { return fmt.Sprintf("%s: %v", e.code, e.cause) }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

// classify converts an error of the transport into an attemptError.
func (a *attempt) classify(err error) *attemptError {
	var known *attemptError
	if errors.As(err, &known) {
		return known
	}
	if cause := context.Cause(a.ctx); cause != nil {
		return a.classifyCause(cause)
	}
	if errors.Is(err, errCallerGone) || errors.Is(err, errCallerBody) {
		return &attemptError{code: result.CallerGone, cause: err, final: true}
	}
	if refusal := a.x.gate.Refusal(); refusal != nil && a.permit.Denied() {
		return &attemptError{code: refusal.Code, cause: refusal, final: true}
	}
	if a.permit.Denied() && a.unwanted {
		return &attemptError{code: result.NoBackendServer, cause: errUnwanted}
	}
	if a.permit.Denied() {
		return &attemptError{code: result.DeadlineHopeless, cause: guardconn.ErrNotPermitted, final: true}
	}
	if a.revokeSend() {
		return &attemptError{code: result.ConnectFailed, cause: err, connectionBroken: true}
	}
	code := result.BackendServerError
	if a.response != nil {
		code = result.StreamBroken
	}
	return &attemptError{code: code, cause: err, connectionBroken: true, retrySameServer: a.reused && a.response == nil}
}

// classifyCause converts the cause of an attempt's cancellation into an
// attemptError.
func (a *attempt) classifyCause(cause error) *attemptError {
	var stall *stallError
	var ending *result.Error
	switch {
	case errors.As(cause, &stall) && stall.phase == phaseCallerBody:
		return &attemptError{code: result.BodyTimeout, cause: cause, final: true}
	case errors.As(cause, &stall):
		return &attemptError{code: result.AttemptTimeout, cause: cause}
	case errors.Is(cause, errPreempted):
		return &attemptError{code: result.Preempted, cause: cause}
	case errors.Is(cause, errHedgeLost):
		return &attemptError{code: result.AttemptTimeout, cause: cause, final: true}
	case errors.Is(cause, errDeadline): // not a failure of the server
		return &attemptError{code: result.DeadlineHopeless, cause: cause, final: true}
	case errors.As(cause, &ending):
		return &attemptError{code: ending.Code, cause: cause, final: true}
	}
	return &attemptError{code: result.CallerGone, cause: cause, final: true}
}

// checkAttemptID rejects an answer to another attempt.
func (a *attempt) checkAttemptID() error {
	echoed := a.response.Header.Get(engineapi.AttemptHeader)
	if echoed == a.id {
		return nil
	}
	cause := fmt.Errorf("server %q sent the answer of attempt %q, want attempt %q", a.target.Server, echoed, a.id)
	return &attemptError{code: result.AnswerCrossed, cause: cause, retrySameServer: a.reused}
}

// checkFraming rejects an answer whose end cannot be distinguished from a
// broken connection. A stream is exempt: it ends with its terminal event.
func (a *attempt) checkFraming() error {
	r := a.response
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || a.x.call.Method == http.MethodHead {
		return nil
	}
	if a.x.model.stream && isStream(r) {
		return nil
	}
	if !a.x.call.Request.Plain {
		a.skipAnswer()
	}
	cause := fmt.Errorf("server %q: %w", a.target.Server, errUnframed)
	return &attemptError{code: result.BackendServerError, cause: cause, connectionBroken: true}
}

// maxSkipTime bounds how long skipAnswer delays the next attempt.
const maxSkipTime = 200 * time.Millisecond

// skipAnswer reads the answer to its end, so that a crash that ends it is seen. After
// maxSkipTime it cancels the attempt.
func (a *attempt) skipAnswer() {
	timer := time.AfterFunc(maxSkipTime, func() { a.cancel(errUnframed) })
	defer timer.Stop()
	body := io.LimitReader(&answerBody{a: a}, a.x.d.options.MaxAnswerBytes)
	_, _ = io.Copy(io.Discard, body) // any error ends the answer
}

// checkStatus turns statuses that mean a failure of the backend server into an
// error. All other answers, and every answer to a non-idempotent request, are
// relayed to the caller.
func (a *attempt) checkStatus() error {
	status := a.response.StatusCode
	r := a.x.call.Request
	if !r.Idempotent || !isFailureStatus(status, r.Plain) {
		return nil
	}
	cause := fmt.Errorf("server %q answered status %d", a.target.Server, status)
	return &attemptError{code: result.BackendServerError, cause: cause}
}

func isFailureStatus(status int, plain bool) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	case http.StatusNotFound, http.StatusRequestTimeout, http.StatusTooManyRequests:
		return !plain // the engine does not serve the model or has no free slot
	}
	return status >= http.StatusInternalServerError && !plain
}

// failure describes the error for Targets.
func (a *attempt) failure(err *attemptError, crashed bool) *traffic.Failure {
	return &traffic.Failure{
		Target: a.target, Code: err.code, Sent: !a.revokeSend(), Paused: a.paused, Crashed: crashed,
		Reused: a.reused && !a.fresh,
	}
}
