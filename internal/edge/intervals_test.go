package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStoreLoadGrowsSublinearly guards against calls to the store that grow as fast as
// the number of instances.
func TestStoreLoadGrowsSublinearly(t *testing.T) {
	is := is.New(t)
	perSecond := func(n int) float64 {
		each := 1/operatorsWait(roleStandalone, n, 5*time.Second).Seconds() + 1/serversPause(roleStandalone, n, 3*time.Second).Seconds() +
			2/presenceInterval(n).Seconds() + 1/saveInterval(n, 5*time.Second).Seconds()
		return each * float64(n)
	}
	is.True(perSecond(80) < 5*perSecond(8)) // ten times the instances
}

// TestIntervalsWithinBounds guards against intervals that exceed the guaranteed limits
// when there are many instances.
func TestIntervalsWithinBounds(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 8, 91, 410} {
		is.True(serversPause(roleStandalone, n, 2*time.Second) < 1500*time.Millisecond) // a draining server receives no new requests after 2 s
		for _, revocation := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
			is.True(operatorsWait(roleStandalone, n, revocation) < revocation-revocationMargin) // keys stay usable in normal operation
		}
		is.True(saveInterval(n, 5*time.Second) <= 5*time.Second) // each window is stored before its report is due
	}
}
