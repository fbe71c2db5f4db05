// Package replicas decides how many backend servers of a service to order in each
// availability zone. Preemptible servers come first, since they cost a fraction:
// they are spread evenly, with so many to spare that the loss of a whole zone of
// them is borne. Other servers stay until the preemptible ones serve. It is pure.
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
	// cheapShare is the part of a zone's maximum that is kept for sudden load, and
	// for the loss of other zones, where preemptible servers cost little.
	cheapShare = 0.65
	// cheapPrice is the relative price up to which preemptible servers cost little.
	cheapPrice = 0.4
	// demandMemory is how long the highest demand counts.
	demandMemory = 20 * time.Second
	// repeatAfter is the time after which an order that has not been met is repeated,
	// and unavailableFor how long a zone that had none gets no order.
	repeatAfter    = 8 * time.Second
	unavailableFor = 2 * time.Second
)

// Zone is what runs of a service in one availability zone.
type Zone struct {
	Name string
	// Regular and Preemptible are the servers that serve, those that leave excluded.
	Regular, Preemptible int
	// Out is true while operators have taken the zone out.
	Out bool
}

// Order asks for a number of servers of one kind in one zone.
type Order struct {
	Service, Zone string
	Preemptible   bool
	Count         int
}

// subject is what an order is about.
type subject struct {
	service, zone string
	preemptible   bool
}

type placed struct {
	count int
	at    boottime.Instant
}

type peak struct {
	servers float64
	at      boottime.Instant
}

// Planner plans the orders of all services. It is not safe for concurrent use.
type Planner struct {
	orders      map[subject]placed
	unavailable map[subject]boottime.Instant
	peaks       map[string]peak
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner {
	return &Planner{
		orders: map[subject]placed{}, unavailable: map[subject]boottime.Instant{}, peaks: map[string]peak{},
	}
}

// Plan returns the orders to place now for a service, given what runs and the
// demand of all instances.
func (p *Planner) Plan(now boottime.Instant, s routes.Service, zones []Zone, d presence.Demand) []Order {
	if s.Scaling == nil || len(zones) == 0 {
		return nil
	}
	target := p.perZone(now, s, zones, d)
	cheap := s.Scaling.PreemptiblePrice > 0 && s.Scaling.PreemptiblePrice < 1
	var orders []Order
	for _, z := range zones {
		if !cheap {
			orders = p.want(orders, now, subject{s.Name, z.Name, false}, target, z.Regular)
			continue
		}
		regular, preemptible := p.cheapSplit(s, z, target, d == presence.Demand{})
		orders = p.want(orders, now, subject{s.Name, z.Name, false}, regular, z.Regular)
		orders = p.want(orders, now, subject{s.Name, z.Name, true}, preemptible, z.Preemptible)
	}
	return orders
}

// cheapSplit keeps the regular servers of a zone until enough preemptible ones
// serve; while there is no work at all, until these are ordered. Both kinds count
// towards the zone's maximum.
func (p *Planner) cheapSplit(s routes.Service, z Zone, target int, idle bool) (regular, preemptible int) {
	preemptible = min(target, max(s.Scaling.Max-z.Regular, 1))
	ordered := p.orders[subject{s.Name, z.Name, true}].count >= preemptible
	if z.Preemptible >= preemptible || idle && ordered {
		return 0, preemptible
	}
	return z.Regular, preemptible
}

// perZone is the number of servers wanted in each zone.
func (p *Planner) perZone(now boottime.Instant, s routes.Service, zones []Zone, d presence.Demand) int {
	serving := 0
	for _, z := range zones {
		if !z.Out {
			serving++
		}
	}
	needed := p.highest(now, s.Name, needed(d))
	each := int(math.Ceil(needed / float64(max(serving, 1))))
	return min(max(each, spare(s.Scaling), s.Scaling.Min), s.Scaling.Max)
}

// spare is the number of servers kept in each zone whatever the demand.
func spare(s *routes.Scaling) int {
	if s.PreemptiblePrice <= 0 || s.PreemptiblePrice > cheapPrice {
		return s.Min
	}
	return int(math.Ceil(cheapShare * float64(s.Max)))
}

// highest returns the highest need of the recent past.
func (p *Planner) highest(now boottime.Instant, service string, servers float64) float64 {
	last, ok := p.peaks[service]
	if !ok || servers >= last.servers || now.Sub(last.at) > demandMemory {
		p.peaks[service] = peak{servers: servers, at: now}
		return servers
	}
	return last.servers
}

// want adds an order unless it has been placed and is met or still may be.
func (p *Planner) want(orders []Order, now boottime.Instant, about subject, count, running int) []Order {
	if until, ok := p.unavailable[about]; ok && now.Before(until) {
		return orders
	}
	last, ordered := p.orders[about]
	switch {
	case !ordered && count == running:
		return orders
	case ordered && last.count == count && (count == running || now.Sub(last.at) < repeatAfter):
		return orders
	}
	return append(orders, Order{Service: about.service, Zone: about.zone, Preemptible: about.preemptible, Count: count})
}

// Placed takes an order that was accepted.
func (p *Planner) Placed(now boottime.Instant, o Order) {
	p.orders[subject{o.Service, o.Zone, o.Preemptible}] = placed{count: o.Count, at: now}
}

// Unavailable takes an order for which there were no servers.
func (p *Planner) Unavailable(now boottime.Instant, o Order) {
	about := subject{o.Service, o.Zone, o.Preemptible}
	delete(p.orders, about)
	p.unavailable[about] = now.Add(unavailableFor)
}

// SortZones orders zones by name, so that plans do not depend on the order of maps.
func SortZones(zones []Zone) {
	slices.SortFunc(zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
}
