package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routing"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Options configure an Engine.
type Options struct {
	Instance string
	Zone     string
	// Timing bounds how far lists of members may lag. Zero fields mean the
	// defaults.
	Timing routing.Timing
	// Seed seeds the random choices. The same seed gives the same choices.
	Seed uint64
	// Recorder receives timeline events. If nil, events are discarded.
	Recorder timeline.Recorder
	// Queue configures the queue of every pool. The zero value means the
	// defaults.
	Queue admission.Options
	// Picker chooses among the eligible servers. If nil, routing.BestOf is
	// used.
	Picker routing.Picker
	// NoRetryBudget allows every retry. It serves as a baseline for
	// experiments.
	NoRetryBudget bool
	// NoEarlyRefusal keeps requests waiting that will probably miss their
	// target. It serves as a baseline for experiments.
	NoEarlyRefusal bool
}

// Engine holds all pools of one instance. It is not safe for concurrent use.
type Engine struct {
	options     Options
	recorder    timeline.Recorder
	random      *rand.Rand
	router      *routing.Router
	store       *routing.Store
	config      *config.Snapshot
	pools       map[string]*pool
	sortedPools []*pool // by name
	stopped     bool
}

// New returns an engine without configuration and servers.
func New(o Options) *Engine {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	return &Engine{
		options:  o,
		recorder: o.Recorder,
		random:   random,
		router:   routing.NewRouter(o.Picker, random),
		store:    routing.NewStore(o.Instance, o.Timing),
		pools:    map[string]*pool{},
	}
}

// Waiting returns the number of waiting requests in all pools.
func (e *Engine) Waiting() int {
	n := 0
	for _, p := range e.sortedPools {
		n += p.queue.Len()
	}
	return n
}

// SetConfig applies a configuration. It ignores one that is older than the
// current one.
func (e *Engine) SetConfig(now time.Time, c *config.Snapshot) {
	if e.config != nil && c.Version < e.config.Version {
		return
	}
	unchanged := e.config != nil && onlyKeysDiffer(e.config, c)
	e.config = c
	if unchanged {
		return
	}
	e.store.SetConfig(now, c)
	e.applySnapshot(now)
}

// onlyKeysDiffer reports whether two snapshots differ in their keys at most.
// Most configuration changes are of that kind, and they leave pools and classes
// unchanged.
func onlyKeysDiffer(a, b *config.Snapshot) bool {
	if a.Text == "" || a.Text != b.Text {
		return false
	}
	outA, outB := a.DrainedZones(), b.DrainedZones()
	slices.Sort(outA)
	slices.Sort(outB)
	return slices.Equal(outA, outB)
}

// SetServers replaces the platform's list of model servers.
func (e *Engine) SetServers(now time.Time, servers []platform.Server) {
	e.store.SetServers(now, servers)
	e.applySnapshot(now)
}

// SetMembers replaces the list of instances that share the servers; see
// routing.Membership.
func (e *Engine) SetMembers(now time.Time, names []string, asOf time.Time) {
	e.store.SetMembers(now, names, asOf)
	e.Tick(now)
}

// applySnapshot updates the pools after the store has built a new snapshot.
func (e *Engine) applySnapshot(now time.Time) {
	if e.config == nil {
		return
	}
	snapshot := e.store.Snapshot()
	for name, servers := range snapshot.Pools {
		p := e.pools[name]
		if p == nil {
			p = newPool(name, e.options.Queue)
			e.pools[name] = p
		}
		p.update(now, servers, e.config)
	}
	for name, p := range e.pools {
		if snapshot.Pools[name] == nil {
			e.removePool(now, p)
		}
	}
	e.sortedPools = slices.SortedFunc(maps.Values(e.pools), func(a, b *pool) int {
		return strings.Compare(a.name, b.name)
	})
	e.Tick(now)
}

// removePool refuses the requests that wait for a pool that is no longer
// configured.
func (e *Engine) removePool(now time.Time, p *pool) {
	for _, j := range p.waitingJobs() {
		e.refuse(now, j, result.NoBackendServer, "%q is no longer configured", p.name)
	}
	delete(e.pools, p.name)
}

// LoadReport applies an engine's load report, which lags behind its actual
// load.
func (e *Engine) LoadReport(now time.Time, server string, r engineapi.LoadReport) {
	l := e.store.Live(server)
	if l == nil {
		return
	}
	e.recordStateChange(l, func() { l.ApplyReport(now, r) })
	e.dispatchServer(now, server)
}

// CacheEvents applies a batch of an engine's cache events.
func (e *Engine) CacheEvents(now time.Time, server string, batch engineapi.CacheEvents) {
	l := e.store.Live(server)
	c := e.store.Snapshot().Servers[server]
	if l == nil || c == nil || e.pools[c.Model] == nil {
		return
	}
	e.recordStateChange(l, func() { e.pools[c.Model].prefixes.ApplyEvents(now, l, batch) })
}

// Withdraw refuses the waiting requests of a key.
func (e *Engine) Withdraw(now time.Time, key config.KeyDigest) {
	for _, p := range e.sortedPools {
		for _, j := range p.waitingJobs() {
			if j.request.Key == key {
				e.refuse(now, j, result.KeyWithdrawn, "the key was withdrawn while the request waited")
			}
		}
	}
}

// Stop refuses all waiting and later requests.
func (e *Engine) Stop(now time.Time) {
	e.stopped = true
	for _, p := range e.sortedPools {
		for _, j := range p.waitingJobs() {
			e.refuse(now, j, result.InstanceDraining, "the instance stops")
		}
	}
}

// Tick refuses waiting requests whose wait has expired, and starts those that
// the passing of time alone has made possible.
func (e *Engine) Tick(now time.Time) {
	for _, p := range e.sortedPools {
		if p.queue.Len() == 0 {
			continue
		}
		e.expire(now, p)
		p.refresh(now, e.store.Members)
		e.dispatch(now, p)
		e.preempt(now, p)
	}
}

func (e *Engine) dispatchServer(now time.Time, server string) {
	c := e.store.Snapshot().Servers[server]
	if c == nil {
		return
	}
	for _, name := range []string{c.Model, c.Service} {
		if p := e.pools[name]; p != nil && p.queue.Len() > 0 {
			p.refresh(now, e.store.Members)
			e.dispatch(now, p)
		}
	}
}

// recordStateChange runs event and records the change that it makes to the
// server's state in the timeline.
func (e *Engine) recordStateChange(l *routing.LiveState, event func()) {
	before := l.State()
	event()
	after := l.State()
	if before.Name != after.Name {
		e.recorder.Record(timeline.Event{
			Kind: timeline.ServerState, Server: l.Name(), From: before.Name, State: after.Name,
		})
	}
	if before.Limit != after.Limit {
		e.recorder.Record(timeline.Event{
			Kind: timeline.ServerLimit, Server: l.Name(), Count: int64(after.Limit),
		})
	}
}
