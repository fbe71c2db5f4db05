package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// TestLostAnswerNowAndThenLeavesListsOfServers guards against a list of servers that counts for nothing
// for as long as one call in two seconds to the store fails, although each outage was short.
func TestLostAnswerNowAndThenLeavesListsOfServers(t *testing.T) {
	knownred.Skip(t)
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.addServer("a", 0)
	r := w.startReady("one")
	eventually(t, restoreGrace+standaloneServersWait+feedTimeout, "a list after the start", func() bool { return !r.view.serversAsOf().IsZero() })
	counted := 0
	for range 5 {
		r.view.applyServers(tablefeed.Update{Gap: 100 * time.Millisecond}) // as after one lost answer
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if !r.view.serversAsOf().IsZero() {
				counted++
			}
		}
	}
	t.Logf("a list counted at %d of 100 moments", counted)
	is.True(counted > 0)
}
