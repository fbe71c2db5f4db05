package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

var (
	errPreempted  = errors.New("a higher tier took the slot")
	errHedgeLost  = errors.New("another attempt answered first")
	errDeadline   = errors.New("the request's deadline passed")
	errDone       = errors.New("the exchange has ended")
	errCallerGone = errors.New("the caller is gone")
)

// attemptError says why an attempt failed.
type attemptError struct {
	code       result.Code
	cause      error
	connection bool // the connection broke; the server may have crashed
	retrySame  bool // a fresh connection to the same server may do
	final      bool // no other attempt helps
}

// Error implements the error interface.
func (e *attemptError) Error() string { return fmt.Sprintf("%s: %v", e.code, e.cause) }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

// explain turns an error of the transport into an attemptError.
func (a *attempt) explain(err error) *attemptError {
	var known *attemptError
	if errors.As(err, &known) {
		return known
	}
	if cause := context.Cause(a.ctx); cause != nil {
		return a.explainCause(cause)
	}
	if errors.Is(err, errCallerGone) || errors.Is(err, errCallerBody) {
		return &attemptError{code: result.CallerGone, cause: err, final: true}
	}
	if refusal := a.x.gate.Refusal(); refusal != nil && a.permit.Denied() {
		return &attemptError{code: refusal.Code, cause: refusal, final: true}
	}
	if a.permit.Denied() {
		return &attemptError{code: result.DeadlineHopeless, cause: guardconn.ErrNotPermitted, final: true}
	}
	if a.neverSent() {
		return &attemptError{code: result.ConnectFailed, cause: err, connection: true}
	}
	code := result.BackendServerError
	if a.response != nil {
		code = result.StreamBroken
	}
	return &attemptError{code: code, cause: err, connection: true, retrySame: a.reused && a.response == nil}
}

// explainCause says why an attempt was cancelled.
func (a *attempt) explainCause(cause error) *attemptError {
	var silence *silenceError
	var ending *result.Error
	switch {
	case errors.As(cause, &silence) && silence.phase == phaseCallerBody:
		return &attemptError{code: result.BodyTimeout, cause: cause, final: true}
	case errors.As(cause, &silence):
		return &attemptError{code: result.AttemptTimeout, cause: cause}
	case errors.Is(cause, errPreempted):
		return &attemptError{code: result.Preempted, cause: cause}
	case errors.Is(cause, errHedgeLost):
		return &attemptError{code: result.AttemptTimeout, cause: cause, final: true}
	case errors.Is(cause, errDeadline): // does not tell against the server
		return &attemptError{code: result.DeadlineHopeless, cause: cause, final: true}
	case errors.As(cause, &ending):
		return &attemptError{code: ending.Code, cause: cause, final: true}
	}
	return &attemptError{code: result.CallerGone, cause: cause, final: true}
}

// checkEcho refuses an answer that is another attempt's.
func (a *attempt) checkEcho() error {
	echoed := a.response.Header.Get(engineapi.AttemptHeader)
	if echoed == a.id {
		return nil
	}
	cause := fmt.Errorf("server %q answered attempt %q to attempt %q", a.target.Server, echoed, a.id)
	return &attemptError{code: result.AnswerCrossed, cause: cause, retrySame: a.reused}
}

// checkFraming refuses an answer whose end can't be told from a broken
// connection. A stream has its terminal event for that.
func (a *attempt) checkFraming() error {
	r := a.response
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || a.x.call.Method == http.MethodHead {
		return nil
	}
	if a.x.model.stream && isStream(r) {
		return nil
	}
	cause := fmt.Errorf("the answer of server %q has neither a length nor chunks", a.target.Server)
	return &attemptError{code: result.BackendServerError, cause: cause}
}

// checkStatus decides which answers are failures of the backend server. All
// other answers, and every answer to a non-idempotent request, are the caller's.
func (a *attempt) checkStatus() error {
	status := a.response.StatusCode
	r := a.x.call.Request
	if !r.Idempotent || !failedStatus(status, r.Plain) {
		return nil
	}
	cause := fmt.Errorf("server %q answered status %d", a.target.Server, status)
	return &attemptError{code: result.BackendServerError, cause: cause}
}

func failedStatus(status int, plain bool) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	case http.StatusNotFound, http.StatusRequestTimeout, http.StatusTooManyRequests:
		return !plain // the engine lacks the model or a slot
	}
	return status >= http.StatusInternalServerError && !plain
}

// failure describes the error to the scheduler.
func (a *attempt) failure(err *attemptError, crashed bool) *traffic.Failure {
	return &traffic.Failure{
		Target: a.target, Code: err.code, Sent: !a.neverSent(), Crashed: crashed,
		Reused: a.reused && !a.fresh,
	}
}
