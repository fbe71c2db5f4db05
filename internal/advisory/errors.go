package advisory

import (
	"errors"
	"fmt"
)

// Causes of a FieldError.
var (
	errNotDecimal  = errors.New("expected a decimal number")
	errNotADate    = errors.New("expected seconds or an HTTP date")
	errOutOfBounds = errors.New("out of bounds")
)

// FieldError reports a header field that was left out or bounded.
type FieldError struct {
	Field string
	Value string // at most its first bytes
	Cause error
}

// Error implements the error interface.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: %v, got %q", e.Field, e.Cause, e.Value)
}

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Cause }
