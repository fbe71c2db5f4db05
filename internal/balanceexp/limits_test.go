package balanceexp

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// TestNamedLimitHolds guards against a server that gets more requests than the rate limit
// that it has named, summed over the instances that know of it.
func TestNamedLimitHolds(t *testing.T) {
	for _, d := range limitDays() {
		for _, instances := range []int{7, 20, 95} {
			t.Run(fmt.Sprintf("%s/%d", d.Name, instances), func(t *testing.T) {
				knownred.Skip(t)
				t.Parallel()
				r := Experiment{Day: d, Seed: 1, Length: 30 * time.Second, Servers: 18, Instances: instances}.Run()
				if r.LimitExcess > 0 {
					t.Errorf("a server got %d requests more than is tolerated in %v", r.LimitExcess, limitWindow)
				}
			})
		}
	}
}

// TestUrgentFirstWhenServersAreLimited guards against less urgent requests that are served
// better than urgent ones while all servers name limits below the load.
func TestUrgentFirstWhenServersAreLimited(t *testing.T) {
	for _, instances := range []int{7, 20, 95} {
		r := Experiment{Day: dayNamed(t, "all limited"), Seed: 1, Length: 30 * time.Second, Servers: 18, Instances: instances}.Run()
		short, middle, long := r.Kinds["short"].Value(), r.Kinds["middle"].Value(), r.Kinds["long"].Value()
		t.Logf("%d instances: short %.3f, middle %.3f, long %.3f", instances, short, middle, long)
		if short < middle || middle < long {
			t.Errorf("%d instances: short %.3f, middle %.3f, long %.3f", instances, short, middle, long)
		}
	}
}

// TestLooseLimitCostsCallersNothing guards against a limit near what the server gets anyhow
// that makes answers fewer or later.
func TestLooseLimitCostsCallersNothing(t *testing.T) {
	for _, instances := range []int{7, 20, 95} {
		x := Experiment{Day: dayNamed(t, "loose limit"), Servers: 18, Instances: instances}
		limited := mean(t, x, value)
		x.Day = dayNamed(t, "calm")
		calm := mean(t, x, value)
		t.Logf("%d instances: %.3f, without a limit %.3f", instances, limited, calm)
		if limited < 0.995*calm {
			t.Errorf("%d instances: %.3f, without a limit %.3f", instances, limited, calm)
		}
	}
}
