package platform

import "context"

// checkKey is the context key of a write check.
type checkKey struct{}

// WithWriteCheck returns a context whose calls run check once the connection is
// established and right before the request body is written. If check fails, the
// call fails with its error, and the receiver has no complete request to act on.
func WithWriteCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, checkKey{}, check)
}

// RunWriteCheck runs the check of a context and returns its error. It returns nil if the
// context has no check.
func RunWriteCheck(ctx context.Context) error {
	check, ok := ctx.Value(checkKey{}).(func() error)
	if !ok {
		return nil
	}
	return check()
}
