package edge

import (
	"context"
	"fmt"
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
	// feedPatience is the time beyond a call's wait after which it is given up.
	feedPatience = 700 * time.Millisecond
	// readPatience is the time after which the read of one page of a table is given up.
	readPatience = 1500 * time.Millisecond
	// revocationMargin is the time that a permitted request may take to reach a server.
	revocationMargin = 300 * time.Millisecond
	// expireInterval is how often entries that lapsed in an outage are looked at.
	expireInterval = 200 * time.Millisecond
)

// storeView is what this instance knows from the store: the configuration, the
// availability zones taken out, and the backend servers.
type storeView struct {
	platform Platform
	bounds   Bounds
	balancer *balance.Balancer
	recorder timeline.Recorder
	sharing  *sharing

	operators *tablefeed.Follower
	servers   *tablefeed.Follower
	table     atomic.Pointer[routes.Table]

	mu        sync.Mutex
	zonesOut  map[string]bool
	directory *directory.Directory
	torn      map[string]bool // entries logged as unreadable
}

var _ gateway.Source = (*storeView)(nil)

func newStoreView(p Platform, bounds Bounds, b *balance.Balancer, h *sharing, clock *truetime.Clock, recorder timeline.Recorder) *storeView {
	v := &storeView{
		platform: p, bounds: bounds, balancer: b, recorder: recorder, sharing: h,
		zonesOut: map[string]bool{}, directory: directory.New(), torn: map[string]bool{},
	}
	v.operators = tablefeed.New(h.follow(tablefeed.Options{
		Feed: p.Operators, Wait: v.operatorsWait, CallTimeout: feedPatience, ReadTimeout: readPatience,
		Apply: v.applyOperators, AnsweredAt: clock.Observe, Recorder: recorder,
		MaxRetryDelay: func() time.Duration { return operatorsRetry(b.Instances()) },
	}, operatorsTable, promisedAge))
	v.servers = tablefeed.New(h.follow(tablefeed.Options{
		Feed: p.Servers, Wait: v.serversWait, CallTimeout: feedPatience, ReadTimeout: readPatience, Pause: v.serversPause,
		Apply: v.applyServers, AnsweredAt: clock.Observe, Recorder: recorder, MaxRetryDelay: othersRetry,
	}, serversTable, promisedAge))
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

// KeysProved implements gateway.Source.
func (v *storeView) KeysProved() bool {
	if v.bounds.Revocation <= 0 {
		return true
	}
	return boottime.Now().Sub(v.operators.CurrentAsOf()) < v.bounds.Revocation-revocationMargin
}

// operatorsWait is how long a call for the configuration is held back.
func (v *storeView) operatorsWait() time.Duration {
	return operatorsWait(v.sharing.part(), v.balancer.Instances(), v.bounds.Revocation)
}

// serversWait is how long a call for the servers' entries is held back.
func (v *storeView) serversWait() time.Duration { return serversWait(v.sharing.part()) }

// serversPause is the time between two calls for the servers' entries.
func (v *storeView) serversPause() time.Duration {
	return serversPause(v.sharing.part(), v.readers(), v.bounds.Leaving)
}

// readers is the number of instances that read the store themselves.
func (v *storeView) readers() int {
	if v.sharing.part() == partAlone {
		return v.balancer.Instances()
	}
	return v.sharing.group.Readers()
}

// Current implements gateway.Source. Changes arrive as they are made while the
// feed is answered in time.
func (v *storeView) Current() bool {
	return boottime.Now().Sub(v.operators.CurrentAsOf()) < max(v.operatorsWait(), promisedAge)+feedPatience
}

// zoneOut reports whether operators took the availability zone out.
func (v *storeView) zoneOut(zone string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.zonesOut[zone]
}

// known reports whether the configuration and the servers were read.
func (v *storeView) known() bool {
	return v.Table() != nil && !v.servers.CurrentAsOf().IsZero()
}

// applyOperators takes rows of the operators' table.
func (v *storeView) applyOperators(u tablefeed.Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := v.zonesOut
	if u.Whole {
		out = map[string]bool{}
	}
	for _, row := range u.Rows {
		decoded, err := v.platform.DecodeOperator(row.Key, row.Value, row.Removed)
		switch {
		case err != nil:
			v.recorder.Record(timeline.Event{Kind: timeline.ConfigRefused, Subject: row.Key, Detail: err.Error()})
		case decoded.Config != nil:
			v.applyConfig(*decoded.Config)
		case decoded.Zone != "":
			v.setZone(out, decoded, row.Version)
		}
	}
	v.zonesOut = out
	v.balancer.SetZonesOut(zoneNames(out))
}

// setZone takes an availability zone out or in; version is the row's.
func (v *storeView) setZone(out map[string]bool, row OperatorRow, version uint64) {
	kind := timeline.ZoneIn
	if row.ZoneOut {
		out[row.Zone] = true
		kind = timeline.ZoneOut
	} else {
		delete(out, row.Zone)
	}
	v.recorder.Record(timeline.Event{Kind: kind, Zone: row.Zone, Version: version})
}

func zoneNames(out map[string]bool) []string {
	var names []string
	for zone := range out {
		names = append(names, zone)
	}
	slices.Sort(names)
	return names
}

// applyConfig puts a configuration in force unless a newer one is.
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
	v.recordWithdrawn(current, t)
}

// recordWithdrawn adds an event for each key that a new version no longer grants.
func (v *storeView) recordWithdrawn(before, after *routes.Table) {
	if before == nil {
		return
	}
	for key, organisation := range before.RevokedKeys(after) {
		v.recorder.Record(timeline.Event{
			Kind: timeline.KeyWithdrawn, KeyDigest: string(key), Organisation: organisation, Version: after.Version,
		})
	}
}

// applyServers takes rows of the servers' table.
func (v *storeView) applyServers(u tablefeed.Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changes := directory.Changes(u, v.decodeServer)
	v.directory.Apply(boottime.Now(), changes, u.Whole, u.Gap)
	v.balancer.SetServers(v.directory.Servers())
	for _, c := range changes {
		v.recordServer(c)
	}
}

func (v *storeView) decodeServer(id string, value []byte) *directory.Entry {
	entry, err := v.platform.DecodeServer(id, value)
	if err != nil && !v.torn[id] {
		v.torn[id] = true
		v.recorder.Record(timeline.Event{Kind: timeline.ServerState, Server: id, State: stateUnreadable, Detail: err.Error()})
	}
	return entry
}

// Values of the state of an event about a backend server's entry.
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
		Detail: fmt.Sprintf("cold=%v preemptible=%t sequence=%d", e.ColdFor, e.Preemptible, e.Sequence),
	})
}

// expire drops entries that did not come back after an outage.
func (v *storeView) expire(context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := len(v.directory.Servers())
	v.directory.Expire(boottime.Now())
	if after := len(v.directory.Servers()); after != before {
		v.recorder.Record(timeline.Event{Kind: timeline.ServersLapsed, Count: int64(before - after)})
		v.balancer.SetServers(v.directory.Servers())
	}
}
