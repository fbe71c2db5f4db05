package tally

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// TestSaverWritesAgainAfterRestore guards against counts that a restored store has lost and that are
// not written again, since nothing was counted after they had been.
func TestSaverWritesAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable()
		m := NewMeter(time.Hour, time.Now)
		m.Began("org", 0)
		s := newSaver(m, table, "i/1", nil)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		stored := func() int {
			synctest.Wait()
			rows, err := table.List(ctx, countsPrefix, "", 10)
			is.NoErr(err)
			return len(rows)
		}
		time.Sleep(s.interval() + time.Millisecond)
		is.Equal(stored(), 1)
		_, err := table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: s.key, Delete: true}}})
		is.NoErr(err)
		is.Equal(stored(), 0)
		s.Restored()
		time.Sleep(maxRestoreDelay)
		is.Equal(stored(), 1)
		cancel()
		running.Wait()
	})
}
