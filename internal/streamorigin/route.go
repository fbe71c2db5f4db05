package streamorigin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/gateway"
)

// A resumption is looked up at the service that its route leads to now. The services of a route are
// therefore followed like the versions of a service: a stream without a record began at the base
// service of its route, at the base version of that service.

// routeGroupPrefix begins the names of routes in View.Services and in the keys of base rows.
const routeGroupPrefix = "route/"

// RouteGroup returns the name under which View.Services holds the services of the route with a
// pattern, which names the requests that it takes.
func RouteGroup(pattern string) string {
	sum := sha256.Sum256([]byte(pattern))
	return routeGroupPrefix + hex.EncodeToString(sum[:len(digest{})])
}

func isRouteGroup(name string) bool { return strings.HasPrefix(name, routeGroupPrefix) }

// routeOrigins is the registry as the requests of one route use it.
type routeOrigins struct {
	registry *Registry
	group    string
}

var _ gateway.Origins = routeOrigins{}

// ForRoute implements gateway.Origins.
func (r *Registry) ForRoute(pattern string) gateway.Origins {
	return routeOrigins{registry: r, group: RouteGroup(pattern)}
}

// ForRoute implements gateway.Origins.
func (o routeOrigins) ForRoute(pattern string) gateway.Origins { return o.registry.ForRoute(pattern) }

// Track implements gateway.Origins.
func (o routeOrigins) Track(attempt, service string) gateway.OriginRecord {
	return o.registry.track(o.group, attempt, service)
}

// Find implements gateway.Origins.
func (o routeOrigins) Find(ctx context.Context, attempt, service string) (string, error) {
	return o.registry.find(ctx, o.group, attempt, service)
}

// leadsOnlyTo reports whether a stream of the route may begin at a service without a record. Of a
// stream without a route that holds if no other service is known. The caller must hold r.mu.
func (r *Registry) leadsOnlyTo(group, service string) bool {
	if group == "" {
		return r.view.isOnlyService(service)
	}
	return r.known.relied(group, service, r.epoch())
}

// isOnlyService reports whether no other service is listed.
func (v View) isOnlyService(service string) bool {
	for name := range v.Services {
		if name != service && !isRouteGroup(name) {
			return false
		}
	}
	return true
}
