package edge

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// feedTimeout is added to the wait of a call to give its timeout.
	feedTimeout = 700 * time.Millisecond
	// readTimeout is the timeout for reading one page of a table.
	readTimeout = 1500 * time.Millisecond
	// revocationMargin is the maximum time from the check of a key until the request
	// reaches a server.
	revocationMargin = 300 * time.Millisecond
	// expireInterval is the interval between two checks for servers that did not
	// register again after an outage.
	expireInterval = 200 * time.Millisecond
)

// storeView is this instance's copy of the operators' and servers' tables: the
// configuration, the drained availability zones, and the backend servers.
type storeView struct {
	platform Platform
	bounds   Bounds
	balancer *balance.Balancer
	recorder timeline.Recorder
	sharing  *sharing
	rollouts *rollouts
	clock    *truetime.Clock

	operators *tablefeed.Follower
	servers   *tablefeed.Follower
	table     atomic.Pointer[routes.Table]

	mu           sync.Mutex
	drainedZones map[string]bool
	directory    *directory.Directory
	unreadable   map[string]bool // entries already recorded as unreadable
	notices      chan struct{}   // receives after a preemptible server stated that it leaves
}

var _ gateway.Source = (*storeView)(nil)

func newStoreView(p Platform, bounds Bounds, b *balance.Balancer, h *sharing, orders *rollouts, clock *truetime.Clock, recorder timeline.Recorder) *storeView {
	v := &storeView{
		platform: p, bounds: bounds, balancer: b, recorder: recorder, sharing: h, rollouts: orders, clock: clock,
		drainedZones: map[string]bool{}, directory: directory.New(), unreadable: map[string]bool{}, notices: make(chan struct{}, 1),
	}
	v.operators = tablefeed.New(h.sharedOptions(tablefeed.Options{
		Feed: p.Operators, Wait: v.operatorsWait, CallTimeout: feedTimeout, ReadTimeout: readTimeout,
		Apply: v.applyOperators, AnsweredAt: clock.Observe, Recorder: recorder,
		MaxRetryDelay: func() time.Duration { return operatorsRetryDelay(b.Instances()) },
	}, operatorsTable, maxSourceAge))
	v.servers = tablefeed.New(h.sharedOptions(tablefeed.Options{
		Feed: p.Servers, Wait: v.serversWait, CallTimeout: feedTimeout, ReadTimeout: readTimeout, Pause: v.serversPause,
		Apply: v.applyServers, AnsweredAt: clock.Observe, Recorder: recorder, MaxRetryDelay: otherTablesRetryDelay,
	}, serversTable, maxSourceAge))
	return v
}

// run follows the tables until ctx ends.
func (v *storeView) run(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { v.operators.Run(ctx) })
	running.Go(func() { v.servers.Run(ctx) })
	running.Go(func() { wait.Every(ctx, expireInterval, v.expire) })
}

// Table implements gateway.Source.
func (v *storeView) Table() *routes.Table { return v.table.Load() }

// KeysFresh implements gateway.Source.
func (v *storeView) KeysFresh() bool {
	if v.bounds.Revocation <= 0 {
		return true
	}
	return v.keysValidFor() > revocationMargin
}

// KeysValidFor implements gateway.Source.
func (v *storeView) KeysValidFor() time.Duration {
	if v.bounds.Revocation <= 0 {
		return 0
	}
	return max(v.keysValidFor(), time.Millisecond)
}

// keysValidFor returns the time until a key that is valid now may have been withdrawn for
// longer than Bounds.Revocation. It may be negative.
func (v *storeView) keysValidFor() time.Duration {
	return v.bounds.Revocation - boottime.Now().Sub(v.operators.CurrentAsOf())
}

// operatorsWait returns how long the store may hold a call for the operators' table.
func (v *storeView) operatorsWait() time.Duration {
	return operatorsWait(v.sharing.role(), v.balancer.Instances(), v.bounds.Revocation)
}

// serversWait returns how long the store may hold a call for the servers' table.
func (v *storeView) serversWait() time.Duration { return serversWait(v.sharing.role()) }

// serversPause returns the minimum interval between two calls for the servers' table.
func (v *storeView) serversPause() time.Duration {
	return serversPause(v.sharing.role(), v.storeReaders(), v.bounds.Leaving)
}

// storeReaders returns the number of instances that read the store directly.
func (v *storeView) storeReaders() int {
	if v.sharing.role() == roleStandalone {
		return v.balancer.Instances()
	}
	return v.sharing.group.StoreReaders()
}

// UpToDate implements gateway.Source. The configuration is up to date as long as the
// calls of the feed are answered in time, because the store answers on each change.
func (v *storeView) UpToDate() bool {
	return boottime.Now().Sub(v.operators.CurrentAsOf()) < max(v.operatorsWait(), maxSourceAge)+feedTimeout
}

// isDrained reports whether operators have drained the availability zone.
func (v *storeView) isDrained(zone string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.drainedZones[zone]
}

// loaded reports whether the configuration and the servers' table were read.
func (v *storeView) loaded() bool {
	return v.Table() != nil && !v.servers.CurrentAsOf().IsZero()
}

// applyOperators applies rows of the operators' table.
func (v *storeView) applyOperators(u tablefeed.Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	drained := v.drainedZones
	if u.Full {
		drained = map[string]bool{}
	}
	ordered := map[string]bool{}
	for _, row := range u.Rows {
		decoded, err := v.platform.DecodeOperator(row.Key, row.Value, row.Removed)
		switch {
		case err != nil:
			v.recorder.Record(timeline.Event{Kind: timeline.ConfigRefused, Subject: row.Key, Detail: err.Error()})
		case decoded.Config != nil:
			v.applyConfig(*decoded.Config)
		case decoded.Zone != "":
			v.setZone(drained, decoded, row.Version)
		case decoded.RolloutOf != "":
			v.setRollout(decoded, row.Version)
		}
		ordered[decoded.RolloutOf] = true
	}
	if u.Full {
		v.rollouts.keepOnly(ordered)
	}
	v.drainedZones = drained
	v.balancer.SetDrainedZones(zoneNames(drained))
}

// setRollout applies the row of an order for a rollout. version is that of the row.
func (v *storeView) setRollout(row OperatorRow, version uint64) {
	if row.Rollout == nil {
		v.rollouts.withdraw(row.RolloutOf, version)
		return
	}
	o := *row.Rollout
	o.Revision = version
	v.rollouts.setOrder(o)
}

// setZone marks an availability zone as drained or in use in the given set. version
// is that of the row.
func (v *storeView) setZone(drained map[string]bool, row OperatorRow, version uint64) {
	kind := timeline.ZoneRestored
	if row.Drained {
		drained[row.Zone] = true
		kind = timeline.ZoneDrained
	} else {
		delete(drained, row.Zone)
	}
	v.recorder.Record(timeline.Event{Kind: kind, Zone: row.Zone, Version: version})
}

func zoneNames(drained map[string]bool) []string {
	var names []string
	for zone := range drained {
		names = append(names, zone)
	}
	slices.Sort(names)
	return names
}

// applyConfig applies a configuration unless an equal or newer version is in force.
func (v *storeView) applyConfig(c routes.Config) {
	current := v.table.Load()
	if current != nil && c.Version <= current.Version {
		return
	}
	t, err := routes.Compile(c)
	if err != nil {
		v.recorder.Record(timeline.Event{Kind: timeline.ConfigRefused, Version: c.Version, Detail: err.Error()})
		return
	}
	v.balancer.SetTable(t)
	v.table.Store(t)
	v.recorder.Record(timeline.Event{
		Kind: timeline.ConfigApplied, Version: c.Version,
		Detail: fmt.Sprintf("routes=%d services=%d organisations=%d", len(c.Routes), len(c.Services), len(c.Organisations)),
	})
	v.recordRevokedKeys(current, t)
}

// recordRevokedKeys adds an event for each key that a new version no longer contains.
func (v *storeView) recordRevokedKeys(before, after *routes.Table) {
	if before == nil {
		return
	}
	for key, organisation := range before.RevokedKeys(after) {
		v.recorder.Record(timeline.Event{
			Kind: timeline.KeyWithdrawn, KeyDigest: string(key), Organisation: organisation, Version: after.Version,
		})
	}
}

// applyServers applies rows of the servers' table.
func (v *storeView) applyServers(u tablefeed.Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.Restored {
		v.directory.Restored(boottime.Now())
	}
	v.forgetUnreadable(u)
	changes := directory.Changes(u, v.decodeServer)
	notices := v.newNotices(changes)
	v.directory.Apply(boottime.Now(), changes, u.Full, u.Gap)
	v.balancer.SetServers(v.directory.Servers())
	for _, c := range changes {
		v.recordServer(c)
	}
	for _, c := range notices {
		v.signalNotice(c)
	}
}

// newNotices returns the changes of servers that are not known to leave yet. A server that
// leaves writes its row again, which must not bring the next plan forward each time.
func (v *storeView) newNotices(changes []directory.Change) []directory.Change {
	var notices []directory.Change
	for _, c := range changes {
		if c.Entry != nil && c.Entry.Draining && !v.directory.Draining(c.ID, c.Entry.StartedMillis) {
			notices = append(notices, c)
		}
	}
	return notices
}

// signalNotice tells the planner of orders that a preemptible server leaves.
func (v *storeView) signalNotice(c directory.Change) {
	if c.Entry == nil || !c.Entry.Draining || !c.Entry.Preemptible {
		return
	}
	select {
	case v.notices <- struct{}{}:
	default:
	}
}

// maxStartAhead is how far the start of a server may lie ahead of the agreed time of day.
// The entry of a later start would make all later entries of its id seem old.
const maxStartAhead = 24 * time.Hour

// decodeServer decodes an entry, or returns nil if it names no usable server, which is
// recorded once for each id.
func (v *storeView) decodeServer(id string, value []byte) *directory.Entry {
	entry, err := v.platform.DecodeServer(id, value)
	if err == nil && entry.StartedMillis > v.clock.Now().Add(maxStartAhead).UnixMilli() {
		err = fmt.Errorf("entry of server %q: its start, Unix millisecond %d, is in the future", id, entry.StartedMillis)
	}
	if err == nil {
		delete(v.unreadable, id)
		return entry
	}
	if !v.unreadable[id] {
		v.unreadable[id] = true
		v.recorder.Record(timeline.Event{Kind: timeline.ServerState, Server: id, State: stateUnreadable, Detail: err.Error()})
	}
	return nil
}

// forgetUnreadable forgets which entries were recorded as unreadable if they are gone.
func (v *storeView) forgetUnreadable(u tablefeed.Update) {
	listed := make(map[string]bool, len(u.Rows))
	for _, row := range u.Rows {
		listed[row.Key] = !row.Removed
	}
	maps.DeleteFunc(v.unreadable, func(id string, _ bool) bool {
		isListed, ok := listed[id]
		return ok && !isListed || u.Full && !ok
	})
}

// Values of State in ServerState events.
const (
	stateSeen       = "seen"
	stateDraining   = "draining"
	stateGone       = "gone"
	stateUnreadable = "unreadable"
)

func (v *storeView) recordServer(c directory.Change) {
	if c.Entry == nil {
		v.recorder.Record(timeline.Event{Kind: timeline.ServerState, Server: c.ID, State: stateGone})
		return
	}
	e := c.Entry
	state := stateSeen
	if e.Draining {
		state = stateDraining
	}
	v.recorder.Record(timeline.Event{
		Kind: timeline.ServerState, Server: e.ID, Service: e.Service, Zone: e.Zone, State: state,
		Detail: fmt.Sprintf("cold=%v preemptible=%t sequence=%d leaves_in=%v", e.ColdFor, e.Preemptible, e.Sequence, e.LeavesIn),
	})
}

// expire removes servers that did not register again after an outage.
func (v *storeView) expire(context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := len(v.directory.Servers())
	v.directory.Expire(boottime.Now())
	if after := len(v.directory.Servers()); after != before {
		v.recorder.Record(timeline.Event{Kind: timeline.ServersExpired, Count: int64(before - after)})
		v.balancer.SetServers(v.directory.Servers())
	}
}

// routesOf returns the names of the routes that lead to a service.
func (v *storeView) routesOf(service string) []string {
	table := v.table.Load()
	if table == nil {
		return nil
	}
	var names []string
	for i := range table.Routes {
		for _, s := range table.Routes[i].Split {
			if s.Service == service {
				names = append(names, table.Routes[i].Name)
				break
			}
		}
	}
	return names
}
