package enginewatch

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	tickInterval = 50 * time.Millisecond
	// planInterval is the time between two plans of a large fleet.
	planInterval = 5 * time.Second
	// maxReads bounds the reads under way at once.
	maxReads = 32
)

// Peers carries messages between instances; *peer.Node implements it.
type Peers interface {
	Send(ctx context.Context, to string, m peer.Message) error
	Handle(kind peer.Kind, h peer.Handler)
}

// Sink takes what engines report; *scheduler.Scheduler implements it.
type Sink interface {
	// LoadReport takes a report whose UnixMillis is by the local clock.
	LoadReport(server string, r engineapi.LoadReport)
	// CacheEvents takes events with sequence numbers of this instance; a gap in
	// them means that events were lost.
	CacheEvents(server string, e engineapi.CacheEvents)
}

// Options configure a Watch.
type Options struct {
	// Instance is the name of this instance. Required.
	Instance string
	// Zone is this instance's availability zone. Empty means unknown.
	Zone string
	// RegionOf returns the region of an availability zone; all instances must get
	// the same answers. Nil means that all availability zones are in one region.
	RegionOf func(zone string) string
	// Peers carries digests. Nil means that there are no other instances.
	Peers Peers
	// Sink takes reports and events. Required.
	Sink Sink
	// Recorder takes time line events. Nil means none.
	Recorder timeline.Recorder
	// Logger takes log lines. Nil means none.
	Logger hclog.Logger
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
}

// Watch reads the engines that are this instance's to read and exchanges
// digests with the other instances. All methods are safe for concurrent use.
type Watch struct {
	options Options
	reader  *reader
	slots   chan struct{}
	reads   sync.WaitGroup

	mu      sync.Mutex
	core    *Core
	members []Member
	servers []platform.Server
	plan    *Plan
	stale   bool // a list has changed since the plan
	planned time.Time
}

// New returns a Watch that knows of no engines and no other instances.
func New(o Options) *Watch {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.RegionOf == nil {
		o.RegionOf = func(string) string { return "" }
	}
	w := &Watch{
		options: o,
		reader:  newReader(o.Now),
		slots:   make(chan struct{}, maxReads),
		core:    newCore(o.Instance),
	}
	w.members = []Member{w.self()}
	w.plan = NewPlan(w.members, nil)
	if o.Peers != nil {
		o.Peers.Handle(peer.KindLoadDigest, w.takeMessage)
	}
	return w
}

func (w *Watch) self() Member {
	o := &w.options
	return Member{Name: o.Instance, Zone: o.Zone, Region: o.RegionOf(o.Zone)}
}

// SetServers replaces the platform's list of backend servers.
func (w *Watch) SetServers(list []platform.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if sameServers(w.servers, list) {
		return
	}
	w.servers = list
	w.stale = true
	w.replan(w.options.Now())
}

// SetMembers replaces the list of instances. Without Peers no other instance
// counts. Leaving instances read nothing for others.
func (w *Watch) SetMembers(list []platform.Instance) {
	members := []Member{w.self()}
	for _, i := range list {
		if w.options.Peers != nil && !i.Leaving && i.Name != w.options.Instance {
			members = append(members, Member{Name: i.Name, Zone: i.Zone, Region: w.options.RegionOf(i.Zone)})
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if sameMembers(w.members, members) {
		return
	}
	w.members = members
	w.stale = true
	w.replan(w.options.Now())
}

// Subset returns the names of the model servers that this instance routes to,
// in order.
func (w *Watch) Subset() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.plan.Subset(w.options.Instance)
}

// replan computes the plan after a change of the lists; in a large fleet not
// more often than each planInterval. The caller holds the lock.
func (w *Watch) replan(now time.Time) {
	if !w.stale || len(w.members) > smallFleet && now.Sub(w.planned) < planInterval {
		return
	}
	w.stale, w.planned = false, now
	var servers []Server
	var engines []watched
	for _, s := range w.servers {
		if s.Model == "" || s.State == platform.ServerGone || s.State == platform.ServerStarting {
			continue
		}
		servers = append(servers, Server{Name: s.Name, Zone: s.Zone, Region: w.options.RegionOf(s.Zone), Pool: s.Model})
		engines = append(engines, watched{name: s.Name, address: s.Address})
	}
	w.plan = NewPlan(w.members, servers)
	w.core.setPlan(now, w.plan, engines)
}

// Run reads and sends until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		w.tick(ctx)
		select {
		case <-ctx.Done():
			w.reads.Wait()
			w.reader.close()
			return
		case <-ticker.C:
		}
	}
}

func (w *Watch) tick(ctx context.Context) {
	w.mu.Lock()
	now := w.options.Now()
	w.replan(now)
	reads, digests := w.core.due(now), w.core.flush(now)
	changes := w.core.takeChanges()
	w.mu.Unlock()
	w.record(changes)
	for _, r := range reads {
		w.reads.Go(func() { w.read(ctx, r) })
	}
	for _, o := range digests {
		w.send(ctx, o)
	}
}

// Chart and states of the time line's events about readers.
const (
	chartReader  = "engine-reader"
	stateReads   = "reading"
	stateListens = "listening"
)

func (w *Watch) record(changes []change) {
	for _, c := range changes {
		from, to := stateReads, stateListens
		if c.reads {
			from, to = to, from
		}
		w.options.Recorder.Record(timeline.Event{
			Kind: timeline.StateEntered, Chart: chartReader, Subject: c.server, From: from, State: to,
		})
	}
}

func (w *Watch) read(ctx context.Context, r read) {
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	result, err := w.reader.read(ctx, r)
	if err != nil {
		w.options.Logger.Debug("engine not read", "server", r.server.name, "error", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pass(w.core.done(w.options.Now(), r, result))
}

func (w *Watch) send(ctx context.Context, o outgoing) {
	if w.options.Peers == nil {
		return
	}
	body, err := o.digest.encode()
	if err == nil {
		err = w.options.Peers.Send(ctx, o.peer, peer.Message{Kind: peer.KindLoadDigest, Body: body})
	}
	if err != nil {
		w.options.Logger.Debug("digest not sent", "peer", o.peer, "error", err)
	}
}

func (w *Watch) takeMessage(from string, m peer.Message) {
	d, err := decodeDigest(m.Body)
	if err != nil {
		w.options.Logger.Warn("digest not read", "peer", from, "error", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pass(w.core.take(w.options.Now(), from, &d))
}

// pass hands news to the sink. The caller holds the lock, which keeps them in
// order.
func (w *Watch) pass(list []news) {
	for _, n := range list {
		if n.load != nil {
			w.options.Sink.LoadReport(n.server, *n.load)
		}
		if n.cache != nil {
			w.options.Sink.CacheEvents(n.server, *n.cache)
		}
	}
}
