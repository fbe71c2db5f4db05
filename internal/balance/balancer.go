package balance

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/retrybudget"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Options configure a Balancer.
type Options struct {
	// Instance is this instance's name among the members. Required.
	Instance string
	// Zone is this instance's availability zone.
	Zone string
	// Retries bounds repeated sends per service over all instances.
	Retries RetryBound
	// ColdOvershoot and ColdTolerance relax a service's cold rate: a cold server
	// gets at most rate*ColdOvershoot+ColdTolerance requests in any second.
	ColdOvershoot, ColdTolerance float64
	// Hold is the time that the best server for a request may still need for what
	// this instance sent it before a less urgent request is held back, until its
	// patience is over. Zero: DefaultHold.
	Hold time.Duration
	// Scorer judges servers. Nil: Estimate.
	Scorer Scorer
	// Recorder hears which servers are suspect or cold. Nil: timeline.Discard.
	Recorder timeline.Recorder
	// Now is the clock. Nil: boottime.Now.
	Now func() boottime.Instant
}

// RetryBound is a bound on repeated sends, over all instances.
type RetryBound struct {
	Span  time.Duration
	Ratio float64 // repeats per request
	Slack float64 // repeats beside them
}

// coldSpare is the part of a cold server's bound that is used.
const coldSpare = 0.85

// Balancer holds what this instance knows of all backend servers, and the
// requests that wait for one. It is safe for concurrent use.
type Balancer struct {
	options Options
	now     func() boottime.Instant

	mu      sync.Mutex
	table   *routes.Table
	pools   map[string]*pool
	servers map[string]*server
	members []string // sorted; empty while unknown
	out     map[string]bool
	ticking bool
	sent    []Sent // to be told to other instances
}

// pool is the servers of one service.
type pool struct {
	name    string
	spec    routes.Service
	engine  bool
	servers []*server
	waiting *admission.Queue[*waiter]
	repeats *retrybudget.Window
	work    work

	median  slowdown // of the servers
	pressed pressure

	repeated, notRepeated uint64 // sends that the bound allowed, and did not
}

// New returns a balancer that knows no service.
func New(o Options) *Balancer {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Hold == 0 {
		o.Hold = DefaultHold
	}
	if o.Scorer == nil {
		o.Scorer = Estimate{}
	}
	return &Balancer{
		options: o, now: o.Now, pools: map[string]*pool{},
		servers: map[string]*server{}, out: map[string]bool{},
	}
}

// SetTable puts a configuration in force.
func (b *Balancer) SetTable(t *routes.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = t
	for _, spec := range t.Services {
		p := b.pool(spec.Name)
		p.spec = spec
		p.engine = spec.Engine != nil
	}
	b.pumpAll()
}

// pool returns the named pool, a new one if there is none yet. Servers may
// register before the configuration names their service.
func (b *Balancer) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{
			name:    name,
			waiting: newQueue(),
			repeats: retrybudget.NewWindow(b.options.Retries.Span, b.options.Retries.Ratio, b.retrySlack()),
		}
		b.pools[name] = p
	}
	return p
}

// SetServers replaces the list of backend servers.
func (b *Balancer) SetServers(list []directory.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, p := range b.pools {
		p.servers = nil
	}
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		s := b.servers[entry.ID]
		if s == nil || s.Born != entry.Born || s.Address != entry.Address {
			s = newServer()
			b.servers[entry.ID] = s
		}
		s.Server = entry
		s.zoneOut = b.out[entry.Zone]
		p := b.pool(entry.Service)
		p.servers = append(p.servers, s)
	}
	for id := range b.servers {
		if !listed[id] {
			delete(b.servers, id)
		}
	}
	for _, p := range b.pools {
		slices.SortFunc(p.servers, func(x, y *server) int { return strings.Compare(x.ID, y.ID) })
		b.pump(now, p)
	}
}

// SetZonesOut takes the availability zones that operators took out. Servers of a
// zone that comes back count as cold.
func (b *Balancer) SetZonesOut(zones []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := make(map[string]bool, len(zones))
	for _, zone := range zones {
		out[zone] = true
	}
	for _, p := range b.pools {
		for _, s := range p.servers {
			if s.zoneOut && !out[s.Zone] {
				s.coldUntil = now.Add(p.spec.ColdTime + coldReturnMargin)
				b.record(s, timeline.Event{Kind: timeline.ServerCold, Duration: p.spec.ColdTime + coldReturnMargin})
			}
			s.zoneOut = out[s.Zone]
		}
	}
	b.out = out
	b.pumpAll()
}

// coldReturnMargin is added to the cold time of servers whose zone comes back.
const coldReturnMargin = time.Second

// SetMembers takes the names of all instances that may be live, this one included.
func (b *Balancer) SetMembers(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = slices.Clone(names)
	slices.Sort(b.members)
	for _, p := range b.pools {
		p.repeats.SetSlack(b.retrySlack())
	}
}

// Instances is the number of instances that share the servers, a large one while
// it is unknown.
func (b *Balancer) Instances() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.members) == 0 {
		return unknownMembers
	}
	return len(b.members)
}

// instances is the number of known instances, at least 1.
func (b *Balancer) instances() int { return max(len(b.members), 1) }

// unknownMembers is the number of instances assumed before a list was read.
const unknownMembers = 64

// retrySlack is this instance's part of the repeats beside the ratio.
func (b *Balancer) retrySlack() float64 {
	if len(b.members) == 0 {
		return b.options.Retries.Slack / unknownMembers
	}
	return b.options.Retries.Slack / float64(len(b.members))
}

// limit is the number of own requests that a server may have in flight.
func (b *Balancer) limit(p *pool, s *server) int {
	slots := s.Capacity
	if p.spec.Engine != nil && p.spec.Engine.Slots > 0 {
		slots = p.spec.Engine.Slots
	}
	const own = 2 // times the even part, since callers are spread unevenly
	return max(own, int(math.Ceil(own*float64(slots)/float64(b.instances()))))
}

// coldShare is the number of requests that this instance may send to a cold
// server in any second. Where there are more instances than requests, each
// server has its own set of instances that may send one.
func (b *Balancer) coldShare(p *pool, s *server) int {
	if len(b.members) == 0 {
		return 0
	}
	if p.spec.ColdRate <= 0 {
		return math.MaxInt
	}
	total := int(coldSpare * (p.spec.ColdRate*b.options.ColdOvershoot + b.options.ColdTolerance))
	if share := total / len(b.members); share > 0 {
		return share
	}
	key := xxhash.Sum64String(s.ID)
	own := rendezvous(key, b.options.Instance)
	before := 0
	for _, name := range b.members {
		if rendezvous(key, name) > own {
			before++
		}
	}
	if before < total {
		return 1
	}
	return 0
}

// allSuspect reports whether every usable server of the pool was not reached lately.
func (p *pool) allSuspect(now boottime.Instant) bool {
	for _, s := range p.servers {
		if s.usable() && !s.suspect(now) {
			return false
		}
	}
	return true
}

// Request counts one request for a service towards its bound on repeats.
func (b *Balancer) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool(service).repeats.Request(time.Duration(b.now()))
}

// MayRepeat takes one repeated send from the service's bound, and reports
// whether it allows one.
func (b *Balancer) MayRepeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(service)
	if !p.repeats.Take(time.Duration(b.now())) {
		p.notRepeated++
		return false
	}
	p.repeated++
	return true
}

// record adds an event about a server to the time line.
func (b *Balancer) record(s *server, e timeline.Event) {
	e.Server, e.Zone, e.Service = s.ID, s.Zone, s.Service
	b.options.Recorder.Record(e)
}

// recordTrust adds an event when an outcome has made a listed server suspect or
// has ended that; unreached is the number of failures in a row before it.
func (b *Balancer) recordTrust(s *server, unreached int, o Outcome, now boottime.Instant) {
	switch {
	case b.servers[s.ID] != s:
	case unreached == 0 && s.unreached > 0:
		b.record(s, timeline.Event{Kind: timeline.ServerSuspect, State: o.String(), Duration: s.suspectUntil.Sub(now)})
	case unreached > 0 && s.unreached == 0:
		b.record(s, timeline.Event{Kind: timeline.ServerTrusted})
	}
}

// tierName is the name of a class of waiting requests.
func tierName(priority int) string { return "priority-" + strconv.Itoa(tierOf(priority)) }
