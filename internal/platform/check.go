package platform

import (
	"context"
	"time"
)

// WriteCheck decides right before a request is written whether it may be. valid is how
// long the caller's right to the request lasts: bytes that the receiver has not
// acknowledged by then are discarded, so that it does not act on them later. Zero means
// without limit.
type WriteCheck func() (valid time.Duration, err error)

// checkKey is the context key of a write check.
type checkKey struct{}

// WithWriteCheck returns a context whose calls run check once the connection is
// established and right before the request is written. If check fails, the call fails
// with its error, and the receiver has no complete request to act on.
func WithWriteCheck(ctx context.Context, check WriteCheck) context.Context {
	return context.WithValue(ctx, checkKey{}, check)
}

// RunWriteCheck runs the check of a context and returns its result. It returns zero and
// nil if the context has no check.
func RunWriteCheck(ctx context.Context) (valid time.Duration, err error) {
	check, ok := ctx.Value(checkKey{}).(WriteCheck)
	if !ok {
		return 0, nil
	}
	return check()
}
