package quarantine

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
)

// TestNoTrialRightAfterRestore guards against a second trial at once, since a restored store has
// lost the claim of the first.
func TestNoTrialRightAfterRestore(t *testing.T) {
	is := is.New(t)
	age, stated := time.Duration(0), true
	c := NewTableClaims(TableClaimsOptions{
		Instance: "a", Table: standin.New(standin.Options{}).Caller("a").Table(), Now: func() time.Time { return start },
		Logger: hclog.NewNullLogger(), EpochAge: func() (time.Duration, bool) { return age, stated },
	})
	is.True(!c.Acquire())
	age = maxTrialTime - 1
	is.True(!c.Acquire())
	age = maxTrialTime
	is.True(c.Acquire())
	c.Release()
	age, stated = 0, false // a store without epochs is never restored
	is.True(!c.mayBeLost())
}
