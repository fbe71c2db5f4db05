package platform

import "context"

// checkKey is the context key of a write check.
type checkKey struct{}

// WithCheck returns a context whose calls run the check once the connection is
// up and right before the call's body is written. A check that fails ends the
// call with its error, and the receiver has then got no whole call to act on.
func WithCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, checkKey{}, check)
}

// RunCheck runs the check of a context; nil when there is none.
func RunCheck(ctx context.Context) error {
	check, ok := ctx.Value(checkKey{}).(func() error)
	if !ok {
		return nil
	}
	return check()
}
