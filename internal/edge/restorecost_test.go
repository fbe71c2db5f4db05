package edge

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/logsink"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

var (
	costInstances = flag.Int("cost-instances", 8, "instances in TestRestoreCost")
	costServers   = flag.Int("cost-servers", 32, "backend servers in TestRestoreCost")
)

// instancesPerZone is the number of instances of an availability zone in TestRestoreCost.
const instancesPerZone = 30

// meteredStore counts the calls of all instances in each second.
type meteredStore struct {
	mu     sync.Mutex
	began  time.Time
	reads  []int
	writes []int
}

func (m *meteredStore) count(calls *[]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	second := int(time.Since(m.began) / time.Second)
	for len(*calls) <= second {
		*calls = append(*calls, 0)
	}
	(*calls)[second]++
}

func (m *meteredStore) countRead() { m.count(&m.reads) }

// during returns the largest number of reads and of writes in a second, and their means, from one
// second to another.
func (m *meteredStore) during(from, to int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	readMax, readMean := maxAndMean(m.reads, from, to)
	writeMax, writeMean := maxAndMean(m.writes, from, to)
	return fmt.Sprintf("reads a second: %d at most, %.1f on average; writes: %d, %.1f", readMax, readMean, writeMax, writeMean)
}

// most returns the largest number of reads and of writes in a second.
func (m *meteredStore) most() (reads, writes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reads, _ = maxAndMean(m.reads, 0, len(m.reads))
	writes, _ = maxAndMean(m.writes, 0, len(m.writes))
	return reads, writes
}

func maxAndMean(calls []int, from, to int) (int, float64) {
	most, sum := 0, 0
	for second := from; second < to && second < len(calls); second++ {
		most = max(most, calls[second])
		sum += calls[second]
	}
	return most, float64(sum) / float64(max(to-from, 1))
}

type meteredFeed struct {
	tablefeed.Feed
	*meteredStore
}

func (f meteredFeed) Read(ctx context.Context, after string) (tablefeed.Page, error) {
	f.countRead()
	return f.Feed.Read(ctx, after)
}

func (f meteredFeed) Changes(ctx context.Context, since uint64, hold time.Duration) (tablefeed.Page, error) {
	f.countRead()
	return f.Feed.Changes(ctx, since, hold)
}

type meteredTable struct {
	platform.Table
	*meteredStore
}

func (t meteredTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	t.countRead()
	return t.Table.Get(ctx, keys...)
}

func (t meteredTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.countRead()
	return t.Table.List(ctx, prefix, after, limit)
}

func (t meteredTable) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	t.count(&t.writes)
	return t.Table.Commit(ctx, txn)
}

// startMetered starts an instance whose calls are counted. It stops when ctx ends.
func (w *testPlatform) startMetered(ctx context.Context, running *sync.WaitGroup, n int, m *meteredStore) *Edge {
	w.t.Helper()
	name := fmt.Sprintf("instance-%d", n)
	p := w.platform(name)
	p.Operators, p.Servers, p.Instances = meteredFeed{p.Operators, m}, meteredFeed{p.Servers, m}, meteredFeed{p.Instances, m}
	p.InstanceRows, p.Duties = meteredTable{p.InstanceRows, m}, meteredTable{p.Duties, m}
	sink := logsink.New(&lockedBuffer{}, 0)
	e, err := New(Settings{
		Instance: name, Zone: fmt.Sprintf("z%d", n/instancesPerZone), Cores: 1,
		CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
		Bounds: Bounds{
			Grace: time.Second, Propagation: 2 * time.Second, Revocation: 5 * time.Second, Leaving: 2 * time.Second,
			RetrySpan: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 20, Lease: 3 * time.Second,
		},
		Usage: UsageSettings{Window: 10 * time.Second, Due: 20 * time.Second}, Duties: Duties{Usage: true},
	}, p, sink)
	if err != nil {
		w.t.Fatal(err)
	}
	running.Go(func() {
		defer sink.Close()
		if err := e.Run(ctx); err != nil {
			w.t.Errorf("instance %s: %v", name, err)
		}
	})
	return e
}

// currentIn returns how long after the first answer of an epoch an instance has read all tables in
// it, or false if it has not yet.
func (e *Edge) currentIn(epoch uint64) (time.Duration, bool) {
	for _, f := range []*tablefeed.Follower{e.view.operators, e.view.servers, e.members.follower} {
		if platform.EpochOf(f.Version()) < epoch {
			return 0, false
		}
	}
	age, _ := epochAge(e.view.platform.Epochs)
	return age, true
}

// TestRestoreCost checks that after a restore of the store all instances are current again within
// 3 s of their first answer, and that they keep the rates of a platform of their size. With
// -cost-instances it is the run of docs/CAPACITY.md.
func TestRestoreCost(t *testing.T) {
	t.Parallel()
	const (
		currentWithin = 3 * time.Second
		settled       = 12 // seconds from the start to the restore
		after         = 8  // seconds from the restore to the end
	)
	is := is.New(t)
	w := newTestPlatform(t)
	for n := range *costServers {
		w.store.Put("servers", fmt.Sprintf("s%d", n), fmt.Appendf(nil, `{"ID":"s%d","Service":"s","Address":"127.0.0.1:%d","Zone":"z0","Capacity":64}`, n, 1024+n))
	}
	m := &meteredStore{began: time.Now()}
	var running sync.WaitGroup
	defer running.Wait()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var instances []*Edge
	for n := range *costInstances {
		instances = append(instances, w.startMetered(ctx, &running, n, m))
	}
	time.Sleep(time.Until(m.began.Add(settled * time.Second)))
	w.store.SetDown(true)
	time.Sleep(time.Second)
	w.store.Restore(3 * time.Second)
	restored := int(time.Since(m.began) / time.Second)
	w.store.SetDown(false)
	back := boottime.Now()
	var slowest time.Duration
	waiting := instances
	for len(waiting) > 0 && boottime.Now().Sub(back) < 4*currentWithin {
		var left []*Edge
		for _, e := range waiting {
			age, ok := e.currentIn(1)
			if !ok {
				left = append(left, e)
				continue
			}
			slowest = max(slowest, age)
		}
		waiting = left
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%d instances: the slowest was current %v after its first answer, all %v after the return", len(instances), slowest, boottime.Now().Sub(back))
	time.Sleep(time.Until(m.began.Add((settled + 1 + after) * time.Second)))
	t.Logf("before: %s", m.during(settled-5, settled))
	t.Logf("after:  %s", m.during(restored, restored+5))
	is.Equal(len(waiting), 0)
	is.True(slowest <= currentWithin)
	reads, writes := m.most()
	readRate, writeRate := storeRates(len(instances))
	is.True(reads <= readRate)
	is.True(writes <= writeRate)
}

// storeRates returns the calls a second that the platform's store takes from a number of instances.
func storeRates(instances int) (reads, writes int) {
	switch {
	case instances <= 8:
		return 2000, 400
	case instances <= 95:
		return 6000, 1200
	}
	return 16000, 3200
}
