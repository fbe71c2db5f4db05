package streamorigin

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	// sweepInterval is the interval between two pages of a table that the sweep looks at.
	sweepInterval = 5 * time.Second
	// busySweepInterval is the same after old records were found, until a whole pass finds none.
	busySweepInterval = 500 * time.Millisecond
	sweepRows         = 500
	// maxSweepTxns bounds the transactions of one step of the duty, of which there are two a second, and
	// maxSweepTime the time after which no further one begins.
	maxSweepTxns = 10
	maxSweepTime = 500 * time.Millisecond
	// sweepLifetimes is how many lifetimes of a record the sweep leaves to who wrote it.
	sweepLifetimes = 2
	// maxMarks bounds the marks of one table.
	maxMarks = 64
)

// mark is the highest version of a row that was seen up to a time: rows of lower versions are at
// least that old.
type mark struct {
	at      boottime.Instant
	version uint64
}

// marks tell the age of rows, which carry no time. They are not safe for concurrent use.
type marks struct{ list []mark }

// add notes the highest version seen. Marks are spacing apart at least.
func (m *marks) add(at boottime.Instant, version uint64, spacing time.Duration) {
	if n := len(m.list); n > 0 && (version <= m.list[n-1].version || at.Sub(m.list[n-1].at) < spacing) {
		return
	}
	m.list = append(m.list, mark{at: at, version: version})
	if len(m.list) > maxMarks {
		m.list = m.list[1:]
	}
}

// before returns the highest version that is known to be older than an instant, or 0.
func (m *marks) before(at boottime.Instant) uint64 {
	version := uint64(0)
	for _, k := range m.list {
		if !at.Before(k.at) {
			version = k.version
		}
	}
	return version
}

// sweeper deletes records that whoever wrote them has not deleted.
type sweeper struct {
	registry *Registry
	epoch    uint64
	last     boottime.Instant
	table    int    // looked at next
	after    string // key in that table after which the next page begins
	marks    []marks
	highest  []uint64 // highest version seen in each table
	busy     bool     // old records were found in this pass or the one before
	found    bool     // old records were found in this pass
}

// step looks at the next page if that is due.
func (s *sweeper) step(ctx context.Context) {
	r := s.registry
	now := r.now()
	if epoch := r.epoch(); s.marks == nil || epoch != s.epoch {
		tables := len(r.options.Tables)
		s.epoch, s.marks, s.highest, s.after = epoch, make([]marks, tables), make([]uint64, tables), ""
	}
	if !s.last.IsZero() && now.Sub(s.last) < s.interval() {
		return
	}
	s.last = now
	deleted := 0
	for range maxSweepTxns {
		n, err := s.page(ctx, now)
		if err != nil {
			r.options.Logger.Debug("the sweep of old records failed; trying again", "error", err)
			break
		}
		deleted += n
		if n < maxBatchRows || r.now().Sub(now) >= maxSweepTime {
			break
		}
	}
	if deleted > 0 {
		r.options.Logger.Info("deleted old records of streams", "records", deleted)
	}
}

func (s *sweeper) interval() time.Duration {
	if s.busy {
		return busySweepInterval
	}
	return sweepInterval
}

// nextTable goes on to the first page of the next table.
func (s *sweeper) nextTable() {
	s.after, s.table = "", (s.table+1)%len(s.marks)
	if s.table == 0 {
		s.busy, s.found = s.found, false
	}
}

// page deletes the old records of one page, in one transaction of at most maxBatchRows rows. It returns
// how many it deleted.
func (s *sweeper) page(ctx context.Context, now boottime.Instant) (int, error) {
	r := s.registry
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	table := r.options.Tables[s.table]
	rows, err := table.List(ctx, originPrefix, s.after, sweepRows)
	if err != nil || r.epoch() != s.epoch {
		return 0, err
	}
	r.mu.Lock()
	lifetime := r.times().recordLifetime()
	r.mu.Unlock()
	old := s.marks[s.table].before(now.Add(-sweepLifetimes * lifetime))
	var txn platform.Txn
	last := ""
	for _, row := range rows {
		s.highest[s.table] = max(s.highest[s.table], row.Version)
		if row.Version > old {
			last = row.Key
			continue
		}
		if len(txn.Writes) == maxBatchRows {
			break
		}
		last = row.Key
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	s.marks[s.table].add(now, s.highest[s.table], lifetime/8)
	if s.after = last; len(rows) < sweepRows && len(txn.Writes) < maxBatchRows {
		s.nextTable()
	}
	if len(txn.Writes) == 0 {
		return 0, nil
	}
	s.busy, s.found = true, true
	if _, err := table.Commit(ctx, txn); err != nil {
		return 0, err
	}
	return len(txn.Writes), nil
}
