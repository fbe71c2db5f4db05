package tally

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const callTimeout = time.Second

// countsPrefix begins the keys of the instances' rows.
const countsPrefix = "usage/counts/"

// Saver keeps a meter's counts in the store.
type Saver struct {
	meter    *Meter
	table    platform.Table
	key      string
	interval func() time.Duration
	contact  Contact
	logger   hclog.Logger

	version uint64 // of the row
	unsure  bool   // a write had no answer
}

// SaverOptions configure a Saver. All fields are required.
type SaverOptions struct {
	Meter *Meter
	Table platform.Table
	// Run names one run of an instance.
	Run string
	// Interval returns the time between two writes; what is counted since the last
	// is lost when the process dies.
	Interval func() time.Duration
	// Contact tells when the store is heard again after a failed write.
	Contact Contact
	Logger  hclog.Logger
}

// Contact waits for the store to be heard again.
type Contact interface {
	// Wait waits for least, and then until the store was heard, at most for most.
	Wait(ctx context.Context, least, most time.Duration)
}

// NewSaver returns a saver that has stored nothing.
func NewSaver(o SaverOptions) *Saver {
	return &Saver{meter: o.Meter, table: o.Table, key: countsPrefix + o.Run, interval: o.Interval, contact: o.Contact, logger: o.Logger}
}

// retryLeast is the least time between a failed write and the next one; all
// instances' writes are spread over as much again.
const retryLeast = 500 * time.Millisecond

// Run saves until ctx ends, and once more then. Counts that could not be stored
// are stored as soon as the store is back, since their window may be about to be
// closed.
func (s *Saver) Run(ctx context.Context) {
	for wait.For(ctx, s.meter.untilSave(s.interval())) == nil {
		for !s.save(ctx) && ctx.Err() == nil {
			s.contact.Wait(ctx, retryLeast+rand.N(retryLeast), s.interval()+2*retryLeast)
		}
	}
	s.save(context.WithoutCancel(ctx))
}

// save writes the counts when they have changed, and returns false when that
// failed. Each write is conditional, so that one without an answer cannot land after
// a later one.
func (s *Saver) save(ctx context.Context) bool {
	data, changed, err := s.meter.Snapshot()
	if err != nil {
		s.logger.Error("the counts cannot be stored", "error", err)
	}
	if !changed || err != nil {
		return true
	}
	if err := s.write(ctx, data); err != nil {
		s.meter.Unsaved()
		s.logger.Debug("the counts were not stored", "error", err)
		return false
	}
	return true
}

func (s *Saver) write(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.unsure {
		rows, err := s.table.Get(ctx, s.key)
		if err != nil {
			return err
		}
		s.version, s.unsure = rows[0].Version, false
	}
	versions, err := s.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: s.key, Version: s.version}},
		Writes: []platform.Write{{Key: s.key, Value: data}},
	})
	if err != nil {
		s.unsure = true
		return err
	}
	s.version = versions[0]
	return nil
}
