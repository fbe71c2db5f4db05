package instance

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// serverListInterval is the time between reads of the platform's list of
	// backend servers. It bounds how long a leaving server receives new work.
	serverListInterval = time.Second
	// instanceListInterval is the time between reads of the platform's list of
	// instances.
	instanceListInterval = time.Second
	// registerInterval is the time between registrations of this instance.
	registerInterval = 2 * time.Second
)

// registrar registers this instance with the platform.
type registrar interface {
	Register(ctx context.Context, in platform.Instance) error
}

// fleet polls the platform for backend servers and instances, and keeps this
// instance registered.
type fleet struct {
	servers   platform.Servers
	instances platform.Instances
	registrar registrar
	logger    hclog.Logger
	timeout   time.Duration

	// self returns this instance's entry. Leaving is set during a drain.
	self func() platform.Instance
	// onServers is called with each list of backend servers.
	onServers func([]platform.Server)
	// onInstances is called with each list of instances and the time at which it
	// was requested.
	onInstances func([]platform.Instance, time.Time)
}

// run polls until ctx ends. Each interface is polled in a separate loop, so that
// a slow one does not delay the others.
func (f *fleet) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { wait.Every(ctx, registerInterval, f.register) })
	loops.Go(func() { wait.Every(ctx, instanceListInterval, f.pollInstances) })
	loops.Go(func() { wait.Every(ctx, serverListInterval, f.pollServers) })
	loops.Wait()
}

func (f *fleet) pollServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	list, err := f.servers.List(ctx)
	if err != nil {
		f.logger.Warn("cannot read list of backend servers; retrying at the next interval", "error", err)
		return
	}
	f.onServers(list)
}

func (f *fleet) pollInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	requestedAt := time.Now()
	list, err := f.instances.List(ctx)
	if err != nil {
		f.logger.Warn("cannot read list of instances; retrying at the next interval", "error", err)
		return
	}
	f.onInstances(list, requestedAt)
}

func (f *fleet) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	if err := f.registrar.Register(ctx, f.self()); err != nil {
		f.logger.Warn("cannot register instance; retrying at the next interval", "error", err)
	}
}
