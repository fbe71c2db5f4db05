package streamorigin

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
)

// TestReadPace checks that take-ups after a rest may read at once, and later ones at the rate.
func TestReadPace(t *testing.T) {
	is := is.New(t)
	var p readPace
	now := boottime.Instant(time.Hour)
	interval := 100 * time.Millisecond
	var delays []time.Duration
	for {
		delay, ok := p.turn(now, interval)
		if !ok {
			is.True(delay > maxFindWait)
			break
		}
		delays = append(delays, delay)
	}
	is.Equal(len(delays), 31) // of one second at once, and of the two that may be waited
	is.Equal(delays[10], time.Duration(0))
	is.Equal(delays[11], interval)
	delay, ok := p.turn(now.Add(time.Minute), interval)
	is.True(ok)
	is.Equal(delay, time.Duration(0))
}

// TestFloodOfTakeUpsIsLimited guards against a flood of resumptions that uses up the store's reads.
func TestFloodOfTakeUpsIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, _, other := settled(t, "v1", "v2")
		other.options.ReadRate = 10 * float64(other.options.Instances())
		var limited int
		results := make(chan error)
		for range 100 {
			go func() {
				_, err := other.Find(t.Context(), "a stream of another instance", "s")
				results <- err
			}()
		}
		for range 100 {
			var unknown *gateway.OriginUnknownError
			if err := <-results; errors.As(err, &unknown) {
				is.True(unknown.RetryAfter > maxFindWait)
				limited++
			}
		}
		is.Equal(limited, 100-31)
	})
}
