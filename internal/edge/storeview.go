package edge

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/presence"
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
	// tickInterval is the interval between two checks for what is due some time after an
	// update.
	tickInterval = 200 * time.Millisecond
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

	settling atomic.Pointer[settling] // nil if the operators' rows are not of a copy
	serving  atomic.Bool              // the start hold is over
	epoch    atomic.Uint64            // of the operators' rows
	// instances returns the live rows of the instances, and false before they were read. Set
	// before run.
	instances func() (map[string]presence.Row, bool)
	// rowOutdated is notified when the others should soon see a change of what setEpoch states.
	rowOutdated *wait.Signal

	mu            sync.Mutex
	start         startHold
	epochWithheld bool // this instance's row was last written before it served
	restoring     bool // settling is not over
	zones         *drainedZones
	directory     *directory.Directory
	unreadable    map[string]bool // entries already recorded as unreadable
	// registered is when servers that started while the store was away, or before a restore, have
	// registered. Zero means that the servers' rows were not read yet.
	registered boottime.Instant
	notices    chan struct{} // receives after a preemptible server stated that it leaves
}

var _ gateway.Source = (*storeView)(nil)

func newStoreView(p Platform, bounds Bounds, b *balance.Balancer, h *sharing, orders *rollouts, clock *truetime.Clock, recorder timeline.Recorder) *storeView {
	v := &storeView{
		platform: p, bounds: bounds, balancer: b, recorder: recorder, sharing: h, rollouts: orders, clock: clock,
		zones: newDrainedZones(), directory: directory.New(), unreadable: map[string]bool{}, notices: make(chan struct{}, 1),
		instances: func() (map[string]presence.Row, bool) { return nil, false }, rowOutdated: wait.NewSignal(),
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
	running.Go(func() { wait.Every(ctx, tickInterval, v.tick) })
}

// Table implements gateway.Source.
func (v *storeView) Table() *routes.Table {
	if !v.serving.Load() {
		return nil
	}
	return v.table.Load()
}

// operatorsAsOf returns the latest instant at which the operators' rows are known to have been
// current.
func (v *storeView) operatorsAsOf() boottime.Instant {
	return v.settling.Load().currentAsOf(v.operators.CurrentAsOf())
}

// settled reports whether the operators' rows of the present epoch are known to be complete.
func (v *storeView) settled() bool {
	return v.serving.Load() && v.settling.Load().over(v.operators.CurrentAsOf())
}

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
	return v.bounds.Revocation - boottime.Now().Sub(v.operatorsAsOf())
}

// operatorsWait returns how long the store may hold a call for the operators' table.
// It is shorter if an answer at the end of a grace time ends that.
func (v *storeView) operatorsWait() time.Duration {
	hold := operatorsWait(v.sharing.role(), v.balancer.Instances(), v.bounds.Revocation)
	if s := v.settling.Load(); !s.over(v.operators.CurrentAsOf()) {
		hold = min(hold, max(s.until.Sub(boottime.Now()), 0)+settleMargin)
	}
	return hold
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
	return boottime.Now().Sub(v.operatorsAsOf()) < max(v.operatorsWait(), maxSourceAge)+feedTimeout
}

// serversAsOf returns the latest instant at which the servers' rows are known to have been those of
// the processes that run, or zero while some may still have to register.
func (v *storeView) serversAsOf() boottime.Instant {
	read := v.servers.CurrentAsOf()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registered.IsZero() || read.Before(v.registered) {
		return 0
	}
	return read
}

// isDrained reports whether operators have drained the availability zone.
func (v *storeView) isDrained(zone string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.zones.has(zone)
}

// loaded reports whether the configuration and the servers' table were read.
func (v *storeView) loaded() bool {
	return v.Table() != nil && !v.servers.CurrentAsOf().IsZero()
}

// applyOperators applies rows of the operators' table.
func (v *storeView) applyOperators(u tablefeed.Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	if u.Restored {
		v.recordRestore(u)
		v.restoring = true
		v.settling.Store(v.settling.Load().begin(now, v.operators.CurrentAsOf()))
	}
	v.beginHold(now)
	v.epoch.Store(platform.EpochOf(u.Version))
	if u.Full {
		v.zones.clear(v.restoring)
	}
	var orders []orderRow
	for _, row := range u.Rows {
		if o, ok := v.applyOperatorRow(row); ok {
			orders = append(orders, o)
		}
	}
	v.rollouts.applyRows(orders, u.Full, v.restoring)
	v.balancer.SetDrainedZones(v.zones.names())
	v.release()
	if u.Restored {
		v.rowOutdated.Notify()
	}
}

// applyOperatorRow applies a row of the operators' table, or returns it if it is about an order
// for a rollout.
func (v *storeView) applyOperatorRow(row tablefeed.Row) (orderRow, bool) {
	decoded, err := v.platform.DecodeOperator(row.Key, row.Value, row.Removed)
	switch {
	case err != nil:
		v.recorder.Record(timeline.Event{Kind: timeline.ConfigRefused, Subject: row.Key, Detail: err.Error()})
	case decoded.Config != nil:
		v.applyConfig(*decoded.Config)
	case decoded.Zone != "":
		v.zones.set(decoded.Zone, decoded.Drained)
		v.recordZone(decoded.Zone, decoded.Drained, row.Version)
	}
	o := orderRow{service: decoded.RolloutOf, version: row.Version, order: decoded.Rollout, unreadable: err != nil}
	return o, o.service != ""
}

// recordZone records that a zone is drained or in use. version is that of its row.
func (v *storeView) recordZone(zone string, drained bool, version uint64) {
	kind := timeline.ZoneRestored
	if drained {
		kind = timeline.ZoneDrained
	}
	v.recorder.Record(timeline.Event{Kind: kind, Zone: zone, Version: version})
}

// settle ends the time after a restore in which what the copy lacks stays in force. The caller
// must hold v.mu.
func (v *storeView) settle() {
	if !v.restoring || !v.settling.Load().over(v.operators.CurrentAsOf()) {
		return
	}
	v.restoring = false
	for _, zone := range v.zones.settle() {
		v.recordZone(zone, false, 0)
	}
	v.balancer.SetDrainedZones(v.zones.names())
	v.rollouts.settle()
	v.rowOutdated.Notify()
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
	if u.Restored || u.Gap > 0 || v.registered.IsZero() {
		v.registered = boottime.Now().Add(restoreGrace)
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

// tick does what is due some time after an update.
func (v *storeView) tick(context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(boottime.Now())
	v.settle()
	v.release()
}

// expire removes servers that did not register again after an outage, and adds those that a restored
// store still lists. The caller must hold v.mu.
func (v *storeView) expire(now boottime.Instant) {
	if !v.directory.Waiting() {
		return
	}
	before := entriesByID(v.directory.Servers())
	v.directory.Expire(now)
	servers := v.directory.Servers()
	after := entriesByID(servers)
	expired := 0
	for id := range before {
		if after[id] == nil {
			expired++
		}
	}
	if expired > 0 {
		v.recorder.Record(timeline.Event{Kind: timeline.ServersExpired, Count: int64(expired)})
	}
	added := 0
	for id, entry := range after {
		if before[id] == nil {
			added++
			v.recordServer(directory.Change{ID: id, Entry: entry})
		}
	}
	if expired+added > 0 {
		v.balancer.SetServers(servers)
	}
}

func entriesByID(servers []directory.Server) map[string]*directory.Entry {
	entries := make(map[string]*directory.Entry, len(servers))
	for i := range servers {
		entries[servers[i].ID] = &servers[i].Entry
	}
	return entries
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
