package stall

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	timeout = time.Second
	limit   = 5 * time.Second
)

// slowReader waits before each byte, as long as its context has not ended.
type slowReader struct {
	ctx   context.Context
	r     io.Reader
	delay time.Duration
}

func (s slowReader) Read(p []byte) (int, error) {
	select {
	case <-time.After(s.delay):
		return s.r.Read(p)
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	}
}

// readSlowly reads a number of bytes with a delay before each.
func readSlowly(ctx context.Context, bytes int, delay time.Duration) error {
	body := slowReader{ctx: ctx, r: iotest.OneByteReader(strings.NewReader(strings.Repeat("x", bytes))), delay: delay}
	_, err := io.ReadAll(Reader(ctx, body))
	return err
}

func TestProgressExtendsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		outer, stopOuter := WithTimeout(t.Context(), timeout, limit)
		defer stopOuter()
		inner, stopInner := WithTimeout(outer, timeout/2, limit)
		defer stopInner()
		for range 9 {
			time.Sleep(timeout/2 - time.Millisecond)
			Progress(inner)
		}
		is.NoErr(inner.Err())
		time.Sleep(timeout - time.Millisecond)
		is.Equal(context.Cause(inner), ErrNoProgress)
		is.NoErr(outer.Err()) // the inner call's progress counts
		time.Sleep(2 * time.Millisecond)
		is.Equal(context.Cause(outer), ErrNoProgress)
	})
}

func TestSilentCallEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := WithTimeout(t.Context(), timeout, limit)
		defer stop()
		began := time.Now()
		err := readSlowly(ctx, 9, time.Minute)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(began), timeout)
	})
}

// TestTricklingCallEnds guards against a call that never ends because a byte arrives now
// and then.
func TestTricklingCallEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := WithTimeout(t.Context(), timeout, limit)
		defer stop()
		began := time.Now()
		is.True(errors.Is(readSlowly(ctx, 1000, timeout/2), ErrNoProgress))
		is.Equal(time.Since(began), timeout+limit)
	})
}

func TestStoppedCallIsNotATimeout(t *testing.T) {
	is := is.New(t)
	parent, cancel := context.WithCancel(t.Context())
	ctx, stop := WithTimeout(parent, timeout, limit)
	defer stop()
	cancel()
	is.Equal(context.Cause(ctx), context.Canceled)
	Progress(context.Background()) // no timeout to extend
}
