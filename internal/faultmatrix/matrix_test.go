package faultmatrix

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
	"github.com/hawthornwick/hawthornwick/internal/usage"
)

var scenarios = map[string]func(t *testing.T, c Cell){
	scenarioPath:   runPath,
	scenarioLease:  func(t *testing.T, c Cell) { runFleet(t, c, launchOrders) },
	scenarioConfig: func(t *testing.T, c Cell) { runFleet(t, c, launchConfig) },
	scenarioUsage:  runUsage,
	scenarioMember: runMember,
}

// runUsage injects the cell's faults into a fleet that meters and reports usage. It
// compares the reports with the metered usage of all windows but the last two,
// which may not be reported yet.
func runUsage(t *testing.T, c Cell) {
	synctest.Test(t, func(t *testing.T) {
		shared := &custodySet{held: make(map[string]*usage.ReplicaStore)}
		f := newFleet(t, c, shared.launchUsage)
		f.run(c)
		time.Sleep(usageSettle)
		through := usage.WindowAt(time.Now().Add(-2 * usage.WindowLength))
		f.checkBilled(c.has(InstanceCrash), through)
		f.finish()
	})
}

// runFleet injects the cell's faults into a fleet whose instances run launch.
func runFleet(t *testing.T, c Cell, launch func(ctx context.Context, n *node)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, c, launch)
		f.run(c)
		f.finish()
	})
}

// TestMatrix runs every cell that has a scenario, except those that KNOWN-RED.txt
// lists.
func TestMatrix(t *testing.T) {
	for _, c := range Table() {
		if c.Scenario == "" {
			continue
		}
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			knownred.Skip(t)
			scenarios[c.Scenario](t, c)
		})
	}
}
