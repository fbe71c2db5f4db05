package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// TestDiscardedAnswersAreLogged guards against answers that are discarded without a word, and against
// a line for each of them.
func TestDiscardedAnswersAreLogged(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.addServer("a", 0)
	w.store.SetEpoch(3)
	r := w.startReady("one")
	for range 100 {
		is.New(t).True(r.view.platform.Epochs.Observe(2, boottime.Now()) != nil)
	}
	log := func() string {
		r.log.mu.Lock()
		defer r.log.mu.Unlock()
		return r.log.buf.String()
	}
	lines := func() int { return strings.Count(log(), "answers of the store were discarded") }
	eventually(t, time.Second, "a line", func() bool { return lines() > 0 })
	is.New(t).Equal(lines(), 1)
	is.New(t).True(strings.Contains(log(), `"count":1`))
}
