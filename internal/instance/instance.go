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

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/clientconn"
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

// freshnessCheckInterval is the time between checks of whether the configuration
// is current.
const freshnessCheckInterval = 100 * time.Millisecond

// ledgerCloseTimeout bounds the wait for pending writes of answers at a stop.
const ledgerCloseTimeout = 30 * time.Second

// Instance is one router process. It is created by New and runs in Run until it
// is stopped.
type Instance struct {
	settings  *settings.Settings
	logger    hclog.Logger
	ring      *timeline.Ring
	started   time.Time
	lifecycle *lifecycle

	platform         *httpapi.Client
	peers            *peer.Node
	relay            *relay.Relay
	members          *member.Service
	leases           *lease.Manager
	meter            *usage.Meter
	replicaStore     *usage.ReplicaStore
	store            *confsync.Store
	scheduler        *scheduler.Scheduler
	dispatcher       *dispatch.Dispatcher
	ledger           *ledger.Ledger
	quarantine       *quarantine.Tracker
	callers          *entry.Server
	listener         *entry.Listener
	operators        *http.Server
	operatorListener net.Listener
	budget           *bytebudget.Budget  // of clients' connections and heads
	guards           []*clientconn.Guard // of all listeners for clients
	fleet            *fleet
	backends         *backends
	recent           *order.Recent
	engineOrders     *order.HTTPEngines
	engines          *enginewatch.Watch

	leaving   atomic.Bool
	forced    atomic.Bool // an operator forced the stop
	drainOnce sync.Once
}

// New provisions an instance and opens its listeners. Requests are served by Run.
func New(o Options) (*Instance, error) {
	i := &Instance{settings: o.Settings, logger: o.Logger, ring: o.Ring, started: time.Now()}
	if i.ring == nil {
		i.ring = timeline.NewRing(o.Settings.Instance, o.Settings.Timeline.Events, nil)
	}
	i.lifecycle = newLifecycle(o.Settings.Instance, i.ring)
	if err := i.provision(o); err != nil {
		i.closeProvisioned()
		return nil, err
	}
	return i, nil
}

// closeProvisioned closes what a failed provisioning has opened.
func (i *Instance) closeProvisioned() {
	if i.peers != nil {
		_ = i.peers.Close()
	}
	if i.listener != nil {
		_ = i.listener.Close()
	}
	i.platform.Close()
}

// CallerAddress returns the IP:PORT of the callers' listener.
func (i *Instance) CallerAddress() string { return i.listener.Address() }

// OperatorAddress returns the IP:PORT of the operators' listener.
func (i *Instance) OperatorAddress() string { return i.operatorListener.Addr().String() }

// Run serves until a planned or forced stop has completed. Cancelling ctx starts
// a planned stop. If a listener fails, Run stops and returns its error.
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
	running.Go(func() { _ = i.replicaStore.Run(ctx) })
	running.Go(func() { i.fleet.run(ctx) })
	running.Go(func() { i.callers.Run(ctx) })
	running.Go(func() { i.applyConfigs(ctx) })
	running.Go(func() { i.engines.Run(ctx) })
	running.Go(func() { i.syncEngineMembers(ctx) })
	running.Go(func() { i.syncQuarantine(ctx) })
	running.Go(func() { wait.Every(ctx, drainingPollInterval, i.pollDraining) })
	running.Go(func() { wait.Every(ctx, freshnessCheckInterval, i.checkFreshness) })
}

// applyConfigs passes each newer snapshot to the scheduler until ctx ends.
func (i *Instance) applyConfigs(ctx context.Context) {
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
		i.lifecycle.fire(eventCurrent)
		return
	}
	i.lifecycle.fire(eventStale)
}

// serveListeners serves both listeners. Their errors are sent to the channel.
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
	i.logger.Info("instance is serving", "callers", i.CallerAddress(), "operators", i.OperatorAddress())
	return failed
}

func (i *Instance) waitForStop(ctx context.Context, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			i.Drain(false)
			ctx = context.WithoutCancel(ctx)
		case err := <-failed:
			i.lifecycle.fire(eventForced)
			return err
		case <-i.lifecycle.closing:
			return nil
		}
	}
}

// stop shuts down all components. Requests still run here only after a forced
// stop or a listener failure; they are cancelled.
func (i *Instance) stop(stopServices context.CancelFunc, running *sync.WaitGroup) {
	cut := i.callers.Active()
	i.scheduler.Stop()
	_ = i.listener.Close()
	i.announceLeave()
	stopServices()
	i.ring.Record(i.stoppedEvent(cut))
	_ = i.operators.Close()
	running.Wait()
	i.closeLedger()
	_ = i.peers.Close()
	i.dispatcher.Close()
	i.engineOrders.Close()
	i.platform.Close()
	i.logger.Info("instance stopped", "cut_off", cut)
}

// closeLedger waits for pending writes of answers.
func (i *Instance) closeLedger() {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerCloseTimeout)
	defer cancel()
	i.ledger.Close(ctx)
}

// Editor returns the editor of the operators' configuration.
func (i *Instance) Editor() config.Editor { return i.store }

// ConfigVersion returns the configuration version in force, or 0 if there is none yet.
func (i *Instance) ConfigVersion() uint64 {
	if snap := i.store.Current(); snap != nil {
		return snap.Version
	}
	return 0
}
