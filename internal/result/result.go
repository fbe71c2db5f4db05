// Package result defines the numbered results that are returned to callers and
// operators, and the proof that a request was not run.
package result

import (
	"fmt"
	"net/http"
	"time"
)

// Code is the number of one result. Codes are stable, and a number is never reused.
// Zero is not a valid code.
type Code int

// Error is the result of a request that was refused or failed.
type Error struct {
	// Code is the result code, as documented in docs/RESULTS.md.
	Code Code
	// Message describes the failure. It must not contain secrets.
	Message string
	// RetryAfter is the value of the Retry-After header. Zero means no header.
	RetryAfter time.Duration

	notRun bool
	cause  error
}

// NotRun returns an error that states that no backend server received a byte of the
// request. Without a proof issued by a Gate, which is a programming error, it returns
// an error that states that the request may have run.
func NotRun(code Code, proof Proof, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), notRun: proof.issued}
}

// MayHaveRun returns an error for a request that a backend server may have executed
// partly or completely.
func MayHaveRun(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithCause sets the underlying error and returns e.
func (e *Error) WithCause(err error) *Error {
	e.cause = err
	return e
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// NotRun reports whether the request is proven not to have run.
func (e *Error) NotRun() bool { return e.notRun }

// Error implements the error interface.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("result %d (%s): %s: %v", int(e.Code), e.Code, e.Message, e.cause)
	}
	return fmt.Sprintf("result %d (%s): %s", int(e.Code), e.Code, e.Message)
}

// Unwrap returns the underlying error, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// String returns the code's symbolic name.
func (c Code) String() string {
	if i, ok := c.Info(); ok {
		return i.Name
	}
	return fmt.Sprintf("unknown_%d", int(c))
}

// HTTPStatus returns the HTTP status of responses with the code, or 500 if the code is
// not defined.
func (c Code) HTTPStatus() int {
	if i, ok := c.Info(); ok {
		return i.HTTPStatus
	}
	return http.StatusInternalServerError
}
