package streamorigin

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// load is what one instance's writer does with its streams.
type load struct {
	streams, txns int
	sum, longest  time.Duration // waits for the acknowledgement
}

// play writes the records of streams that begin at random times, as writeLoop does, with a store
// that answers at once.
func play(rng *rand.Rand, perSecond float64, length, interval time.Duration) load {
	var l load
	q := newQueue(1)
	began := map[*item]time.Duration{}
	arrival := func(after time.Duration) time.Duration {
		return after + time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second))
	}
	next, mayWrite := arrival(0), time.Duration(0)
	for next < length || len(q.items) > 0 {
		start := mayWrite
		if len(q.items) == 0 {
			start = max(start, next)
		}
		for ; next <= start && next < length; next = arrival(next) {
			i := &item{}
			began[i] = next
			q.add(i)
			l.streams++
		}
		b, ok := q.take(boottime.Instant(start), 0)
		if !ok {
			break
		}
		for _, i := range b.items {
			l.sum, l.longest = l.sum+start-began[i], max(l.longest, start-began[i])
		}
		l.txns++
		mayWrite = start + interval
	}
	return l
}

// TestRateAtStatedSizes checks the transactions a second and the waits at the sizes of
// docs/design/0108-stream-versions.md.
func TestRateAtStatedSizes(t *testing.T) {
	const length = time.Minute
	for _, c := range []struct {
		instances int
		writes    float64
		perSecond float64 // recorded streams of one instance
	}{{8, 400, 6.5}, {95, 1200, 6.5}, {300, 3200, 6.5}, {8, 400, 3.25}, {95, 1200, 3.25}, {300, 3200, 3.25}} {
		is := is.New(t)
		rate := Rate(c.writes, 200, 4)
		interval := writeInterval(c.instances, rate)
		var all load
		for i := range c.instances {
			l := play(rand.New(rand.NewPCG(uint64(i), 7)), c.perSecond, length, interval)
			all = load{all.streams + l.streams, all.txns + l.txns, all.sum + l.sum, max(all.longest, l.longest)}
		}
		t.Logf("%d instances: %.0f streams a second, %.0f transactions a second of %.0f, mean wait %v, longest %v",
			c.instances, float64(all.streams)/length.Seconds(), float64(all.txns)/length.Seconds(), rate,
			(all.sum / time.Duration(all.streams)).Round(time.Millisecond), all.longest.Round(time.Millisecond))
		is.True(float64(all.txns) <= rate*length.Seconds()+float64(c.instances)) // an idle instance writes at once
		is.True(all.longest <= interval)
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
		r.remember(digestOf(id), ownOrigin{origin: originRow{Service: "some-service", Version: "2026.11.3"}})
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
