package edge

import (
	"testing"
	"time"
)

// restoreBefore restores the store to a copy of before f was called.
func (w *testPlatform) restoreBefore(f func()) {
	time.Sleep(20 * time.Millisecond)
	before := time.Now()
	time.Sleep(20 * time.Millisecond)
	f()
	w.store.Restore(time.Since(before))
}

// TestChangesAfterRestoreAreFollowed guards against changes that are missed for good, since the
// store gives the numbers of the lost ones out again.
func TestChangesAfterRestoreAreFollowed(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.addServer("a", 0)
	r := w.startReady("one")
	w.restoreBefore(func() {
		for range 20 {
			w.store.Put("op", "config", nil) // unreadable
		}
		time.Sleep(100 * time.Millisecond)
	})
	w.putConfig(7, "new") // under a lower number than the one that was read
	eventually(t, 2*time.Second, "the new version in force", func() bool { return r.view.Table().Version == 7 })
}
