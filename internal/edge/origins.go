package edge

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/streamorigin"
)

const (
	// noTimeout stands for the timeout of a route without one.
	noTimeout = 5 * time.Minute
	// defaultStoreWrites is the store's rate if the settings do not state one.
	defaultStoreWrites = 200
	// maxConfigurationLag is how much older than the list of servers the configuration may be without
	// making the list count as older. Streamorigin's quiet time has room for it.
	maxConfigurationLag = 10 * time.Second
	// weightScale turns weights of shares into whole numbers.
	weightScale = 1_000_000
)

// newOrigins returns the registry of the origins of streams, or nil if the platform has no tables
// for it.
func newOrigins(s Settings, p Platform, view *storeView, b *balance.Balancer, logger hclog.Logger) *streamorigin.Registry {
	if len(p.Streams) == 0 {
		return nil
	}
	writes, partWrites := s.Store.Writes, s.Store.PartWrites
	if writes <= 0 {
		writes = defaultStoreWrites
	}
	if partWrites <= 0 {
		partWrites = defaultStoreWrites
	}
	return streamorigin.New(streamorigin.Options{
		Instance: s.Instance, Tables: p.Streams, View: view.versions, Instances: b.Instances,
		Rate: streamorigin.Rate(writes, partWrites, len(p.Streams)), ReadRate: streamorigin.ReadRate(s.Store.Reads, len(p.Streams)),
		LongestTimeout: view.longestTimeout,
		Bootstrap:      s.Bootstrap, Epoch: func() uint64 { return currentEpoch(p.Epochs).Number }, Logger: logger,
	})
}

// gatewayOrigins returns the registry as the gateway uses it. r may be nil.
func gatewayOrigins(r *streamorigin.Registry) gateway.Origins {
	if r == nil {
		return nil
	}
	return r
}

// holdOrigins decides the base versions while this instance holds the duty, until ctx ends.
func holdOrigins(origins *streamorigin.Registry) func(context.Context, lease.Guard) error {
	return func(ctx context.Context, g lease.Guard) error {
		return origins.Hold(ctx, g.Check)
	}
}

// versions returns the number of servers by version of each service of the configuration, and the
// services of each route with streams. Draining servers are listed and not counted.
func (v *storeView) versions() streamorigin.View {
	configured := v.operators.CurrentAsOf()
	table := v.table.Load()
	if table == nil || configured.IsZero() {
		return streamorigin.View{}
	}
	asOf := min(v.servers.CurrentAsOf(), configured.Add(maxConfigurationLag))
	view := streamorigin.View{AsOf: asOf, Services: servicesOfRoutes(table)}
	for _, s := range table.Services {
		view.Services[s.Name] = map[string]int{}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.directory.Servers() {
		counts, ok := view.Services[s.Service]
		if !ok {
			continue
		}
		if s.Draining {
			counts[s.Version] += 0
			continue
		}
		counts[s.Version]++
	}
	return view
}

// servicesOfRoutes returns the weights by service of each route with streams, by
// streamorigin.RouteGroup.
func servicesOfRoutes(table *routes.Table) map[string]map[string]int {
	groups := make(map[string]map[string]int, len(table.Routes)+len(table.Services))
	for i := range table.Routes {
		route := &table.Routes[i]
		if route.Kind != routes.Stream {
			continue
		}
		services := map[string]int{}
		for _, s := range route.Split {
			if s.Weight > 0 {
				services[s.Service] += 1 + int(s.Weight*weightScale)
			}
		}
		if len(services) == 0 {
			services[route.Split[len(route.Split)-1].Service] = 1 // as Route.Choose does
		}
		groups[streamorigin.RouteGroup(route.Pattern())] = services
	}
	return groups
}

// longestTimeout returns the longest timeout of a route with streams, and zero before the first
// configuration.
func (v *storeView) longestTimeout() time.Duration {
	table := v.table.Load()
	if table == nil {
		return 0
	}
	longest := time.Duration(0)
	for i := range table.Routes {
		if table.Routes[i].Kind != routes.Stream {
			continue
		}
		timeout := table.Routes[i].Timeout
		if timeout <= 0 {
			timeout = noTimeout
		}
		longest = max(longest, timeout)
	}
	return longest
}
