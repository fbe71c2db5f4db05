package main

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/confsync"
	"github.com/hawthornwick/hawthornwick/internal/lease"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/usage"
)

const (
	targetInstances      = 410
	measureTime          = 2 * time.Minute
	settleTime           = 30 * time.Second
	meteredPerSecond     = 2 // metered requests per second and instance, each of another organisation
	configChangeInterval = time.Second
)

// storeCost is the load that the control duties of a fleet put on the table service.
type storeCost struct {
	Instances int
	WriteRows float64 // per second, all instances
	ReadRows  float64 // per second, all instances
	ReadCalls float64 // per second, all instances
	BytesEach float64 // per second and instance
}

// fleetUnderTest runs the components of instances that use the table service.
type fleetUnderTest struct {
	p       *standin.Platform
	running sync.WaitGroup
	names   []string
}

func (f *fleetUnderTest) startInstance(ctx context.Context, name string, duties []string) {
	table := f.p.Caller(name).Table()
	store := confsync.New(confsync.Options{Instance: name, Table: table, Compile: compileEmpty})
	o := usage.Options{Instance: name, Table: table, Replicator: acceptingPeer{}}
	meter := usage.NewMeter(o)
	leases := lease.NewManager(lease.Options{
		Instance: name, Table: table, Duties: duties, Members: func() []string { return f.names },
	})
	leases.Do(usage.Duty, usage.NewCloser(o, f.p.Caller(name).Usage()).Work)
	f.running.Go(func() { _ = store.Run(ctx) })
	f.running.Go(func() { _ = meter.Run(ctx) })
	f.running.Go(func() { _ = leases.Run(ctx) })
	f.running.Go(func() { addUsage(ctx, meter, name) })
	if name == f.names[0] {
		f.running.Go(func() { applyChanges(ctx, store) })
	}
}

func compileEmpty(string) (config.Config, error) { return config.Config{}, nil }

// acceptingPeer accepts every batch, as a reachable peer does.
type acceptingPeer struct{}

// Replicate implements usage.Replicator.
func (acceptingPeer) Replicate(context.Context, []usage.Batch) (string, error) { return "peer", nil }

func addUsage(ctx context.Context, m *usage.Meter, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		for org := range meteredPerSecond {
			m.Add(fmt.Sprintf("%s-%d-%d", name, i, org), fmt.Sprintf("org-%d", (i+org)%2000), "class", "model", 100, 100)
		}
		time.Sleep(time.Second)
	}
}

// applyChanges commits one change per second, which exceeds 79,000 changes per
// day.
func applyChanges(ctx context.Context, store *confsync.Store) {
	for i := 0; ctx.Err() == nil; i++ {
		_, _ = store.Apply(ctx, fmt.Sprintf("# change %d\n", i), store.State().Version)
		time.Sleep(configChangeInterval)
	}
}

// measureStore runs a fleet of n instances on a synthetic clock and measures its
// load on the table service.
func measureStore(n int) storeCost {
	f := &fleetUnderTest{p: standin.New(standin.Options{})}
	duties := []string{usage.Duty, "orders"}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("i%03d", i))
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, name := range f.names {
		f.startInstance(ctx, name, duties)
	}
	time.Sleep(settleTime)
	f.p.ResetCounts()
	time.Sleep(measureTime)
	sum := f.p.Counts("", standin.TableInterface)
	cancel()
	f.running.Wait()
	f.p.Close()
	seconds := measureTime.Seconds()
	return storeCost{
		Instances: n, WriteRows: float64(sum.WriteRows) / seconds, ReadRows: float64(sum.ReadRows) / seconds,
		ReadCalls: float64(sum.ReadCalls) / seconds, BytesEach: float64(sum.Bytes) / seconds / float64(n),
	}
}

// TestControlStoreBudget checks that the control duties stay within the table
// service's budget up to the target size: 300 row writes and 1,500 row reads per
// second.
func TestControlStoreBudget(t *testing.T) {
	const maxWrites, maxReads = 300, 1500
	for _, n := range []int{2, 8, 50, targetInstances} {
		synctest.Test(t, func(t *testing.T) {
			c := measureStore(n)
			t.Logf("%3d instances: %.1f row writes/s, %.1f row reads/s in %.1f calls/s, %.0f bytes/s per instance",
				n, c.WriteRows, c.ReadRows, c.ReadCalls, c.BytesEach)
			if c.WriteRows > maxWrites || c.ReadRows > maxReads {
				t.Errorf("%d instances: %.1f row writes/s and %.1f row reads/s exceed the budget of %d and %d",
					n, c.WriteRows, c.ReadRows, maxWrites, maxReads)
			}
		})
	}
}
