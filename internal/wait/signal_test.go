package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestSignalEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		s := NewSignal()
		notified, err := s.For(t.Context(), time.Minute, time.Second)
		is.NoErr(err)
		is.True(!notified)
		is.Equal(time.Since(start), time.Minute)

		s.Notify()
		s.Notify()
		notified, err = s.For(t.Context(), time.Hour, time.Second)
		is.NoErr(err)
		is.True(notified)
		is.True(time.Since(start) <= time.Minute+time.Second)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		notified, err = s.For(ctx, time.Hour, time.Second)
		is.Equal(err, context.DeadlineExceeded)
		is.True(!notified) // both notifications were used
	})
}
