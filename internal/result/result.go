// Package result defines the numbered outcomes that callers and operators see,
// and the proof that a request was never run.
package result

import (
	"fmt"
	"net/http"
	"time"
)

// Code numbers one outcome. Codes are stable: a number is never reused.
// Zero is not a valid code.
type Code int

// Error is a refusal or failure of one request.
type Error struct {
	// Code identifies the outcome in docs/RESULTS.md.
	Code Code
	// Message says what happened, without secrets.
	Message string
	// RetryAfter tells the caller how long to wait; zero omits the header.
	RetryAfter time.Duration

	notRun bool
	cause  error
}

// NotRun builds an error that states that no backend server ever received a
// byte of the request. A proof that was not issued by a Gate is a programming
// error and yields an error that may have run.
func NotRun(code Code, proof Proof, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), notRun: proof.issued}
}

// MayHaveRun builds an error for a request that a backend server may have
// executed in part or in whole.
func MayHaveRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithCause attaches the underlying error and returns e.
func (e *Error) WithCause(err error) *Error {
	e.cause = err
	return e
}

// WithRetryAfter sets the delay that the caller should wait and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// NotRun reports whether it is proved that the request was not run.
func (e *Error) NotRun() bool { return e.notRun }

// Error implements the error interface.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("result %d (%s): %s: %v", int(e.Code), e.Code, e.Message, e.cause)
	}
	return fmt.Sprintf("result %d (%s): %s", int(e.Code), e.Code, e.Message)
}

// Unwrap returns the underlying error, nil when there is none.
func (e *Error) Unwrap() error { return e.cause }

// String returns the code's symbolic name.
func (c Code) String() string {
	if i, ok := c.Info(); ok {
		return i.Name
	}
	return fmt.Sprintf("unknown_%d", int(c))
}

// HTTPStatus returns the HTTP status sent with the code, 500 for an unknown one.
func (c Code) HTTPStatus() int {
	if i, ok := c.Info(); ok {
		return i.HTTPStatus
	}
	return http.StatusInternalServerError
}
