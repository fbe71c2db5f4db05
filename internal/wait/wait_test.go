package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.NoErr(For(t.Context(), time.Minute))
		is.Equal(time.Since(start), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(For(ctx, time.Minute), context.DeadlineExceeded)
		is.Equal(time.Since(start), time.Minute+time.Second)
	})
}

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		calls := 0
		Every(ctx, time.Second, func(context.Context) { calls++ })
		is.Equal(calls, 3)
	})
}
