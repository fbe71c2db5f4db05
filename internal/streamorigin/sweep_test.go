package streamorigin

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// TestLeftoversOfBusySystemAreSwept guards against records of killed instances that stay for hours. Of a
// tenth of those of 300 instances (note 0108), each part is to be gone 30 s after it is due.
func TestLeftoversOfBusySystemAreSwept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, _ := settled(t, "v1", "v2")
		const leftovers = 11_700
		for table := range testTables {
			var txn platform.Txn
			for i := range leftovers / testTables {
				id := originID{attempt: digestOf(fmt.Sprint(table, "/", i))}
				txn.Writes = append(txn.Writes, platform.Write{Key: id.key(), Value: []byte(`{"service":"s","version":"v2"}`)})
			}
			_, err := w.store.apply(table, txn)
			is.NoErr(err)
		}
		lifetime := timesFor(10 * time.Second).recordLifetime()
		time.Sleep(sweepLifetimes*lifetime - 10*time.Second)
		is.Equal(len(w.store.rows(originPrefix)), leftovers)
		before := w.store.commitCount()
		for table := range testTables { // due one after the other
			for w.store.count(table) == leftovers/testTables {
				time.Sleep(time.Second)
			}
			time.Sleep(30 * time.Second)
			is.Equal(w.store.count(table), 0)
		}
		is.True(w.store.commitCount()-before <= leftovers/maxBatchRows+10)
	})
}

// count returns the number of records in a table.
func (s *fakeStore) count(table int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.tables[table] {
		if strings.HasPrefix(key, originPrefix) {
			n++
		}
	}
	return n
}
