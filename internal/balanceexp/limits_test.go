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
