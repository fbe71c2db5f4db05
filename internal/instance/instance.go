package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/confsync"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/enginewatch"
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/ledger"
	"github.com/hawthornwick/hawthornwick/internal/member"
	"github.com/hawthornwick/hawthornwick/internal/order"
	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/platform/httpapi"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/relay"
	"github.com/hawthornwick/hawthornwick/internal/scheduler"
	"github.com/hawthornwick/hawthornwick/internal/settings"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/usage"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// freshnessInterval is the time between checks whether the configuration is
// known to be current.
const freshnessInterval = 100 * time.Millisecond

// ledgerCloseTimeout bounds the wait for answers that are still to be stored.
const ledgerCloseTimeout = 30 * time.Second

// Instance is one router process. New provisions it, Run serves until a
// planned stop has finished.
type Instance struct {
	settings *settings.Settings
	logger   hclog.Logger
	ring     *timeline.Ring
	started  time.Time
	life     *lifecycle

	platform         *httpapi.Client
	peers            *peer.Node
	relay            *relay.Relay
	members          *member.Service
	leases           *lease.Manager
	meter            *usage.Meter
	custody          *usage.Custody
	store            *confsync.Store
	scheduler        *scheduler.Scheduler
	dispatcher       *dispatch.Dispatcher
	ledger           *ledger.Ledger
	quarantine       *quarantine.Tracker
	callers          *entry.Server
	listener         *entry.Listener
	operators        *http.Server
	operatorListener net.Listener
	fleet            *fleet
	backends         *backends
	recent           *order.Recent
	engineOrders     *order.HTTPEngines
	engines          *enginewatch.Watch

	leaving   atomic.Bool
	forced    atomic.Bool // operators cut off what still ran
	drainOnce sync.Once
}

// New provisions an instance and opens its listeners. It serves nothing yet.
func New(o Options) (*Instance, error) {
	i := &Instance{settings: o.Settings, logger: o.Logger, ring: o.Ring, started: time.Now()}
	if i.ring == nil {
		i.ring = timeline.NewRing(o.Settings.Instance, o.Settings.Timeline.Events, nil)
	}
	i.life = newLifecycle(o.Settings.Instance, i.ring)
	if err := i.provision(o); err != nil {
		i.release()
		return nil, err
	}
	return i, nil
}

// release closes what a failed provisioning has opened.
func (i *Instance) release() {
	if i.peers != nil {
		_ = i.peers.Close()
	}
	if i.listener != nil {
		_ = i.listener.Close()
	}
	i.platform.Close()
}

// CallerAddress returns the IP and port that callers reach.
func (i *Instance) CallerAddress() string { return i.listener.Address() }

// OperatorAddress returns the IP and port that operators reach.
func (i *Instance) OperatorAddress() string { return i.operatorListener.Addr().String() }

// Run serves until a planned or forced stop has finished. The end of ctx starts
// a planned stop.
func (i *Instance) Run(ctx context.Context) error {
	services, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	var running sync.WaitGroup
	i.ring.Record(timeline.Event{Kind: timeline.InstanceStarted, Zone: i.settings.Zone})
	i.startServices(services, &running)
	failed := i.serveListeners(&running)
	err := i.waitForStop(ctx, failed)
	i.stop(stopServices, &running)
	return err
}

func (i *Instance) startServices(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { _ = i.store.Run(ctx) })
	running.Go(func() { _ = i.members.Run(ctx) })
	running.Go(func() { _ = i.leases.Run(ctx) })
	running.Go(func() { _ = i.meter.Run(ctx) })
	running.Go(func() { _ = i.custody.Run(ctx) })
	running.Go(func() { i.fleet.run(ctx) })
	running.Go(func() { i.callers.Run(ctx) })
	running.Go(func() { i.followConfig(ctx) })
	running.Go(func() { i.engines.Run(ctx) })
	running.Go(func() { i.followMembers(ctx) })
	running.Go(func() { i.syncQuarantine(ctx) })
	running.Go(func() { wait.Every(ctx, drainingInterval, i.pollDraining) })
	running.Go(func() { wait.Every(ctx, freshnessInterval, i.checkFreshness) })
}

// followConfig hands each newer snapshot to the scheduler.
func (i *Instance) followConfig(ctx context.Context) {
	var version uint64
	for {
		changed := i.store.Changed(version)
		if snap := i.store.Current(); snap != nil {
			version = snap.Version
			i.scheduler.SetConfig(snap)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (i *Instance) checkFreshness(context.Context) {
	if i.store.Fresh() {
		i.life.fire(eventCurrent)
		return
	}
	i.life.fire(eventStale)
}

// serveListeners accepts callers and operators; the channel yields the first failure.
func (i *Instance) serveListeners(running *sync.WaitGroup) <-chan error {
	failed := make(chan error, 2)
	running.Go(func() {
		if err := i.listener.Serve(); err != nil {
			failed <- err
		}
	})
	running.Go(func() {
		err := i.operators.Serve(i.operatorListener)
		if !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve operators: %w", err)
		}
	})
	i.logger.Info("instance serves", "callers", i.CallerAddress(), "operators", i.OperatorAddress())
	return failed
}

func (i *Instance) waitForStop(ctx context.Context, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			i.Drain(false)
			ctx = context.WithoutCancel(ctx)
		case err := <-failed:
			i.life.fire(eventForced)
			return err
		case <-i.life.closing:
			return nil
		}
	}
}

// stop ends what the planned stop left running. Only a forced stop finds
// requests to cut off.
func (i *Instance) stop(stopServices context.CancelFunc, running *sync.WaitGroup) {
	cut := i.callers.Active()
	i.scheduler.Stop()
	_ = i.listener.Close()
	i.leave()
	stopServices()
	i.ring.Record(i.stopped(cut))
	_ = i.operators.Close()
	running.Wait()
	i.closeLedger()
	_ = i.peers.Close()
	i.dispatcher.Close()
	i.engineOrders.Close()
	i.platform.Close()
	i.logger.Info("instance stopped", "cut_off", cut)
}

// closeLedger gives answers that are not stored yet a last chance.
func (i *Instance) closeLedger() {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerCloseTimeout)
	defer cancel()
	i.ledger.Close(ctx)
}

// Editor returns the instance's access to the operators' configuration.
func (i *Instance) Editor() config.Editor { return i.store }

// ConfigVersion returns the configuration version in force, 0 before the first.
func (i *Instance) ConfigVersion() uint64 {
	if snap := i.store.Current(); snap != nil {
		return snap.Version
	}
	return 0
}
