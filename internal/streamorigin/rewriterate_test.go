package streamorigin

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// rewriteLoad is what one instance's writer does from when it notices a restore.
type rewriteLoad struct {
	txns    []time.Duration // when they were sent
	took    time.Duration   // until all lost records were written again
	longest time.Duration   // wait of a new stream
}

// playRewrite writes the records of new streams and of lost ones, as writeLoop does, with a store
// that answers at once.
func playRewrite(rng *rand.Rand, noticed time.Duration, lost int, perSecond float64, length, interval time.Duration) rewriteLoad {
	var l rewriteLoad
	q := newQueue(1)
	for range lost {
		q.again = append(q.again, &item{again: true})
	}
	began := map[*item]time.Duration{}
	arrival := func(after time.Duration) time.Duration {
		return after + time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second))
	}
	next, mayWrite := arrival(noticed), noticed
	for next < length || len(q.items) > 0 {
		start := mayWrite
		if len(q.items)+len(q.again) == 0 {
			start = max(start, next)
		}
		for ; next <= start && next < length; next = arrival(next) {
			i := &item{}
			began[i] = next
			q.add(i)
		}
		waiting := len(q.again) > 0
		b, ok := q.take(boottime.Instant(start), 0)
		if !ok {
			break
		}
		for _, i := range b.items {
			if !i.again {
				l.longest = max(l.longest, start-began[i])
			}
		}
		if waiting && len(q.again) == 0 {
			l.took = start - noticed
		}
		l.txns = append(l.txns, start)
		mayWrite = start + interval
	}
	return l
}

// busiest returns the most transactions in any second.
func busiest(txns []time.Duration) int {
	slices.Sort(txns)
	most, first := 0, 0
	for i, at := range txns {
		for at-txns[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRewriteAtStatedSizes checks how long the records of a stream's life (24 s) take to be written
// again, the transactions meanwhile, and that new streams wait no longer than otherwise.
func TestRewriteAtStatedSizes(t *testing.T) {
	const perSecond, life, length = 6.5, 24 * time.Second, 30 * time.Second
	for _, c := range []struct {
		instances int
		writes    float64
	}{{8, 400}, {95, 1200}, {300, 3200}} {
		is := is.New(t)
		rate := Rate(c.writes, 200, 4)
		interval := writeInterval(c.instances, rate)
		var txns []time.Duration
		var took, longest time.Duration
		for i := range c.instances {
			rng := rand.New(rand.NewPCG(uint64(i), 8))
			noticed := time.Duration(rng.Int64N(int64(tickInterval)))
			l := playRewrite(rng, noticed, int(perSecond*life.Seconds()), perSecond, length, interval)
			txns, took, longest = append(txns, l.txns...), max(took, l.took), max(longest, l.longest)
		}
		t.Logf("%d instances: %d streams each, written again after %v at the latest, %d transactions in the busiest second of %.0f, longest wait of a new stream %v",
			c.instances, int(perSecond*life.Seconds()), took.Round(time.Millisecond), busiest(txns), rate, longest.Round(time.Millisecond))
		is.True(took <= 4*interval)
		is.True(longest <= interval)
		is.True(float64(busiest(txns)) <= rate+float64(c.instances)) // an idle instance writes at once
	}
}

// TestNewStreamsGoBeforeRewrittenOnes guards against new streams that wait for those of before a
// restore, also after a failure.
func TestNewStreamsGoBeforeRewrittenOnes(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	for range 2 * maxBatchRows {
		q.again = append(q.again, &item{again: true})
	}
	for range 2 {
		is.True(q.add(&item{}))
		b, ok := q.take(testStart, 0)
		is.True(ok)
		is.True(!b.items[0].again)
		is.Equal(len(b.items), maxBatchRows)
		q.putBack(testStart, b)
		is.Equal(len(q.again), 2*maxBatchRows)
	}
	is.Equal(len(q.items), 2)
}

// TestMemoryOfRewrite guards against what callers' ids can make an instance keep after a restore.
func TestMemoryOfRewrite(t *testing.T) {
	is := is.New(t)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	r := New(Options{Instance: "one", Tables: (&link{store: newFakeStore(4)}).tables(), Logger: hclog.NewNullLogger()})
	for i := range 4 * maxOwn {
		r.remember(digestOf(fmt.Sprint(i)), ownOrigin{origin: originRow{Service: "some-service", Version: "2026.11.3"}})
	}
	r.longest = time.Hour
	r.rewriteLost(r.now(), 1)
	r.rewriteLost(r.now(), 2)
	is.Equal(len(r.queue.again), maxOwn)
	used := heap() - before
	t.Logf("full: %.1f MB", float64(used)/(1<<20))
	is.True(used < 6<<20)
	runtime.KeepAlive(r)
}
