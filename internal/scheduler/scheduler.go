// Package scheduler is the concurrent shell of package placement: it serializes
// events under one lock, lets callers wait, and runs the timers.
//
// Feeding it: call SetConfig with every newer snapshot, SetServers with every
// list of the platform, and SetMembers at least every two seconds with the names
// of all instances that may be live (this one included) and the time just before
// that list was asked for. Without a fresh list that contains this instance, cold
// backend servers get no work from it (see routing.Membership).
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/placement"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routing"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// tickInterval is how often waiting requests are tried again without an event.
const tickInterval = 100 * time.Millisecond

// Options configure a Scheduler.
type Options struct {
	// Instance is the name of this instance among the members. Required.
	Instance string
	// Zone is this instance's availability zone. Empty means unknown.
	Zone string
	// Timing bounds how far lists of members lag. The zero value means the defaults.
	Timing routing.Timing
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// Seed makes random choices repeatable. Zero is a seed like any other.
	Seed uint64
	// Recorder takes time line events. Nil means none.
	Recorder timeline.Recorder
	// Logger may be nil.
	Logger hclog.Logger
}

// Scheduler implements traffic.Scheduler. It is safe for concurrent use.
type Scheduler struct {
	now func() time.Time
	log hclog.Logger

	mu     sync.Mutex
	engine *placement.Engine
	ticker *time.Timer // armed while requests wait
}

var _ traffic.Scheduler = (*Scheduler)(nil)

// New returns a scheduler without configuration and servers.
func New(o Options) *Scheduler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Scheduler{
		now: o.Now,
		log: o.Logger,
		engine: placement.New(placement.Options{
			Instance: o.Instance,
			Zone:     o.Zone,
			Timing:   o.Timing,
			Seed:     o.Seed,
			Recorder: o.Recorder,
		}),
	}
}

// SetConfig puts a snapshot in force. A nil snapshot is ignored.
func (s *Scheduler) SetConfig(c *config.Snapshot) {
	if c == nil {
		return
	}
	s.do(func(now time.Time) { s.engine.SetConfig(now, c) })
}

// SetServers replaces the platform's list of model servers. Servers of plain
// services come from the configuration.
func (s *Scheduler) SetServers(servers []platform.Server) {
	s.do(func(now time.Time) { s.engine.SetServers(now, servers) })
}

// SetMembers tells which instances may be live, this one included. asOf is the
// local time just before the list was asked for.
func (s *Scheduler) SetMembers(names []string, asOf time.Time) {
	s.do(func(now time.Time) { s.engine.SetMembers(now, names, asOf) })
}

// LoadReport takes an engine's lagging view of itself.
func (s *Scheduler) LoadReport(server string, r engineapi.LoadReport) {
	s.do(func(now time.Time) { s.engine.LoadReport(now, server, r) })
}

// CacheEvents takes a batch of an engine's cache events.
func (s *Scheduler) CacheEvents(server string, e engineapi.CacheEvents) {
	s.do(func(now time.Time) { s.engine.CacheEvents(now, server, e) })
}

// Withdraw refuses the waiting requests of a key. Running ones are ended by
// the dispatcher.
func (s *Scheduler) Withdraw(key config.KeyDigest) {
	s.do(func(now time.Time) { s.engine.Withdraw(now, key) })
}

// Stop refuses all waiting and all later requests with InstanceDraining. A
// graceful shutdown calls it last, when nothing arrives any more.
func (s *Scheduler) Stop() {
	s.do(func(now time.Time) { s.engine.Stop(now) })
}

// Status describes queues and servers for operators.
func (s *Scheduler) Status() placement.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Status(s.now())
}

// Admit implements traffic.Scheduler.
func (s *Scheduler) Admit(ctx context.Context, r *traffic.Request) (traffic.Ticket, *result.Error) {
	t := &ticket{
		scheduler: s,
		request:   r,
		outcome:   make(chan outcome, 1),
		preempted: make(chan struct{}),
	}
	s.do(func(now time.Time) { t.job = s.engine.Submit(now, r, t) })
	first, refusal := t.wait(ctx)
	if refusal != nil {
		return nil, refusal
	}
	t.first = first
	return t, nil
}

// do runs one event under the lock and keeps the tick going while requests wait.
func (s *Scheduler) do(event func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event(s.now())
	s.arm()
}

func (s *Scheduler) arm() {
	if s.ticker != nil || s.engine.Waiting() == 0 {
		return
	}
	s.ticker = time.AfterFunc(tickInterval, s.tick)
}

func (s *Scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticker = nil
	s.engine.Tick(s.now())
	s.arm()
}
