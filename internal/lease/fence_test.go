package lease

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
)

// TestFenceOfLostDutyMeetsAbsentRow guards against a write of a former holder that a restored
// store performs, since the fence of a lost duty requires what is true there: no row of the duty.
func TestFenceOfLostDutyMeetsAbsentRow(t *testing.T) {
	is := is.New(t)
	e := newEpochTable(t)
	epoch := storeepoch.Epoch{Number: 1, SeenAt: 1, Stated: true}
	m := NewManager(Options{Instance: "a", Duties: []string{"orders"}, SweepUnder: "orders",
		Epoch: func() storeepoch.Epoch { return epoch }})
	m.core = e.join("a", 0)
	e.renew(m.core, afterWait)
	guard := Guard{Duty: "orders", Token: e.claim(m.core, afterWait), m: m}
	is.True(guard.Fence().Version > 0)

	e.h.epoch++ // the copy is of before the first claim
	clear(e.h.rows)
	epoch.Number = 2
	m.EpochChanged()
	_, err := e.h.commit(platform.Txn{
		Checks: []platform.Check{guard.Fence()},
		Writes: []platform.Write{{Key: "frozen", Value: []byte("{}")}},
	})
	var conflict *platform.ConflictError
	is.True(errors.As(err, &conflict))
}
