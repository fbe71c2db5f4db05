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
	// Instance is the name of this instance among the members. Required.
	Instance string
	// Zone is this instance's availability zone. Empty means unknown.
	Zone string
	// Timing bounds how far lists of members lag. The zero value means the defaults.
	Timing routing.Timing
	// Seed makes random choices repeatable.
	Seed uint64
	// Recorder takes time line events. Nil means none.
	Recorder timeline.Recorder
	// Queue configures every pool's queue. The zero value means the defaults.
	Queue admission.Options
	// Picker chooses among eligible servers. Nil means the default.
	Picker routing.Picker
	// NoRetryBudget lets every retry pass: a baseline of measurements.
	NoRetryBudget bool
	// NoEarlyRefusal keeps hopeless requests waiting: a baseline of measurements.
	NoEarlyRefusal bool
}

// Engine holds all pools of one instance. It is not safe for concurrent use.
type Engine struct {
	options  Options
	recorder timeline.Recorder
	random   *rand.Rand
	router   *routing.Router
	store    *routing.Store
	config   *config.Snapshot
	pools    map[string]*pool
	order    []*pool // by name
	stopped  bool
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

// Waiting returns the number of requests that wait in all pools.
func (e *Engine) Waiting() int {
	n := 0
	for _, p := range e.order {
		n += p.queue.Len()
	}
	return n
}

// SetConfig puts a configuration in force. One older than the last is ignored.
func (e *Engine) SetConfig(now time.Time, c *config.Snapshot) {
	if e.config != nil && c.Version < e.config.Version {
		return
	}
	unchanged := e.config != nil && sameServers(e.config, c)
	e.config = c
	if unchanged {
		return
	}
	e.store.SetConfig(now, c)
	e.rebuilt(now)
}

// sameServers reports whether two snapshots differ in keys at most, which is what
// most changes are: pools and classes then stay as they are.
func sameServers(a, b *config.Snapshot) bool {
	if a.Text == "" || a.Text != b.Text {
		return false
	}
	outA, outB := a.ZonesOut(), b.ZonesOut()
	slices.Sort(outA)
	slices.Sort(outB)
	return slices.Equal(outA, outB)
}

// SetServers replaces the platform's list of model servers.
func (e *Engine) SetServers(now time.Time, servers []platform.Server) {
	e.store.SetServers(now, servers)
	e.rebuilt(now)
}

// SetMembers tells which instances share the servers; see routing.Membership.
func (e *Engine) SetMembers(now time.Time, names []string, asOf time.Time) {
	e.store.SetMembers(now, names, asOf)
	e.Tick(now)
}

// rebuilt gives the pools the new snapshot's candidates.
func (e *Engine) rebuilt(now time.Time) {
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
	e.order = slices.SortedFunc(maps.Values(e.pools), func(a, b *pool) int {
		return strings.Compare(a.name, b.name)
	})
	e.Tick(now)
}

// removePool refuses what waits for a pool that the configuration dropped.
func (e *Engine) removePool(now time.Time, p *pool) {
	for _, j := range p.waitingJobs() {
		e.refuse(now, j, result.NoBackendServer, "%q is no longer configured", p.name)
	}
	delete(e.pools, p.name)
}

// LoadReport takes an engine's lagging view of itself.
func (e *Engine) LoadReport(now time.Time, server string, r engineapi.LoadReport) {
	l := e.store.Live(server)
	if l == nil {
		return
	}
	e.watch(l, func() { l.Report(now, r) })
	e.pumpServer(now, server)
}

// CacheEvents takes a batch of an engine's cache events.
func (e *Engine) CacheEvents(now time.Time, server string, batch engineapi.CacheEvents) {
	l := e.store.Live(server)
	c := e.store.Snapshot().Servers[server]
	if l == nil || c == nil || e.pools[c.Model] == nil {
		return
	}
	e.watch(l, func() { e.pools[c.Model].prefixes.Events(now, l, batch) })
}

// Withdraw refuses the waiting requests of a key.
func (e *Engine) Withdraw(now time.Time, key config.KeyDigest) {
	for _, p := range e.order {
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
	for _, p := range e.order {
		for _, j := range p.waitingJobs() {
			e.refuse(now, j, result.InstanceDraining, "the instance stops")
		}
	}
}

// Tick expires waiting requests and starts what time alone has made possible.
func (e *Engine) Tick(now time.Time) {
	for _, p := range e.order {
		if p.queue.Len() == 0 {
			continue
		}
		e.expire(now, p)
		p.refresh(now, e.store.Members)
		e.pump(now, p)
		e.preempt(now, p)
	}
}

func (e *Engine) pumpServer(now time.Time, server string) {
	c := e.store.Snapshot().Servers[server]
	if c == nil {
		return
	}
	for _, name := range []string{c.Model, c.Service} {
		if p := e.pools[name]; p != nil && p.queue.Len() > 0 {
			p.refresh(now, e.store.Members)
			e.pump(now, p)
		}
	}
}

// watch records what an event changed in a server's state.
func (e *Engine) watch(l *routing.Live, event func()) {
	before := l.State()
	event()
	after := l.State()
	if before.Name != after.Name {
		e.recorder.Record(timeline.Event{
			Kind: timeline.ServerState, Server: l.Name(), From: before.Name, State: after.Name,
		})
	}
	if before.Bears != after.Bears {
		e.recorder.Record(timeline.Event{
			Kind: timeline.ServerLimit, Server: l.Name(), Count: int64(after.Bears),
		})
	}
}
