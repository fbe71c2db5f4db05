package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhatInstancesAskTogetherGrowsLessThanTheirNumber(t *testing.T) {
	is := is.New(t)
	perSecond := func(n int) float64 {
		each := 1/operatorsWait(partAlone, n, 5*time.Second).Seconds() + 1/serversPause(partAlone, n, 3*time.Second).Seconds() +
			2/presenceInterval(n).Seconds() + 1/saveInterval(n, 5*time.Second).Seconds()
		return each * float64(n)
	}
	is.True(perSecond(80) < 5*perSecond(8)) // ten times the instances
}

func TestPausesKeepThePromises(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 8, 91, 410} {
		is.True(serversPause(partAlone, n, 2*time.Second) < 1500*time.Millisecond) // a leaving server gets nothing after 2 s
		for _, revocation := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
			is.True(operatorsWait(partAlone, n, revocation) < revocation-revocationMargin) // keys stay proved while all is well
		}
		is.True(saveInterval(n, 5*time.Second) <= 5*time.Second) // each window is stored before its report is due
	}
}
