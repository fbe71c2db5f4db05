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
	// backend servers. It bounds how long a leaving server gets new work.
	serverListInterval = time.Second
	// instanceListInterval is the time between reads of the list of instances.
	instanceListInterval = time.Second
	// registerInterval is the time between renewals of this instance's entry.
	registerInterval = 2 * time.Second
)

// registrar announces this instance to the platform.
type registrar interface {
	Register(ctx context.Context, in platform.Instance) error
}

// fleet keeps the instance's view of backend servers and other instances.
type fleet struct {
	servers   platform.Servers
	instances platform.Instances
	registrar registrar
	logger    hclog.Logger
	timeout   time.Duration

	// self describes this instance; its Leaving flag follows the drain.
	self func() platform.Instance
	// onServers takes each list of backend servers.
	onServers func([]platform.Server)
	// onInstances takes each list of instances and the time before it was asked for.
	onInstances func([]platform.Instance, time.Time)
}

// run polls until ctx ends. Each interface has a loop of its own, so that a
// slow one does not delay the others.
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
		f.logger.Warn("list of backend servers not read", "error", err)
		return
	}
	f.onServers(list)
}

func (f *fleet) pollInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	asked := time.Now()
	list, err := f.instances.List(ctx)
	if err != nil {
		f.logger.Warn("list of instances not read", "error", err)
		return
	}
	f.onInstances(list, asked)
}

func (f *fleet) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	if err := f.registrar.Register(ctx, f.self()); err != nil {
		f.logger.Warn("instance not registered", "error", err)
	}
}
