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
	// planInterval is the minimum time between two computations of the plan in
	// a large fleet.
	planInterval = 5 * time.Second
	// maxReads bounds the number of concurrent reads.
	maxReads = 32
)

// Peers carries messages between instances; *peer.Node implements it.
type Peers interface {
	Send(ctx context.Context, to string, m peer.Message) error
	Handle(kind peer.Kind, h peer.Handler)
}

// Sink receives what engines report; *scheduler.Scheduler implements it.
type Sink interface {
	// LoadReport receives a report whose UnixMillis has been converted to the
	// local clock.
	LoadReport(server string, r engineapi.LoadReport)
	// CacheEvents receives events numbered by this instance. A gap in the
	// numbers means that events were lost.
	CacheEvents(server string, e engineapi.CacheEvents)
}

// Options configure a Watch.
type Options struct {
	// Instance is the name of this instance. Required.
	Instance string
	// Zone is this instance's availability zone. Empty means unknown.
	Zone string
	// RegionOf returns the region of an availability zone. It must return the
	// same result on all instances. If nil, all availability zones are in one
	// region.
	RegionOf func(zone string) string
	// Peers transports digests. If nil, there are no other instances.
	Peers Peers
	// Sink receives load reports and cache events. Required.
	Sink Sink
	// Recorder receives timeline events. If nil, events are discarded.
	Recorder timeline.Recorder
	// Logger receives log messages. If nil, they are discarded.
	Logger hclog.Logger
	// Now returns the current time. If nil, time.Now is used.
	Now func() time.Time
}

// Watch reads the engines that the plan assigns to this instance and exchanges
// digests with the other instances. It is safe for concurrent use.
type Watch struct {
	options   Options
	reader    *reader
	readSlots chan struct{}
	reads     sync.WaitGroup

	mu        sync.Mutex
	core      *Core
	members   []Member
	servers   []platform.Server
	plan      *Plan
	planStale bool // a list has changed since the plan was computed
	plannedAt time.Time
}

// New returns a Watch without engines and other instances.
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
		options:   o,
		reader:    newReader(o.Now),
		readSlots: make(chan struct{}, maxReads),
		core:      newCore(o.Instance),
	}
	w.members = []Member{w.self()}
	w.plan = NewPlan(w.members, nil)
	if o.Peers != nil {
		o.Peers.Handle(peer.KindLoadDigest, w.handleDigest)
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
	w.planStale = true
	w.replan(w.options.Now())
}

// SetMembers replaces the list of instances. Without Options.Peers, the other
// instances are ignored. Leaving instances are not members of the plan, so they
// read nothing for others.
func (w *Watch) SetMembers(list []platform.Instance) {
	members := []Member{w.self()}
	for _, i := range list {
		if w.options.Peers != nil && !i.Draining && i.Name != w.options.Instance {
			members = append(members, Member{Name: i.Name, Zone: i.Zone, Region: w.options.RegionOf(i.Zone)})
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if sameMembers(w.members, members) {
		return
	}
	w.members = members
	w.planStale = true
	w.replan(w.options.Now())
}

// Subset returns the names of the model servers that this instance routes to,
// sorted.
func (w *Watch) Subset() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.plan.Subset(w.options.Instance)
}

// replan computes the plan if a list has changed, in a large fleet at most once
// per planInterval. The caller holds the lock.
func (w *Watch) replan(now time.Time) {
	if !w.planStale || len(w.members) > maxSmallFleet && now.Sub(w.plannedAt) < planInterval {
		return
	}
	w.planStale, w.plannedAt = false, now
	var servers []Server
	var engines []watched
	for _, s := range w.servers {
		if s.Model == "" || s.State == platform.ServerRemoved || s.State == platform.ServerStarting {
			continue
		}
		servers = append(servers, Server{Name: s.Name, Zone: s.Zone, Region: w.options.RegionOf(s.Zone), Pool: s.Model})
		engines = append(engines, watched{name: s.Name, address: s.Address})
	}
	w.plan = NewPlan(w.members, servers)
	w.core.setPlan(now, w.plan, engines)
}

// Run reads engines and sends digests until ctx ends.
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
	reads, digests := w.core.dueReads(now), w.core.flush(now)
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

// Timeline chart and states of the changes of an engine's reader.
const (
	chartReader    = "engine-reader"
	stateReading   = "reading"
	stateListening = "listening"
)

func (w *Watch) record(changes []readerChange) {
	for _, c := range changes {
		from, to := stateReading, stateListening
		if c.reading {
			from, to = to, from
		}
		w.options.Recorder.Record(timeline.Event{
			Kind: timeline.StateEntered, Chart: chartReader, Subject: c.server, From: from, State: to,
		})
	}
}

func (w *Watch) read(ctx context.Context, r readTask) {
	w.readSlots <- struct{}{}
	defer func() { <-w.readSlots }()
	result, err := w.reader.read(ctx, r)
	if err != nil {
		w.options.Logger.Debug("cannot read engine; retrying at its next read interval", "server", r.server.name, "error", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deliver(w.core.finishRead(w.options.Now(), r, result))
}

func (w *Watch) send(ctx context.Context, o outgoingDigest) {
	if w.options.Peers == nil {
		return
	}
	body, err := o.digest.encode()
	if err == nil {
		err = w.options.Peers.Send(ctx, o.peer, peer.Message{Kind: peer.KindLoadDigest, Body: body})
	}
	if err != nil {
		w.options.Logger.Debug("cannot send digest; dropping it", "peer", o.peer, "error", err)
	}
}

func (w *Watch) handleDigest(from string, m peer.Message) {
	d, err := decodeDigest(m.Body)
	if err != nil {
		w.options.Logger.Warn("cannot decode digest; dropping it", "peer", from, "error", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deliver(w.core.applyDigest(w.options.Now(), from, &d))
}

// deliver passes updates to the sink. The caller holds the lock, which
// preserves their order.
func (w *Watch) deliver(list []update) {
	for _, u := range list {
		if u.load != nil {
			w.options.Sink.LoadReport(u.server, *u.load)
		}
		if u.cache != nil {
			w.options.Sink.CacheEvents(u.server, *u.cache)
		}
	}
}
