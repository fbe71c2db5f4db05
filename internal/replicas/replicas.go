// Package replicas decides how many backend servers of a service to order in each
// availability zone. Preemptible servers are preferred because they cost a fraction
// of regular ones. They are spread evenly over the zones, with enough spare
// capacity to lose all of them in one zone. Regular servers are kept until the
// preemptible ones serve. Decisions are pure: callers pass the time.
package replicas

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/presence"
	"github.com/hawthornwick/hawthornwick/internal/routes"
)

const (
	// preemptibleSpareShare is the part of a zone's maximum that is kept for sudden
	// load and for the loss of other zones, where preemptible servers are cheap.
	preemptibleSpareShare = 0.65
	// maxSparePrice is the price of preemptible servers, relative to regular ones,
	// up to which spare servers are kept.
	maxSparePrice = 0.4
	// peakWindow is how long a peak of demand determines the target.
	peakWindow = 20 * time.Second
	// reorderInterval is the time after which an unfulfilled order is placed again,
	// and unavailableBackoff how long a zone without available servers gets no
	// order.
	reorderInterval    = 8 * time.Second
	unavailableBackoff = 2 * time.Second
)

// Zone is the state of a service in one availability zone.
type Zone struct {
	Name string
	// Regular and Preemptible are the numbers of servers, not counting those that
	// are draining.
	Regular, Preemptible int
	// Drained is true while operators have drained the zone.
	Drained bool
}

// Order requests a total number of servers of one kind in one zone.
type Order struct {
	Service, Zone string
	Preemptible   bool
	Count         int
}

// orderKey identifies what an order applies to.
type orderKey struct {
	service, zone string
	preemptible   bool
}

type placedOrder struct {
	count    int
	placedAt boottime.Instant
}

type peak struct {
	servers    float64
	observedAt boottime.Instant
}

// Planner plans the orders of all services. It is not safe for concurrent use.
type Planner struct {
	orders      map[orderKey]placedOrder
	unavailable map[orderKey]boottime.Instant
	peaks       map[string]peak
}

// NewPlanner returns a planner without earlier orders.
func NewPlanner() *Planner {
	return &Planner{
		orders: map[orderKey]placedOrder{}, unavailable: map[orderKey]boottime.Instant{}, peaks: map[string]peak{},
	}
}

// Plan returns the orders to place now for a service, given its running servers by
// zone and the total demand of all instances.
func (p *Planner) Plan(now boottime.Instant, s routes.Service, zones []Zone, d presence.Demand) []Order {
	if s.Scaling == nil || len(zones) == 0 {
		return nil
	}
	target := p.targetPerZone(now, s, zones, d)
	preferPreemptible := s.Scaling.PreemptiblePrice > 0 && s.Scaling.PreemptiblePrice < 1
	var orders []Order
	for _, z := range zones {
		if !preferPreemptible {
			orders = p.appendOrder(orders, now, orderKey{s.Name, z.Name, false}, target, z.Regular)
			continue
		}
		regular, preemptible := p.splitTarget(s, z, target, d == presence.Demand{})
		orders = p.appendOrder(orders, now, orderKey{s.Name, z.Name, false}, regular, z.Regular)
		orders = p.appendOrder(orders, now, orderKey{s.Name, z.Name, true}, preemptible, z.Preemptible)
	}
	return orders
}

// splitTarget divides a zone's target into regular and preemptible servers. It
// keeps the regular servers until enough preemptible ones serve or, when there is
// no demand at all, until these are ordered. Both kinds count towards the zone's
// maximum.
func (p *Planner) splitTarget(s routes.Service, z Zone, target int, idle bool) (regular, preemptible int) {
	preemptible = min(target, max(s.Scaling.Max-z.Regular, 1))
	ordered := p.orders[orderKey{s.Name, z.Name, true}].count >= preemptible
	if z.Preemptible >= preemptible || idle && ordered {
		return 0, preemptible
	}
	return z.Regular, preemptible
}

// targetPerZone returns the target number of servers in each zone. The demand is
// divided over the zones that are not drained.
func (p *Planner) targetPerZone(now boottime.Instant, s routes.Service, zones []Zone, d presence.Demand) int {
	serving := 0
	for _, z := range zones {
		if !z.Drained {
			serving++
		}
	}
	servers := p.peakServers(now, s.Name, serversNeeded(d))
	perZone := int(math.Ceil(servers / float64(max(serving, 1))))
	return min(max(perZone, minPerZone(s.Scaling), s.Scaling.Min), s.Scaling.Max)
}

// minPerZone returns the number of servers kept in each zone regardless of demand.
func minPerZone(s *routes.Scaling) int {
	if s.PreemptiblePrice <= 0 || s.PreemptiblePrice > maxSparePrice {
		return s.Min
	}
	return int(math.Ceil(preemptibleSpareShare * float64(s.Max)))
}

// peakServers returns the highest number of servers needed within peakWindow.
func (p *Planner) peakServers(now boottime.Instant, service string, servers float64) float64 {
	last, ok := p.peaks[service]
	if !ok || servers >= last.servers || now.Sub(last.observedAt) > peakWindow {
		p.peaks[service] = peak{servers: servers, observedAt: now}
		return servers
	}
	return last.servers
}

// appendOrder adds an order unless the zone is in backoff, the count is already
// met, or an equal order is pending.
func (p *Planner) appendOrder(orders []Order, now boottime.Instant, key orderKey, count, running int) []Order {
	if until, ok := p.unavailable[key]; ok && now.Before(until) {
		return orders
	}
	last, ordered := p.orders[key]
	switch {
	case !ordered && count == running:
		return orders
	case ordered && last.count == count && (count == running || now.Sub(last.placedAt) < reorderInterval):
		return orders
	}
	return append(orders, Order{Service: key.service, Zone: key.zone, Preemptible: key.preemptible, Count: count})
}

// RecordPlaced records that an order was accepted.
func (p *Planner) RecordPlaced(now boottime.Instant, o Order) {
	p.orders[orderKey{o.Service, o.Zone, o.Preemptible}] = placedOrder{count: o.Count, placedAt: now}
}

// RecordUnavailable records that the platform had no servers for an order.
func (p *Planner) RecordUnavailable(now boottime.Instant, o Order) {
	key := orderKey{o.Service, o.Zone, o.Preemptible}
	delete(p.orders, key)
	p.unavailable[key] = now.Add(unavailableBackoff)
}

// SortZones sorts zones by name, so that plans do not depend on map order.
func SortZones(zones []Zone) {
	slices.SortFunc(zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
}
