package instance

import (
	"context"
	"crypto/tls"
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
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/ledger"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/platform/httpapi"
	"github.com/hawthornwick/hawthornwick/internal/scheduler"
	"github.com/hawthornwick/hawthornwick/internal/settings"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
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
	store            *confsync.Store
	scheduler        *scheduler.Scheduler
	dispatcher       *dispatch.Dispatcher
	ledger           *ledger.Ledger
	callers          *entry.Server
	listener         *entry.Listener
	operators        *http.Server
	operatorListener net.Listener
	fleet            *fleet
	engines          *engineWatch

	leaving   atomic.Bool
	drainOnce sync.Once
}

// New provisions an instance and opens its listeners. It serves nothing yet.
func New(o Options) (*Instance, error) {
	i := &Instance{settings: o.Settings, logger: o.Logger, ring: o.Ring, started: time.Now()}
	if i.ring == nil {
		i.ring = timeline.NewRing(o.Settings.Instance, o.Settings.Timeline.Events, nil)
	}
	i.life = newLifecycle(o.Settings.Instance, i.ring)
	i.provisionPlatform()
	i.provisionStore()
	i.provisionRequestPath()
	i.provisionFleet()
	if err := i.listen(); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Instance) provisionPlatform() {
	p := i.settings.Platform
	i.platform = httpapi.New(httpapi.Options{
		Caller:            i.settings.Instance,
		TableEndpoint:     p.Table,
		ObjectsEndpoint:   p.Objects,
		ServersEndpoint:   p.Servers,
		UsageEndpoint:     p.Usage,
		InstancesEndpoint: p.Instances,
		Timeout:           time.Duration(p.Timeout),
	})
}

func (i *Instance) provisionStore() {
	i.store = confsync.New(confsync.Options{
		Instance: i.settings.Instance,
		Zone:     i.settings.Zone,
		Table:    i.platform.Table(),
		Compile:  compileText,
		Recorder: i.ring,
		Logger:   i.logger.Named("configuration"),
	})
}

func compileText(text string) (config.Config, error) {
	return config.Decode("configuration", []byte(text))
}

func (i *Instance) provisionRequestPath() {
	i.scheduler = scheduler.New(scheduler.Options{
		Instance: i.settings.Instance,
		Zone:     i.settings.Zone,
		Seed:     uint64(i.started.UnixNano()),
		Recorder: i.ring,
		Logger:   i.logger.Named("scheduler"),
	})
	i.dispatcher = dispatch.New(dispatch.Options{
		Recorder: i.ring,
		Logger:   i.logger.Named("dispatch"),
	})
	i.ledger = ledger.New(i.platform.Table(), i.platform.Objects(), ledger.Options{
		Recorder: i.ring,
		Logger:   i.logger.Named("ledger"),
	})
	i.callers = entry.New(entry.Options{
		Source:     i.store,
		Scheduler:  i.scheduler,
		Dispatcher: i.dispatcher,
		Ledger:     i.ledger,
		Recorder:   i.ring,
		Logger:     i.logger.Named("entry"),
		Seed:       uint64(i.started.UnixNano()),
		Limits: entry.Limits{
			HeaderBytes:  i.settings.Callers.HeaderLimit,
			BodyBytes:    i.settings.Callers.BodyLimit,
			BodyTimeout:  time.Duration(i.settings.Callers.BodyTimeout),
			WriteTimeout: time.Duration(i.settings.Callers.BodyTimeout),
		},
	})
}

func (i *Instance) provisionFleet() {
	i.engines = newEngineWatch(i.scheduler)
	i.fleet = &fleet{
		servers:     i.platform.Servers(),
		instances:   i.platform.Instances(),
		registrar:   i.platform,
		logger:      i.logger.Named("fleet"),
		timeout:     time.Duration(i.settings.Platform.Timeout),
		self:        i.self,
		onServers:   i.setServers,
		onInstances: i.setInstances,
	}
}

// self is this instance's entry in the platform's list.
func (i *Instance) self() platform.Instance {
	return platform.Instance{
		Name:    i.settings.Instance,
		Zone:    i.settings.Zone,
		Peer:    i.settings.Peers.Address,
		Leaving: i.leaving.Load(),
	}
}

func (i *Instance) setServers(list []platform.Server) {
	i.scheduler.SetServers(list)
	i.engines.setServers(list)
}

func (i *Instance) setInstances(list []platform.Instance, asked time.Time) {
	names := make([]string, 0, len(list))
	for _, in := range list {
		names = append(names, in.Name)
	}
	i.scheduler.SetMembers(names, asked)
}

func (i *Instance) listen() error {
	c := i.settings.Callers
	options := entry.ListenerOptions{
		Address:        c.Address,
		HeaderBytes:    c.HeaderLimit,
		HeaderTimeout:  time.Duration(c.HeaderTimeout),
		IdleTimeout:    time.Duration(c.IdleTimeout),
		MaxConnections: c.MaxConnections,
	}
	if c.TLS != nil {
		options.CertificateFile, options.KeyFile = c.TLS.Certificate, c.TLS.Key
	}
	var err error
	if i.listener, err = entry.Listen(options, i.callers, i.logger); err != nil {
		return err
	}
	return i.listenOperators()
}

func (i *Instance) listenOperators() error {
	o := i.settings.Operators
	i.operators = operator.NewServer(operator.Options{
		Source:      i.store,
		Editor:      i.store,
		Timeline:    i.ring,
		Status:      i,
		Drainer:     i,
		Metrics:     i.writeMetrics,
		TokenDigest: o.TokenDigest,
		Log:         i.logger.Named("operator"),
	})
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return fmt.Errorf("listen for operators on %s: %w", o.Address, err)
	}
	if o.TLS != nil {
		cert, err := o.TLS.Load()
		if err != nil {
			return fmt.Errorf("load the operators' certificate: %w", err)
		}
		l = tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}})
	}
	i.operatorListener = l
	return nil
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
	running.Go(func() { i.fleet.run(ctx) })
	running.Go(func() { i.callers.Run(ctx) })
	running.Go(func() { i.followConfig(ctx) })
	running.Go(func() { every(ctx, engineWatchInterval, i.engines.poll) })
	running.Go(func() { every(ctx, freshnessInterval, i.checkFreshness) })
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
			i.Drain(true)
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
	stopServices()
	i.ring.Record(timeline.Event{Kind: timeline.InstanceStopped, Count: cut})
	_ = i.operators.Close()
	running.Wait()
	i.closeLedger()
	i.dispatcher.Close()
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
