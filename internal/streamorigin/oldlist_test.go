package streamorigin

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestOldListBeginsNoStream guards against a stream at a version that others have not seen for so
// long that a restore with a lost record may hide it.
func TestOldListBeginsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, _, other := settled(t, "v1", "v2")
		other.mu.Lock()
		other.cut = true // from the list only
		other.mu.Unlock()
		time.Sleep(timesFor(10*time.Second).trust - 5*time.Second)
		is.NoErr(other.begin(t.Context(), "a", "v2"))
		time.Sleep(10 * time.Second)
		var failed *NotRecordedError
		is.True(errors.As(other.begin(t.Context(), "b", "v2"), &failed))
	})
}
