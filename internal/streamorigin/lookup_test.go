package streamorigin

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// TestUnreadableBaseLeavesRecords guards against refused resumptions of recorded streams while a base
// row cannot be read.
func TestUnreadableBaseLeavesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		is.NoErr(other.begin(t.Context(), "a", "v2"))
		_, err := w.store.apply(0, platform.Txn{Writes: []platform.Write{{Key: basePrefix + "s", Value: []byte("x")}}})
		is.NoErr(err)
		fresh := w.start(false)
		version, err := fresh.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
		_, err = fresh.Find(t.Context(), "without a record", "s")
		after, refused := retryAfter(err)
		is.True(refused)
		is.True(after > 0)
	})
}
