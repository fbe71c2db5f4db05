package streamorigin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCancelledResumptionsLeaveTheirTurns guards against callers that left and still use up the reads of
// the others.
func TestCancelledResumptionsLeaveTheirTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, _, other := settled(t, "v1", "v2")
		other.options.ReadRate = 10 * float64(other.options.Instances())
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan error)
		const callers = 31 // one second at once, and two that may be waited
		for range callers {
			go func() {
				_, err := other.Find(ctx, "a stream of another instance", "s")
				results <- err
			}()
		}
		synctest.Wait()
		cancel()
		for range callers {
			<-results
		}
		start := time.Now()
		_, err := other.Find(t.Context(), "a stream of another instance", "s")
		is.NoErr(err)
		is.True(time.Since(start) <= 200*time.Millisecond) // the turn after those who read
	})
}
