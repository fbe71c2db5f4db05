package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// TestListOfServersIsNoEvidenceBeforeTheyRegister guards against a list of a restored store, or of
// one that was away, by which a process is believed in whose place another one runs.
func TestListOfServersIsNoEvidenceBeforeTheyRegister(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.addServer("a", 0)
	began := boottime.Now()
	r := w.startReady("one")
	counts := func() bool { return !r.view.serversAsOf().IsZero() }
	const longest = restoreGrace + standaloneServersWait + feedTimeout
	eventually(t, longest, "a list after the start", counts)
	is.True(boottime.Now().Sub(began) >= restoreGrace)
	w.restoreBefore(func() {})
	eventually(t, longest, "no list after the restore", func() bool { return !counts() })
	neverFor(t, restoreGrace-500*time.Millisecond, "a list soon after the restore", counts)
	eventually(t, longest, "a list after the restore", counts)
}
