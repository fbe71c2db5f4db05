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

// countsPrefix is the key prefix of the instances' rows.
const countsPrefix = "usage/counts/"

// Saver writes a meter's counts to the store.
type Saver struct {
	meter    *Meter
	table    platform.Table
	key      string
	interval func() time.Duration
	contact  Contact
	logger   hclog.Logger

	version        uint64 // version of the row; 0 if it does not exist
	versionUnknown bool   // the outcome of the last write is unknown
	restored       *wait.Signal
}

// SaverOptions configure a Saver. All fields are required.
type SaverOptions struct {
	Meter *Meter
	Table platform.Table
	// Run identifies one run of an instance.
	Run string
	// Interval returns the time between two writes. Requests counted since the last
	// write are lost when the process crashes.
	Interval func() time.Duration
	// Contact ends the wait after a failed write once the store is reachable again.
	Contact Contact
	Logger  hclog.Logger
}

// Contact waits for the store to become reachable.
type Contact interface {
	// Wait waits for minWait, and then until the store answers, for maxWait in total at
	// most.
	Wait(ctx context.Context, minWait, maxWait time.Duration)
}

// NewSaver returns a Saver that has stored nothing yet.
func NewSaver(o SaverOptions) *Saver {
	return &Saver{
		meter: o.Meter, table: o.Table, key: countsPrefix + o.Run, interval: o.Interval, contact: o.Contact, logger: o.Logger,
		restored: wait.NewSignal(),
	}
}

// Restored makes the Saver write all counts again, since the store was restored from an older
// copy and may have lost them. It does not block, and is safe for concurrent use.
func (s *Saver) Restored() { s.restored.Notify() }

// awaitSave waits until the next write is due. After a restore that is within
// maxRestoreDelay. It returns the error of ctx if that ends.
func (s *Saver) awaitSave(ctx context.Context) error {
	restored, err := s.restored.For(ctx, s.meter.timeToSave(s.interval()), maxRestoreDelay)
	if restored {
		s.meter.MarkDirty()
		s.versionUnknown = true
	}
	return err
}

// maxRestoreDelay bounds the random delay of the write after a restore, which spreads the
// writes of all instances.
const maxRestoreDelay = time.Second

// minRetryDelay is the minimum delay between a failed write and its retry. Jitter of up
// to the same length spreads the retries of all instances.
const minRetryDelay = 500 * time.Millisecond

// Run saves until ctx ends, and then once more. Failed writes are retried as soon as the
// store is reachable again, since their window may be about to be closed.
func (s *Saver) Run(ctx context.Context) {
	for s.awaitSave(ctx) == nil {
		for !s.save(ctx) && ctx.Err() == nil {
			s.contact.Wait(ctx, minRetryDelay+rand.N(minRetryDelay), s.interval()+2*minRetryDelay)
		}
	}
	s.save(context.WithoutCancel(ctx))
}

// save writes the counts if they have changed and returns false if the write failed. Each
// write is conditional on the row's version, so that one without a response cannot take
// effect after a later one.
func (s *Saver) save(ctx context.Context) bool {
	data, changed, err := s.meter.Snapshot()
	if err != nil {
		s.logger.Error("cannot encode counts; nothing stored", "error", err)
	}
	if !changed || err != nil {
		return true
	}
	if err := s.write(ctx, data); err != nil {
		s.meter.MarkDirty()
		s.logger.Debug("failed to store counts; retrying", "error", err)
		return false
	}
	return true
}

func (s *Saver) write(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.versionUnknown {
		rows, err := s.table.Get(ctx, s.key)
		if err != nil {
			return err
		}
		s.version, s.versionUnknown = rows[0].Version, false
	}
	versions, err := s.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: s.key, Version: s.version}},
		Writes: []platform.Write{{Key: s.key, Value: data}},
	})
	if err != nil {
		s.versionUnknown = true
		return err
	}
	s.version = versions[0]
	return nil
}
