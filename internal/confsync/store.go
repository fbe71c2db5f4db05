package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/confsync/quorum"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Defaults of Options.
const (
	DefaultPollInterval = time.Second
	DefaultReadTimeout  = time.Second
	DefaultFreshLimit   = 5 * time.Second
)

// Compile decodes and validates the operators' text. It returns
// *config.FaultsError for a text with faults.
type Compile func(text string) (config.Config, error)

// Options configure a Store.
type Options struct {
	// Instance is the name of this instance. Required.
	Instance string
	// Zone is the availability zone of this instance.
	Zone string
	// Table is the platform's table service. Required.
	Table platform.Table
	// Compile decodes and validates texts. Required.
	Compile Compile
	// Network sends messages to other instances. If nil, there are no others.
	Network Network
	// Members provides the membership. Required with Network.
	Members Members
	// Recorder receives events. If nil, timeline.Discard is used.
	Recorder timeline.Recorder
	// Logger receives log lines. If nil, nothing is logged.
	Logger hclog.Logger
	// Now returns the current time. If nil, time.Now is used.
	Now func() time.Time
	// PollInterval is the mean interval between reads of the head row. Zero
	// means DefaultPollInterval.
	PollInterval time.Duration
	// ReadTimeout bounds one exchange with the table service or a peer. Zero
	// means DefaultReadTimeout.
	ReadTimeout time.Duration
	// FreshLimit is the maximum age of the proof that the configuration is
	// current for Fresh to be true. Zero means DefaultFreshLimit.
	FreshLimit time.Duration
}

func (o Options) withDefaults() Options {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.FreshLimit <= 0 {
		o.FreshLimit = DefaultFreshLimit
	}
	return o
}

// Store holds the configuration in force on this instance and commits changes
// for all instances. It implements config.Source and config.Editor. It is safe
// for concurrent use.
type Store struct {
	options Options
	newID   func() string
	wake    chan struct{} // makes Run poll early

	snapshot atomic.Pointer[config.Snapshot]

	// publishMu is held while a newer state is compiled and published. It is
	// locked before mu.
	publishMu sync.Mutex
	compiled  compiledText
	pacer     compilePacer

	applyMu sync.Mutex // held while log changes are applied; locked before publishMu
	rounds  *rounds    // nil if standalone
	pulls   int        // used only by Run

	mu                 sync.Mutex
	state              State
	pendingWithdrawals Withdrawals
	recent             []Change      // newest changes, contiguous up to the state's version
	snapshotReplaced   chan struct{} // closed and replaced with the snapshot
	proof              proof         // newest one whose version is in force
	aheadProof         proof         // newest proof; its version may not be in force yet
	ready              bool          // proved current at least once
	lastRead           readStatus
	phase              statechart.Machine[guardFacts]
}

// readStatus describes the reads of the table service.
type readStatus struct {
	startedAt time.Time // start of the last successful read
	failed    bool      // the last read failed
}

var (
	_ config.Source = (*Store)(nil)
	_ config.Editor = (*Store)(nil)
)

// New returns a store without a configuration. Run keeps it current.
func New(o Options) *Store {
	s := &Store{
		options:          o.withDefaults(),
		newID:            uuid.NewString,
		wake:             make(chan struct{}, 1),
		snapshotReplaced: make(chan struct{}),
	}
	s.phase = phaseChart.Machine(o.Instance, s.options.Recorder)
	if !s.standalone() {
		s.rounds = newRounds(s)
		s.register()
	}
	return s
}

// Current implements config.Source.
func (s *Store) Current() *config.Snapshot { return s.snapshot.Load() }

// Changed implements config.Source. The channel is also closed when a
// withdrawal without a version takes effect, so a waiter must read Current and
// call Changed again.
func (s *Store) Changed(version uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot := s.Current(); snapshot != nil && snapshot.Version > version {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return s.snapshotReplaced
}

// Run keeps the configuration current until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	if s.rounds != nil {
		running.Go(func() { s.rounds.run(ctx) })
	}
	for {
		s.poll(ctx)
		timer := time.NewTimer(s.pollDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-s.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// pollDelay returns a jittered interval, so that many instances do not read at
// the same time.
func (s *Store) pollDelay() time.Duration {
	half := s.options.PollInterval / 2
	return half + rand.N(s.options.PollInterval)
}

// poll reads the head row once and catches up with it. If the table service
// cannot be read, it pulls from a neighbour.
func (s *Store) poll(ctx context.Context) {
	err := s.refresh(ctx)
	if err != nil && ctx.Err() == nil {
		s.options.Logger.Debug("reading the table service failed; the next poll retries", "error", err)
		s.pullFromNeighbour(ctx)
	}
	s.checkStaleness()
	if err == nil {
		s.flushWithdrawals(ctx)
	}
}

// refresh catches up with the head row. Success proves that the configuration
// was current when the read started.
func (s *Store) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.ReadTimeout)
	defer cancel()
	began := s.options.Now()
	_, head, err := readHead(ctx, s.options.Table)
	if err == nil {
		err = s.catchUp(ctx, head, began)
	}
	s.recordRead(began, err)
	return err
}

func (s *Store) recordRead(began time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead.failed = err != nil
	if err == nil {
		s.lastRead.startedAt = began
	}
}

// catchUp brings the state to the version of a head row. began is the time at
// which the read of that row started.
func (s *Store) catchUp(ctx context.Context, head uint64, began time.Time) error {
	before := s.State()
	if head < before.Version {
		s.options.Logger.Warn("table service holds an older configuration than the one in force; ignoring it",
			"version", head, "in_force", before.Version)
	}
	for before.Version < head {
		changes, err := readChanges(ctx, s.options.Table, before.Version)
		if err != nil {
			return err
		}
		err = s.push(changes, "")
		if err != nil || s.State().Version == before.Version {
			err = s.loadAll(ctx)
		}
		if err != nil {
			return err
		}
		after := s.State()
		if after.Version == before.Version {
			break // the table service holds an older copy, for example after a restore
		}
		before = after
	}
	s.addProof(proof{at: began, version: head})
	return nil
}

// loadAll replaces the state with the rows of the table service.
func (s *Store) loadAll(ctx context.Context) error {
	next, err := loadAll(ctx, s.options.Table)
	if err != nil {
		return err
	}
	s.advance(next)
	return nil
}

// State returns the newest state on this instance. It may not be in force yet.
func (s *Store) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// advance publishes a state unless this instance has the same or a newer one.
// It reports whether it did.
func (s *Store) advance(next State) bool {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	if next.Version <= s.State().Version {
		return false
	}
	s.compileText(next)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.inForce()
	s.state = next
	s.pendingWithdrawals = s.pendingWithdrawals.Settle(next)
	s.publish()
	s.promoteProof()
	if s.Current() != nil {
		s.fire(eventSnapshot, s.inForce() > before)
	}
	return true
}

// local returns this instance's contribution to rounds.
func (s *Store) local() quorum.LocalState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return quorum.LocalState{
		InForce: s.inForce(), Newest: s.state.Version, Ready: s.ready,
		LastReadStart: s.lastRead.startedAt, ReadFailed: s.lastRead.failed,
	}
}

// inForce returns the version of the snapshot, or 0 if there is none.
func (s *Store) inForce() uint64 {
	if snapshot := s.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// publish replaces the snapshot. The caller holds publishMu and mu.
func (s *Store) publish() {
	if s.compiled.version == 0 {
		return // there is no configuration before the first text
	}
	before := s.inForce()
	version := s.state.Version
	if s.compiled.version != s.state.TextVersion {
		version = before // the newest text is not in force
	}
	s.snapshot.Store(config.NewSnapshot(version, s.compiled.text, s.compiled.config,
		s.state.snapshotKeys(s.pendingWithdrawals), s.state.drainedZones()))
	close(s.snapshotReplaced)
	s.snapshotReplaced = make(chan struct{})
	if version > before {
		s.options.Recorder.Record(timeline.Event{
			Time: s.options.Now(), Kind: timeline.ConfigApplied, Version: version,
		})
	}
}

// requestPoll makes Run poll immediately.
func (s *Store) requestPoll() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
