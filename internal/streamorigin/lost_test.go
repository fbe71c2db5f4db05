package streamorigin

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/gateway"
)

// TestLostOriginIsUnknownEverywhere guards against a stream that goes on at the version that was
// chosen, although it is not certain any more that this one began it.
func TestLostOriginIsUnknownEverywhere(t *testing.T) {
	for _, version := range []string{"v1", "v2"} { // without and with a record before
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w, _, other := settled(t, "v1", "v2")
			c := other.Track("a", "s")
			c.Sending(version)
			is.NoErr(c.Confirm(t.Context()))
			c.Lost()
			c.Ended() // does not take the record back
			time.Sleep(time.Second)
			for _, n := range []*node{other, w.start(false)} {
				_, err := n.Find(t.Context(), "a", "s")
				var unknown *gateway.OriginUnknownError
				is.True(errors.As(err, &unknown))
				is.Equal(unknown.RetryAfter, time.Duration(0)) // it will never be known
			}
		})
	}
}
