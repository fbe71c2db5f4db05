// Package replicas decides how many backend servers of a service to order in each
// availability zone. Preemptible servers are preferred because they cost a fraction
// of regular ones. They are spread evenly over the zones, with enough spare
// capacity to lose all of them in one zone. Where too few preemptible servers are to
// be had, regular ones stand in until they are. Decisions are pure: callers pass the
// time.
package replicas

import (
	"slices"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/presence"
	"github.com/hawthornwick/hawthornwick/internal/routes"
)

// peakWindow is how long a peak of demand determines the target.
const peakWindow = 20 * time.Second

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

type peak struct {
	servers    float64
	observedAt boottime.Instant
}

// Planner plans the orders of all services. It is not safe for concurrent use.
type Planner struct {
	book  *orderBook
	peaks map[string]peak
}

// NewPlanner returns a planner without earlier orders.
func NewPlanner() *Planner { return &Planner{book: newOrderBook(), peaks: map[string]peak{}} }

// Plan returns the orders to place now for a service, given its running servers by
// zone and the total demand of all instances.
func (p *Planner) Plan(now boottime.Instant, s routes.Service, zones []Zone, d presence.Demand) []Order {
	if s.Scaling == nil || len(zones) == 0 {
		return nil
	}
	for _, z := range zones {
		p.book.observe(orderKey{s.Name, z.Name, false}, z.Regular)
		p.book.observe(orderKey{s.Name, z.Name, true}, z.Preemptible)
	}
	l := layout{
		scaling: s.Scaling, needed: p.peakServers(now, s.Name, serversNeeded(d)), idle: d == presence.Demand{},
		zones: make([]zonePlan, 0, len(zones)),
	}
	for _, z := range zones {
		l.zones = append(l.zones, zonePlan{Zone: z, scarce: p.book.scarce(now, orderKey{s.Name, z.Name, true}, s.Scaling.StartTime)})
	}
	l.ordered = func(z string, count int) bool { return p.book.orderedAtLeast(orderKey{s.Name, z, true}, count) }
	l.compute()
	var orders []Order
	for _, z := range l.zones {
		orders = p.appendOrder(orders, now, orderKey{s.Name, z.Name, false}, z.regularTarget, z.Regular)
		if l.prefersPreemptible() {
			orders = p.appendOrder(orders, now, orderKey{s.Name, z.Name, true}, z.preemptibleTarget, z.Preemptible)
		}
	}
	return orders
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

func (p *Planner) appendOrder(orders []Order, now boottime.Instant, key orderKey, count, running int) []Order {
	if !p.book.due(now, key, count, running) {
		return orders
	}
	return append(orders, Order{Service: key.service, Zone: key.zone, Preemptible: key.preemptible, Count: count})
}

// RecordPlaced records that an order was accepted.
func (p *Planner) RecordPlaced(now boottime.Instant, o Order) { p.book.placed(now, o) }

// RecordUnavailable records that the platform had no servers for an order.
func (p *Planner) RecordUnavailable(now boottime.Instant, o Order) { p.book.refused(now, o) }

// SortZones sorts zones by name, so that plans do not depend on map order.
func SortZones(zones []Zone) {
	slices.SortFunc(zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
}
