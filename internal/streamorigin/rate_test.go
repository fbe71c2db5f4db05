package streamorigin

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRateAtStatedSizes measures, with a store that answers at once, the transactions a second and the
// wait for the acknowledgement at the sizes of docs/design/0108-stream-versions.md, if each stream is
// recorded.
func TestRateAtStatedSizes(t *testing.T) {
	const streamsPerInstance, length = 6.5, 10 * time.Second // 52 streams a second at 8 instances
	for _, c := range []struct {
		instances int
		writes    float64
	}{{8, 400}, {95, 1200}, {300, 3200}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, "v1", "v2")
			w.rate = Rate(c.writes, 200, 4)
			var nodes []*node
			for range c.instances {
				nodes = append(nodes, w.start(false))
			}
			time.Sleep(time.Second)
			before, start := w.store.commitCount(), time.Now()
			var running sync.WaitGroup
			var mu sync.Mutex
			var sum, longest time.Duration
			streams := 0
			for i, n := range nodes {
				rng := rand.New(rand.NewPCG(uint64(i), 7))
				running.Go(func() {
					end := time.Now().Add(length)
					for k := 0; ; k++ {
						time.Sleep(time.Duration(rng.ExpFloat64() / streamsPerInstance * float64(time.Second)))
						if !time.Now().Before(end) {
							return
						}
						running.Go(func() {
							begun := time.Now()
							if err := n.begin(t.Context(), fmt.Sprint(i, "/", k), "v2"); err != nil {
								t.Error(err)
							}
							mu.Lock()
							defer mu.Unlock()
							sum, longest, streams = sum+time.Since(begun), max(longest, time.Since(begun)), streams+1
						})
					}
				})
			}
			running.Wait()
			interval := writeInterval(c.instances, w.rate)
			elapsed := time.Since(start).Seconds()
			txns := float64(w.store.commitCount() - before)
			mean := sum / time.Duration(streams)
			t.Logf("%d instances: %.0f streams a second, %.0f transactions a second of %.0f, mean wait %v, longest %v",
				c.instances, float64(streams)/length.Seconds(), txns/elapsed, w.rate, mean.Round(time.Millisecond), longest.Round(time.Millisecond))
			is.True(txns <= w.rate*elapsed+float64(c.instances)) // an idle instance writes at once
			is.True(longest <= interval)
		})
	}
}

// TestMemoryOfOneInstance guards against what callers' ids can make an instance keep.
func TestMemoryOfOneInstance(t *testing.T) {
	is := is.New(t)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	r := New(Options{Instance: "one", Tables: (&link{store: newFakeStore(4)}).tables()})
	value := []byte(`{"service":"some-service","version":"2026.11.3"}`)
	for i := range 4 * maxOwn {
		id := fmt.Sprint("a long id that a caller has chosen, and that is not kept ", i)
		r.remember(digestOf(id), "some-service", "2026.11.3")
		for table := range 4 {
			r.queue.expire(table, 1, originID{attempt: digestOf(id)})
		}
		r.submit(&item{id: originID{attempt: digestOf(id)}, value: append([]byte(nil), value...), done: make(chan struct{})})
	}
	used := heap() - before
	t.Logf("full: %.1f MB", float64(used)/(1<<20))
	is.True(used < 6<<20)
	runtime.KeepAlive(r)
}
