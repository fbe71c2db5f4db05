// Package lease distributes duties over the instances. Each duty is held by at most one
// instance at a time, under a fencing token that increases with each acquisition. One
// heartbeat row per instance renews the leases of all of its duties; a duty's row is
// written only when the duty changes hands:
//
//	lease/alive/INSTANCE/INCARNATION  heartbeat, renewed by its holder
//	lease/duty/DUTY                   holder and fencing token
//	lease/epoch/N                     exists once a duty was claimed in epoch N of the store
//
// When a heartbeat row has not changed for a lease and a margin, another instance claims
// the holder's duties and deletes the row in one transaction.
package lease

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Options configure a Manager.
type Options struct {
	// Instance is the name of this instance. Required.
	Instance string
	// Table is the table service. Required.
	Table platform.Table
	// Duties are the names of all duties. They must be equal on all instances.
	Duties []string
	// Members returns the names of the live instances that are not leaving. It affects
	// which instance claims which duty, not safety. If nil, this instance is the only
	// member.
	Members func() []string
	// Recorder receives the lease events. If nil, timeline.Discard is used.
	Recorder timeline.Recorder
	// Logger receives log messages. If nil, nothing is logged.
	Logger hclog.Logger
	// Now returns the time with a monotonic clock reading. If nil, time.Now is used.
	Now func() time.Time
	// Steady returns the time since a fixed moment, including the time for which the
	// machine was suspended. If nil, the readings of Now are used.
	Steady func() time.Duration
	// Epoch returns the store's epoch. If nil, the store is never restored from an older copy.
	// EpochChanged must be called after each change.
	Epoch func() storeepoch.Epoch
	// SweepUnder is one of Duties. Its holder also deletes the heartbeat rows of runs
	// that ended without deleting them. Empty means a separate duty.
	SweepUnder string
	// MinTenure is the minimum time for which a duty must have been held to be released
	// at shutdown. If any duty was held for less, all leases expire instead, so that a
	// previous holder does not act again soon. Zero means that every duty is released.
	MinTenure time.Duration
	// Timing holds the intervals. Zero fields mean the defaults.
	Timing Timing
}

// Manager acquires, renews and releases the duties of one instance. It is safe for
// concurrent use.
type Manager struct {
	options Options
	start   time.Time
	tasks   []task

	mu       sync.Mutex
	core     *core
	running  map[string]int  // number of running tasks by duty
	stopping map[string]bool // duties that are about to be released
	changed  chan struct{}   // closed and replaced when the held duties may have changed
}

// task is a function that runs while a duty is held.
type task struct {
	duty string
	run  func(ctx context.Context, g Guard) error
}

// NewManager returns a Manager that holds no duty until Run.
func NewManager(o Options) *Manager {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	o.Timing = o.Timing.withDefaults()
	m := &Manager{options: o, start: o.Now(), running: make(map[string]int),
		stopping: make(map[string]bool), changed: make(chan struct{})}
	sweeper, names := o.SweepUnder, o.Duties
	if sweeper == "" {
		sweeper = sweepDuty
		names = append([]string{sweepDuty}, names...)
	}
	m.core = newCore(o.Timing, m.newHolder(), names)
	m.Do(sweeper, m.sweep)
	return m
}

// newHolder returns this instance under a new incarnation.
func (m *Manager) newHolder() Holder {
	id := uuid.New()
	return Holder{Instance: m.options.Instance, Incarnation: hex.EncodeToString(id[:8])}
}

// Do registers a function to run whenever the duty is held. Its context ends when the
// duty is lost or released. A function that returns while the duty is still held is
// called again. Calls of one function never overlap on this instance. Do must be called
// before Run.
func (m *Manager) Do(duty string, run func(ctx context.Context, g Guard) error) {
	m.tasks = append(m.tasks, task{duty: duty, run: run})
}

// Held returns the fencing token of a duty; false if this instance does not hold it now.
func (m *Manager) Held(duty string) (Token, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.holds(duty, m.reading(), 0)
}

// Run maintains the leases until ctx ends. It then stops the work under them, releases
// them and returns.
func (m *Manager) Run(ctx context.Context) error {
	working, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	renewing, stopRenewing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRenewing()

	var loops, workers sync.WaitGroup
	loops.Go(func() { m.renewLoop(renewing) })
	loops.Go(func() { m.expiryLoop(renewing) })
	loops.Go(func() { m.watchLoop(ctx) })
	for _, t := range m.tasks {
		workers.Go(func() { m.workLoop(working, t) })
	}
	<-ctx.Done()
	m.update(func(c *core, _ Reading) { c.draining = true })
	stopWork()
	workers.Wait()
	stopRenewing()
	loops.Wait()
	return m.releaseAll(context.WithoutCancel(ctx))
}

// releaseAll releases all held duties, so that other instances can claim them at once.
func (m *Manager) releaseAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timing.Call)
	defer cancel()
	var txns []platform.Txn
	m.update(func(c *core, now Reading) {
		c.expire(now)
		if c.hasYoungTenure(now, m.options.MinTenure) {
			return
		}
		txns = append(c.release(c.heldDuties(), eventReleased), c.stopHeartbeat())
	})
	var faults []error
	for _, txn := range txns {
		if _, err := m.options.Table.Commit(ctx, txn); err != nil {
			faults = append(faults, err)
		}
	}
	if err := errors.Join(faults...); err != nil {
		return fmt.Errorf("release duties of %q (their leases will expire instead): %w", m.options.Instance, err)
	}
	return nil
}

// reading returns a reading of the clocks.
func (m *Manager) reading() Reading {
	if m.options.Steady != nil {
		steady := m.options.Steady()
		return Reading{Mono: steady, Wall: steady}
	}
	now := m.options.Now()
	return Reading{Mono: now.Sub(m.start), Wall: now.Round(0).Sub(m.start.Round(0))}
}

// EpochChanged ends the tenures of earlier epochs of the store at once.
func (m *Manager) EpochChanged() { m.update(func(*core, Reading) {}) }

// syncEpoch applies the store's epoch. The caller must hold m.mu.
func (m *Manager) syncEpoch() {
	if m.options.Epoch != nil {
		m.core.setEpoch(m.reading(), m.options.Epoch(), m.newHolder)
	}
}

// update changes the core, records its events and notifies the workers.
func (m *Manager) update(change func(c *core, now Reading)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncEpoch()
	change(m.core, m.reading())
	for _, fault := range m.core.takeFaults() {
		m.options.Logger.Error("lease state machine rejected an event", "error", fault)
	}
	events := m.core.takeEvents()
	if len(events) == 0 {
		return
	}
	now := m.options.Now()
	for _, e := range events {
		if e.Duration > 0 {
			e.Until = now.Add(e.Duration)
			e.Duration = 0
		}
		m.options.Recorder.Record(e)
	}
	m.notify()
}

// commit commits a transaction with the timeout Timing.Call.
func (m *Manager) commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timing.Call)
	defer cancel()
	return m.options.Table.Commit(ctx, txn)
}

// get reads rows with the timeout Timing.Call.
func (m *Manager) get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timing.Call)
	defer cancel()
	return m.options.Table.Get(ctx, keys...)
}

// jitter returns a random delay of less than d, to spread the instances' first calls.
func jitter(d time.Duration) time.Duration { return rand.N(d) }
