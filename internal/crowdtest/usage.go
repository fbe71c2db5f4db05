package crowdtest

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

// usage is what a process holds, or the difference of two measurements.
type usage struct {
	heap        int64 // bytes of live objects and stacks
	descriptors int
	goroutines  int
}

// measure measures what the process holds as of the start of a collection.
func measure() usage {
	open, _ := os.ReadDir("/proc/self/fd")
	return usage{heap: liveBytes(), descriptors: len(open), goroutines: runtime.NumGoroutine()}
}

const (
	// measuringGCPercent makes collections so frequent that little is allocated during one.
	measuringGCPercent = 10
	measurements       = 16
)

// liveBytes returns the bytes of the stacks and of the objects that a collection found live. It
// never returns less than what is held, but may return more: what is allocated while a
// collection runs counts as live in any case. The least of several collections is returned,
// each of which counts all that is held.
func liveBytes() int64 {
	defer debug.SetGCPercent(debug.SetGCPercent(measuringGCPercent))
	runtime.GC() // sync.Pool keeps objects for one collection
	least := uint64(math.MaxUint64)
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	for range measurements {
		runtime.GC()
		metrics.Read(samples)
		least = min(least, samples[0].Value.Uint64()+samples[1].Value.Uint64())
	}
	return int64(least)
}

func (u usage) less(v usage) usage {
	return usage{heap: u.heap - v.heap, descriptors: u.descriptors - v.descriptors, goroutines: u.goroutines - v.goroutines}
}

func (u usage) max(v usage) usage {
	return usage{heap: max(u.heap, v.heap), descriptors: max(u.descriptors, v.descriptors), goroutines: max(u.goroutines, v.goroutines)}
}
