package lease

import (
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
)

// Budget of the leases. The table service handles several hundred writes and about 2,000
// reads per second for all purposes together.
const (
	maxLeaseWrites = 120.0 // rows per second of all instances
	maxLeaseReads  = 500.0
	budgetDuties   = 63 // 64 with the sweep
	budgetSettle   = 20 * time.Second
	budgetSpan     = 30 * time.Second
)

// storeRate is the load of a fleet on the table service per second.
type storeRate struct{ writes, reads, readCalls, bytes float64 }

func measureStore(t *testing.T, instances int) (rate storeRate) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(instances, budgetDuties)
		defer f.stop()
		f.startAll()
		time.Sleep(budgetSettle)
		f.p.ResetCounts()
		time.Sleep(budgetSpan)
		n := f.p.Counts("", standin.TableInterface)
		seconds := budgetSpan.Seconds()
		rate = storeRate{
			writes:    float64(n.WriteRows) / seconds,
			reads:     float64(n.ReadRows) / seconds,
			readCalls: float64(n.ReadCalls) / seconds,
			bytes:     float64(n.Bytes) / seconds,
		}
		if !f.allHeld(t, -1) {
			t.Fatalf("not every duty is held with %d instances", instances)
		}
	})
	return rate
}

func TestStoreBudgetOfLeases(t *testing.T) {
	t.Logf("%9s %12s %12s %12s %14s", "instances", "row writes/s", "row reads/s", "read calls/s", "bytes/s/instance")
	for _, instances := range []int{2, 8, 50, 410} {
		rate := measureStore(t, instances)
		t.Logf("%9d %12.1f %12.1f %12.1f %14.0f", instances, rate.writes, rate.reads, rate.readCalls, rate.bytes/float64(instances))
		if rate.writes > maxLeaseWrites || rate.reads > maxLeaseReads {
			t.Errorf("%d instances write %.1f and read %.1f rows per second", instances, rate.writes, rate.reads)
		}
	}
}
