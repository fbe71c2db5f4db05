package instance

import (
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/clientconn"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/confsync"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/ledger"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/platform/httpapi"
	"github.com/hawthornwick/hawthornwick/internal/scheduler"
)

// provision builds all components in the order of their dependencies and opens
// the listeners.
func (i *Instance) provision(o Options) error {
	i.provisionPlatform()
	if err := i.provisionPeers(o); err != nil {
		return err
	}
	i.provisionMembers()
	i.provisionStore()
	i.provisionUsage()
	i.provisionOrders()
	i.provisionQuarantine()
	i.provisionRequestPath()
	i.provisionFleet()
	return i.listen()
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
		Network:  i.peers,
		Members:  i.members,
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
		Suspects: dispatch.NewTrackerSuspects(i.quarantine),
	})
	i.ledger = ledger.New(i.platform.Table(), i.platform.Objects(), ledger.Options{
		Recorder: i.ring,
		Logger:   i.logger.Named("ledger"),
	})
	i.leases.Do(sweepDuty, i.sweepRecords)
	i.callers = entry.New(entry.Options{
		Source:     i.store,
		Scheduler:  i.scheduler,
		Dispatcher: i.dispatcher,
		Ledger:     i.ledger,
		Quarantine: i.quarantine,
		Meter:      i.meter,
		Outcomes:   i.recent,
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
	i.provisionEngines()
	i.backends = &backends{publish: i.setServers}
	i.fleet = &fleet{
		servers:     i.platform.Servers(),
		instances:   i.platform.Instances(),
		registrar:   i.platform,
		logger:      i.logger.Named("fleet"),
		timeout:     time.Duration(i.settings.Platform.Timeout),
		self:        i.self,
		onServers:   i.backends.setListed,
		onInstances: i.setMembers,
	}
}

func (i *Instance) listen() error {
	c := i.settings.Callers
	i.budget = bytebudget.New(clientconn.DefaultBudgetBytes())
	options := entry.ListenerOptions{
		Address:        c.Address,
		MaxHeaderBytes: c.HeaderLimit,
		HeaderTimeout:  time.Duration(c.HeaderTimeout),
		IdleTimeout:    time.Duration(c.IdleTimeout),
		MaxConnections: c.MaxConnections,
		Budget:         i.budget,
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
	guard := clientconn.New(clientconn.Options{
		Listener: operator.ListenerName, Budget: i.budget, DrainBodies: true, TLS: o.TLS != nil, Logger: i.logger,
	})
	i.guards = []*clientconn.Guard{i.listener.Guard(), guard}
	i.operators = operator.NewServer(operator.Options{
		Source:      i.store,
		Editor:      i.store,
		Timeline:    i.ring,
		Status:      i,
		Drainer:     i,
		Metrics:     i.writeMetrics,
		TokenDigest: o.TokenDigest,
		Log:         i.logger.Named("operator"),
		Guard:       guard,
	})
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return fmt.Errorf("listen for operators on %s: %w", o.Address, err)
	}
	l = guard.Listener(l)
	if o.TLS != nil {
		cert, err := o.TLS.Load()
		if err != nil {
			return fmt.Errorf("load TLS certificate for operators: %w", err)
		}
		l = tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}})
	}
	i.operatorListener = l
	return nil
}
