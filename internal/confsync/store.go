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
	// Network carries messages to other instances. Nil means that there are none.
	Network Network
	// Members tells who the others are. Required with Network.
	Members Members
	// Recorder takes events. Nil means timeline.Discard.
	Recorder timeline.Recorder
	// Logger takes log lines. Nil means none.
	Logger hclog.Logger
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// PollInterval is the mean time between reads of the head row. Default 1s.
	PollInterval time.Duration
	// ReadTimeout bounds one exchange with the table service. Default 1s.
	ReadTimeout time.Duration
	// FreshLimit is how old the proof that the configuration is current may be
	// while Fresh holds. Default 5s.
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
// for all instances. It implements config.Source and config.Editor. All
// methods are safe for concurrent use.
type Store struct {
	options Options
	newID   func() string
	wake    chan struct{} // asks Run for an early poll

	snapshot atomic.Pointer[config.Snapshot]

	// writing is held while a newer state is compiled and put in force; it is
	// taken before mu.
	writing  sync.Mutex
	compiled compiledText
	compiler compiler

	applying sync.Mutex // held while changes of the log are applied; taken first
	rounds   *rounds    // nil without other instances
	pulls    int        // used by Run alone

	mu      sync.Mutex
	state   State
	pending Withdrawals
	recent  []Change      // newest changes, contiguous up to the state's version
	swapped chan struct{} // closed when snapshot is replaced
	proof   proof         // newest one whose version is in force
	unmet   proof         // newest one whose version is not in force yet
	ready   bool          // was proved current once
	read    readStatus
	phase   statechart.Machine[facts]
}

// readStatus tells how reads of the table service went.
type readStatus struct {
	began  time.Time // of the last one that succeeded
	failed bool      // the last one did
}

var (
	_ config.Source = (*Store)(nil)
	_ config.Editor = (*Store)(nil)
)

// New returns a store that has read nothing yet. Run keeps it current.
func New(o Options) *Store {
	s := &Store{
		options: o.withDefaults(),
		newID:   uuid.NewString,
		wake:    make(chan struct{}, 1),
		swapped: make(chan struct{}),
	}
	s.phase = phaseChart.Machine(o.Instance, s.options.Recorder)
	if !s.alone() {
		s.rounds = newRounds(s)
		s.register()
	}
	return s
}

// Current implements config.Source.
func (s *Store) Current() *config.Snapshot { return s.snapshot.Load() }

// Changed implements config.Source. The channel is also closed when a
// withdrawal that has no version yet takes effect, so a waiter reads Current
// anew and calls Changed again.
func (s *Store) Changed(version uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot := s.Current(); snapshot != nil && snapshot.Version > version {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return s.swapped
}

// Run keeps the configuration current until ctx ends.
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

// pollDelay spreads the reads of many instances over time.
func (s *Store) pollDelay() time.Duration {
	half := s.options.PollInterval / 2
	return half + rand.N(s.options.PollInterval)
}

// poll reads the head row once and catches up with it. While the table service
// cannot be read, it asks a neighbour instead.
func (s *Store) poll(ctx context.Context) {
	err := s.refresh(ctx)
	if err != nil && ctx.Err() == nil {
		s.options.Logger.Debug("table service not read", "error", err)
		s.pullNext(ctx)
	}
	s.noteStaleness()
	if err == nil {
		s.flushWithdrawals(ctx)
	}
}

// refresh brings the state to the head row's version and counts that as proof
// of being current at the time when the read began.
func (s *Store) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.ReadTimeout)
	defer cancel()
	began := s.options.Now()
	_, head, err := readHead(ctx, s.options.Table)
	if err == nil {
		err = s.catchUp(ctx, head, began)
	}
	s.noteRead(began, err)
	return err
}

func (s *Store) noteRead(began time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read.failed = err != nil
	if err == nil {
		s.read.began = began
	}
}

// catchUp brings the state to the version of a head row whose read began at a time.
func (s *Store) catchUp(ctx context.Context, head uint64, began time.Time) error {
	before := s.State()
	if head < before.Version {
		s.options.Logger.Warn("table service holds an older configuration",
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
			break // the table service holds an older copy
		}
		before = after
	}
	s.prove(proof{at: began, version: head})
	return nil
}

// loadAll replaces the state by all rows of the table service.
func (s *Store) loadAll(ctx context.Context) error {
	next, err := loadAll(ctx, s.options.Table)
	if err != nil {
		return err
	}
	s.advance(next)
	return nil
}

// State returns the newest state known here.
func (s *Store) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// advance puts a state in force unless a newer one is known.
func (s *Store) advance(next State) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	if next.Version <= s.State().Version {
		return false
	}
	s.compileText(next)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.inForce()
	s.state = next
	s.pending = s.pending.Settle(next)
	s.publish()
	s.meet()
	if s.Current() != nil {
		s.fire(eventSnapshot, s.inForce() > before)
	}
	return true
}

// local returns what this instance contributes to rounds.
func (s *Store) local() quorum.Local {
	s.mu.Lock()
	defer s.mu.Unlock()
	return quorum.Local{
		InForce: s.inForce(), Newest: s.state.Version, Ready: s.ready,
		ReadBegan: s.read.began, ReadFailed: s.read.failed,
	}
}

// inForce returns the version of the snapshot, 0 without one.
func (s *Store) inForce() uint64 {
	if snapshot := s.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// publish replaces the snapshot. The caller holds both locks.
func (s *Store) publish() {
	if s.compiled.version == 0 {
		return // nothing can be served before the first text
	}
	before := s.inForce()
	version := s.state.Version
	if s.compiled.version != s.state.TextVersion {
		version = before // the newest text is not in force
	}
	s.snapshot.Store(config.NewSnapshot(version, s.compiled.text, s.compiled.config,
		s.state.snapshotKeys(s.pending), s.state.snapshotZones()))
	close(s.swapped)
	s.swapped = make(chan struct{})
	if version > before {
		s.options.Recorder.Record(timeline.Event{
			Time: s.options.Now(), Kind: timeline.ConfigApplied, Version: version,
		})
	}
}

// requestPoll makes Run poll at once.
func (s *Store) requestPoll() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
