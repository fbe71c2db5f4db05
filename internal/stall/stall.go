// Package stall bounds calls whose answers may be large: a call fails when it makes no
// progress for a time, not when its whole answer takes longer than that.
package stall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrNoProgress is the cause of a context that was cancelled because its call made no
// progress. It wraps context.DeadlineExceeded.
var ErrNoProgress = fmt.Errorf("no progress within the timeout: %w", context.DeadlineExceeded)

// watch cancels one context.
type watch struct {
	timer   *time.Timer
	timeout time.Duration
	parent  *watch // of an enclosing call; nil if there is none
}

type contextKey struct{}

// WithTimeout returns a context that is cancelled with the cause ErrNoProgress when no
// progress was reported for the timeout, and in any case after timeout+limit. The
// returned function releases the context.
func WithTimeout(parent context.Context, timeout, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{timeout: timeout, timer: time.AfterFunc(timeout, func() { cancel(ErrNoProgress) })}
	w.parent, _ = parent.Value(contextKey{}).(*watch)
	total := time.AfterFunc(timeout+limit, func() { cancel(ErrNoProgress) })
	stop := func() {
		w.timer.Stop()
		total.Stop()
		cancel(context.Canceled)
	}
	return context.WithValue(ctx, contextKey{}, w), stop
}

// Progress reports that the call of the context has made progress. Enclosing calls make
// progress as well. It does nothing if the context is not one of WithTimeout.
func Progress(ctx context.Context) {
	w, _ := ctx.Value(contextKey{}).(*watch)
	for ; w != nil; w = w.parent {
		if w.timer.Stop() {
			w.timer.Reset(w.timeout)
		}
	}
}

// Reader returns a reader that reports each read of r that returns data as progress. A
// read that fails because of the context's cancellation returns the cause.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx: ctx, r: r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Progress(r.ctx)
	}
	if err != nil && !errors.Is(err, io.EOF) && r.ctx.Err() != nil {
		err = context.Cause(r.ctx)
	}
	return n, err
}
