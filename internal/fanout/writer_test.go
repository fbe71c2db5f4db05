package fanout

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/standin/store"
)

func checkedWrite(key string, version uint64) platform.Txn {
	return platform.Txn{
		Checks: []platform.Check{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: []byte("x")}},
	}
}

func TestWriterBatchesCheckedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := store.New()
		s.Put("duties", "taken", nil)
		calls := s.Calls()
		w := NewWriter(s.Table("duties"))
		outcomes := make(chan error, 3)
		for _, key := range []string{"a", "taken", "b"} {
			go func() {
				version, err := w.Write(t.Context(), Entry{Key: key, Checked: true})
				is.True(err != nil || version > 0)
				outcomes <- err
			}()
		}
		conflicts := 0
		for range 3 {
			var conflict *platform.ConflictError
			if errors.As(<-outcomes, &conflict) {
				is.Equal(conflict.Key, "taken")
				conflicts++
			}
		}
		is.Equal(conflicts, 1)
		is.Equal(s.Calls()-calls, 2) // the batch is retried once without the conflicting entry
	})
}

func TestWriterDelaysUncheckedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := store.New()
		w := NewWriter(s.Table("instances"))
		start := time.Now()
		for i := range 5 {
			_, err := w.Write(t.Context(), Entry{Key: fmt.Sprint(i)})
			is.NoErr(err)
		}
		is.Equal(time.Since(start), time.Duration(0))
		time.Sleep(maxUncheckedDelay + time.Millisecond)
		synctest.Wait()
		page, err := s.Feed("instances").Read(t.Context(), "")
		is.NoErr(err)
		is.Equal(len(page.Rows), 5)
		is.Equal(s.Calls(), 2) // one write, one read
	})
}

func TestTableWritesThroughSource(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	versions, err := p.table.Commit(t.Context(), checkedWrite("a", 0))
	is.NoErr(err)
	_, err = p.table.Commit(t.Context(), checkedWrite("a", 0))
	var conflict *platform.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, versions[0])
	_, err = p.table.Commit(t.Context(), checkedWrite("a", versions[0]))
	is.NoErr(err)
}

func TestTableDoesNotRetryUnknownOutcome(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.unresponsive.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := p.table.Commit(ctx, checkedWrite("a", 0))
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.Equal(p.backing.Calls(), 0)
}

func TestTableFallsBackToStore(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.isSource = false
	versions, err := p.table.Commit(t.Context(), checkedWrite("a", 0))
	is.NoErr(err)
	is.True(versions[0] > 0)
	is.Equal(p.backing.Calls(), 1)
}

func TestTableSendsOtherTransactionsToStore(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	fenced := checkedWrite("a", 0)
	fenced.Checks = append(fenced.Checks, platform.Check{Key: "lease"})
	_, err := p.table.Commit(t.Context(), fenced)
	is.NoErr(err)
	_, err = p.table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: "a", Delete: true}}})
	is.NoErr(err)
	is.Equal(p.backing.Calls(), 2) // directly, without waiting for other rows
}
