package edge

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/logsink"
)

// TestCountsAreWrittenAgain guards against counts that a restored store has lost and that are
// missing until this instance counts something else.
func TestCountsAreWrittenAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	sink := logsink.New(&lockedBuffer{}, 0)
	e, err := New(Settings{
		Instance: "one", Zone: "z", CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
		Bounds: Bounds{Grace: time.Second, Propagation: 2 * time.Second, Leaving: 2 * time.Second, Lease: 3 * time.Second},
		Usage:  UsageSettings{Window: 24 * time.Hour, Due: 48 * time.Hour}, Duties: Duties{Usage: true},
	}, w.platform("one"), sink)
	is.NoErr(err)
	var running sync.WaitGroup
	defer running.Wait()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	running.Go(func() {
		defer sink.Close()
		if err := e.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	stored := func() bool {
		rows, err := w.store.Table("duties").List(t.Context(), "usage/counts/", "", 10)
		return err == nil && len(rows) == 1
	}
	w.restoreBefore(func() {
		e.duties.meter.Began("org", 0)
		eventually(t, 10*time.Second, "stored", stored)
	})
	is.True(!stored())
	eventually(t, 4*time.Second, "stored again", stored)
}
