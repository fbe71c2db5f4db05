package balance

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/pace"
	"github.com/hawthornwick/hawthornwick/internal/retrybudget"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Options configures a Balancer.
type Options struct {
	// Instance is this instance's name among the members. Required.
	Instance string
	// Zone is this instance's availability zone.
	Zone string
	// Retries limits retries per service, over all instances.
	Retries RetryLimit
	// ColdOvershoot and ColdTolerance relax a service's cold rate: a cold server
	// gets at most rate*ColdOvershoot+ColdTolerance requests in any second, over
	// all instances.
	ColdOvershoot, ColdTolerance float64
	// HoldThreshold is the pending prefill time on the best server, counting only
	// this instance's requests, above which less urgent requests are held in the
	// queue. They are held until their maximum wait has passed. Zero means
	// DefaultHoldThreshold.
	HoldThreshold time.Duration
	// Scorer estimates the cost of servers. If nil, Estimate is used.
	Scorer Scorer
	// Recorder receives events when servers become suspect or cold. If nil,
	// timeline.Discard is used.
	Recorder timeline.Recorder
	// Pace holds what is known of the servers' performance. If nil, all servers of a kind
	// are assumed to be equal.
	Pace *pace.Book
	// Now is the clock. If nil, boottime.Now is used.
	Now func() boottime.Instant
	// Wall is the time of day, on which instances should agree. If nil, time.Now is used.
	Wall func() time.Time
}

// RetryLimit limits retries over all instances: in any window of the given length, at
// most Ratio per request plus Slack.
type RetryLimit struct {
	Window time.Duration // length of the sliding window
	Ratio  float64       // retries per request
	Slack  float64       // retries allowed in addition, whatever the number of requests
}

// Balancer holds this instance's view of all backend servers, and the queue of
// requests that wait for one. It is safe for concurrent use.
type Balancer struct {
	options Options
	now     func() boottime.Instant

	mu       sync.Mutex
	table    *routes.Table
	pools    map[string]*pool
	servers  map[string]*server
	unlisted advisory.Memory[incarnation, boottime.Instant]
	members  []string // sorted; empty until the first list was read
	// membersVersion increases with each list of members.
	membersVersion uint64
	drainedZones   map[string]bool
	timerArmed     bool
	unpublished    []SentPrompt // prompts to publish to the other instances

	nextExcessEvent boottime.Instant // see checkOthers
}

// pool is the state of one service: its servers and its queue.
type pool struct {
	name        string
	spec        routes.Service
	engine      bool
	servers     []*server
	waiting     *admission.Queue[*waiter]
	bound       map[string]*admission.Queue[*waiter] // bound queries by version, see queueFor
	retryWindow *retrybudget.Window
	tokens      tokenCounter
	arrivals    arrivals
	renewals    []boottime.Instant // reused between decisions; see freeShares
	versions    versions

	median      slowdown // median slowdown of the servers
	meanPrefill meanPrefill
	even        evenRate

	hasTight    bool // tight streams were seen
	tightSet    tightSet
	speeds      speeds
	byTightRank []*server // servers by tightRank

	retriesAllowed, retriesDenied uint64
	excessLoads                   uint64 // reported loads beyond what a server can hold
}

// New returns a balancer without services or servers.
func New(o Options) *Balancer {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.HoldThreshold == 0 {
		o.HoldThreshold = DefaultHoldThreshold
	}
	if o.Scorer == nil {
		o.Scorer = Estimate{}
	}
	return &Balancer{
		options: o, now: o.Now, pools: map[string]*pool{},
		servers: map[string]*server{}, drainedZones: map[string]bool{},
	}
}

// SetTable applies a configuration.
func (b *Balancer) SetTable(t *routes.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = t
	for _, spec := range t.Services {
		p := b.pool(spec.Name)
		p.spec = spec
		p.engine = spec.Engine != nil
		p.hasTight = false // that of the new configuration is learned from its requests
	}
	b.dispatchAll()
}

// pool returns the named pool and creates it if necessary: servers may register
// before the configuration names their service.
func (b *Balancer) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{
			name:        name,
			waiting:     newQueue(),
			bound:       map[string]*admission.Queue[*waiter]{},
			retryWindow: retrybudget.NewWindow(b.options.Retries.Window, b.options.Retries.Ratio, b.retrySlack()),
		}
		b.pools[name] = p
	}
	return p
}

// SetServers replaces the list of backend servers. The state of a server is kept if
// its ID, start time and address are unchanged.
func (b *Balancer) SetServers(list []directory.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, p := range b.pools {
		p.servers = nil
	}
	b.setPaceServers(list)
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		s := b.servers[entry.ID]
		if s != nil && incarnationOf(s.Server) != incarnationOf(entry) {
			b.forget(now, s)
			s = nil
		}
		if s == nil {
			s = newServer(b.unlisted.Take(incarnationOf(entry)))
			s.tightRank = rendezvous(tightSetKey, entry.ID)
			s.spread = b.spread(entry.ID)
			b.servers[entry.ID] = s
		}
		s.Server = entry
		s.zoneDrained = b.drainedZones[entry.Zone]
		p := b.pool(entry.Service)
		p.servers = append(p.servers, s)
	}
	for id, s := range b.servers {
		if !listed[id] {
			b.forget(now, s)
		}
	}
	for _, p := range b.pools {
		slices.SortFunc(p.servers, func(x, y *server) int { return strings.Compare(x.ID, y.ID) })
		p.rankServers()
		b.dispatch(now, p)
	}
}

// forget removes a server that is no longer listed. What it has stated is kept, in case
// its row returns.
func (b *Balancer) forget(now boottime.Instant, s *server) {
	delete(b.servers, s.ID)
	b.unlisted.Keep(now, incarnationOf(s.Server), s.stated)
}

// SetDrainedZones sets the availability zones that operators have drained. When a zone
// returns, its servers count as cold.
func (b *Balancer) SetDrainedZones(zones []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	drained := make(map[string]bool, len(zones))
	for _, zone := range zones {
		drained[zone] = true
	}
	for _, p := range b.pools {
		for _, s := range p.servers {
			if s.zoneDrained && !drained[s.Zone] {
				s.coldUntil = now.Add(p.spec.ColdTime + coldReturnMargin)
				b.record(s, timeline.Event{Kind: timeline.ServerCold, Duration: p.spec.ColdTime + coldReturnMargin})
			}
			s.zoneDrained = drained[s.Zone]
		}
	}
	b.drainedZones = drained
	b.dispatchAll()
}

// coldReturnMargin is added to the cold time of servers whose zone returns.
const coldReturnMargin = time.Second

// SetMembers sets the names of all instances that may be live, including this one.
func (b *Balancer) SetMembers(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sorted := slices.Sorted(slices.Values(names))
	if !slices.Equal(sorted, b.members) {
		b.members = sorted
		b.membersVersion++
	}
	for _, p := range b.pools {
		p.retryWindow.SetSlack(b.retrySlack())
	}
}

// Instances returns the number of instances that share the servers. Before the
// first list of members it returns a large number, so that callers use conservative
// rates.
func (b *Balancer) Instances() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.members) == 0 {
		return assumedInstances
	}
	return len(b.members)
}

// instances returns the number of known instances, at least 1.
func (b *Balancer) instances() int { return max(len(b.members), 1) }

// assumedInstances is the number of instances assumed before the first list of
// members was read.
const assumedInstances = 64

// retrySlack returns this instance's share of the retries that are allowed in
// addition to the ratio.
func (b *Balancer) retrySlack() float64 {
	if len(b.members) == 0 {
		return b.options.Retries.Slack / assumedInstances
	}
	return b.options.Retries.Slack / float64(len(b.members))
}

// inFlightLimit returns the number of this instance's requests that a server may
// have in flight.
func (b *Balancer) inFlightLimit(p *pool, s *server) int {
	const evenShareFactor = 2 // times the even share, since callers are spread unevenly over instances
	return max(evenShareFactor, int(math.Ceil(evenShareFactor*float64(p.slots(s))/float64(b.instances()))))
}

// slots returns the number of requests that a server runs concurrently. Zero means
// unknown.
func (p *pool) slots(s *server) int {
	if p.spec.Engine != nil && p.spec.Engine.Slots > 0 {
		return p.spec.Engine.Slots
	}
	return s.Capacity
}

// allSuspect reports whether every usable server that may run the query is suspect.
func (p *pool) allSuspect(now boottime.Instant, q *Query) bool {
	for _, s := range p.servers {
		if s.usableFor(q) && p.versions.permits(s, q) && !s.suspect(now) {
			return false
		}
	}
	return true
}

// CountRequest counts one request of a service towards its retry limit.
func (b *Balancer) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(service)
	p.retryWindow.CountRequest(time.Duration(b.now()))
	p.countRequest(b.now())
}

// TryRetry consumes one retry from the service's limit. It returns false when the
// limit is exhausted.
func (b *Balancer) TryRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(service)
	if !p.retryWindow.Take(time.Duration(b.now())) {
		p.retriesDenied++
		return false
	}
	p.retriesAllowed++
	return true
}

// record adds an event about a server to the timeline.
func (b *Balancer) record(s *server, e timeline.Event) {
	e.Server, e.Zone, e.Service = s.ID, s.Zone, s.Service
	b.options.Recorder.Record(e)
}

// recordSuspicion adds an event when an outcome has made a listed server suspect,
// or has cleared the suspicion. previousFailures is the number of consecutive
// failures before the outcome.
func (b *Balancer) recordSuspicion(s *server, previousFailures int, o Outcome, now boottime.Instant) {
	switch {
	case b.servers[s.ID] != s:
	case previousFailures == 0 && s.consecutiveFailures > 0:
		b.record(s, timeline.Event{Kind: timeline.ServerSuspect, State: o.String(), Duration: s.suspectUntil.Sub(now)})
	case previousFailures > 0 && s.consecutiveFailures == 0:
		b.record(s, timeline.Event{Kind: timeline.ServerRecovered})
	}
}

// className returns the name of the queue class for a priority.
func className(priority int) string { return "priority-" + strconv.Itoa(tierOf(priority)) }
