// Package scheduler makes package placement usable by concurrent callers: it
// serializes events with one lock, blocks callers until their outcome is known,
// and runs the timers.
//
// Its inputs are these: call SetConfig with every newer snapshot, SetServers
// with every list from the platform, and SetMembers at least every two seconds.
// SetMembers takes the names of all instances that may be running, including
// this one, and the time just before that list was requested. Without a fresh
// list that contains this instance, the scheduler sends no requests to cold
// backend servers (see routing.Membership).
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

// tickInterval is the time between two checks of waiting requests while no
// other event occurs.
const tickInterval = 100 * time.Millisecond

// Options configure a Scheduler.
type Options struct {
	// Instance is the name of this instance among the members. Required.
	Instance string
	// Zone is this instance's availability zone. Empty means unknown.
	Zone string
	// Timing bounds how far lists of members may lag. Zero fields mean the
	// defaults.
	Timing routing.Timing
	// Now returns the current time. If nil, time.Now is used.
	Now func() time.Time
	// Seed seeds the random choices. The same seed gives the same choices. Zero
	// is a valid seed.
	Seed uint64
	// Recorder receives timeline events. If nil, events are discarded.
	Recorder timeline.Recorder
	// Logger receives log messages. If nil, they are discarded.
	Logger hclog.Logger
}

// Scheduler implements traffic.Scheduler. It is safe for concurrent use.
type Scheduler struct {
	now func() time.Time
	log hclog.Logger

	mu        sync.Mutex
	engine    *placement.Engine
	tickTimer *time.Timer // armed while requests wait
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

// SetConfig applies a snapshot. A nil snapshot is ignored.
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

// SetMembers replaces the list of instances that may be running, which must
// include this one. asOf is the local time just before the list was requested.
func (s *Scheduler) SetMembers(names []string, asOf time.Time) {
	s.do(func(now time.Time) { s.engine.SetMembers(now, names, asOf) })
}

// LoadReport applies an engine's load report, which lags behind its actual
// load.
func (s *Scheduler) LoadReport(server string, r engineapi.LoadReport) {
	s.do(func(now time.Time) { s.engine.LoadReport(now, server, r) })
}

// CacheEvents applies a batch of an engine's cache events.
func (s *Scheduler) CacheEvents(server string, e engineapi.CacheEvents) {
	s.do(func(now time.Time) { s.engine.CacheEvents(now, server, e) })
}

// Withdraw refuses the waiting requests of a key. The dispatcher ends the
// running ones.
func (s *Scheduler) Withdraw(key config.KeyDigest) {
	s.do(func(now time.Time) { s.engine.Withdraw(now, key) })
}

// Stop refuses all waiting and all later requests with InstanceDraining. A
// graceful shutdown calls it last, when no requests arrive any more.
func (s *Scheduler) Stop() {
	s.do(func(now time.Time) { s.engine.Stop(now) })
}

// Status returns the status of queues and servers for operators.
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

// do handles one event under the lock, and arms the tick timer if requests
// wait.
func (s *Scheduler) do(event func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event(s.now())
	s.armTimer()
}

func (s *Scheduler) armTimer() {
	if s.tickTimer != nil || s.engine.Waiting() == 0 {
		return
	}
	s.tickTimer = time.AfterFunc(tickInterval, s.tick)
}

func (s *Scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickTimer = nil
	s.engine.Tick(s.now())
	s.armTimer()
}
