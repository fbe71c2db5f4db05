package crowdtest

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

const (
	heldBytes = 8 << 20
	// slackBytes is what the measurement itself and the runtime may add.
	slackBytes = 1 << 20
	// garbageBytes is a tenth of the bound of a crowd.
	garbageBytes = MaxHeapBytes / 10
)

// TestHeldObjectsAreCounted guards against a measurement that misses what a process holds.
func TestHeldObjectsAreCounted(t *testing.T) {
	is := is.New(t)
	before := measure()
	var held [][]byte
	for range heldBytes / (32 << 10) {
		held = append(held, make([]byte, 32<<10))
	}
	added := measure().less(before).heap
	is.True(added >= heldBytes-slackBytes && added <= heldBytes+slackBytes)
	runtime.KeepAlive(held)
	held = nil
	added = measure().less(before).heap
	is.True(added <= slackBytes)
}

// TestGarbageIsNotCounted guards against a measurement that counts what is allocated while it
// is taken, and that nobody holds.
func TestGarbageIsNotCounted(t *testing.T) {
	is := is.New(t)
	var newest atomic.Pointer[[]byte] // makes the slices escape to the heap
	before := measure()
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					garbage := make([]byte, 32<<10)
					newest.Store(&garbage)
				}
			}
		})
	}
	most := int64(0)
	for range 10 {
		most = max(most, measure().less(before).heap)
	}
	close(stop)
	running.Wait()
	t.Logf("at most %d KB", most>>10)
	is.True(most <= garbageBytes)
}
