package replicas

import (
	"cmp"
	"math"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/routes"
)

const (
	// preemptibleSpareShare is the part of a zone's maximum that is kept for sudden
	// load and for the loss of other zones, where preemptible servers are cheap.
	preemptibleSpareShare = 0.65
	// maxSparePrice is the price of preemptible servers, relative to regular ones,
	// up to which spare servers are kept.
	maxSparePrice = 0.4
	// reserveShare is the share of the needed servers that must remain after the
	// loss of the zone with most preemptible servers. It is below 1 because servers
	// may be busier than planned until lost ones are replaced.
	reserveShare = 0.65
)

// zonePlan is the plan for one zone.
type zonePlan struct {
	Zone
	scarce bool // no further preemptible servers are to be had

	regularTarget, preemptibleTarget int
}

// expected returns the number of preemptible servers that run, or that the plan will
// bring.
func (z *zonePlan) expected() int {
	if z.scarce {
		return z.Preemptible
	}
	return max(z.Preemptible, z.preemptibleTarget)
}

// layout distributes the servers that a service needs over its zones.
type layout struct {
	scaling *routes.Scaling
	needed  float64 // servers needed by the demand
	idle    bool    // there is no demand at all
	zones   []zonePlan
	// ordered reports whether at least count preemptible servers are ordered in a
	// zone.
	ordered func(zone string, count int) bool
}

func (l *layout) prefersPreemptible() bool {
	return l.scaling.PreemptiblePrice > 0 && l.scaling.PreemptiblePrice < 1
}

// keepsSpare reports whether preemptible servers are cheap enough to keep spare ones.
func (l *layout) keepsSpare() bool {
	return l.prefersPreemptible() && l.scaling.PreemptiblePrice <= maxSparePrice
}

// compute sets the targets of all zones.
func (l *layout) compute() {
	target := l.perZone()
	for i := range l.zones {
		z := &l.zones[i]
		if !l.prefersPreemptible() {
			z.regularTarget = target
			continue
		}
		z.preemptibleTarget = min(target, max(l.scaling.Max-z.Regular, 1))
		z.regularTarget = l.keptRegular(z)
	}
	if l.keepsSpare() && len(l.zones) > 1 {
		l.addReserve()
	}
}

// perZone returns the target number of servers in each zone. The demand is divided
// over the zones that can have servers. With spare servers, the reserve remains
// without any one of these zones.
func (l *layout) perZone() int {
	supplied := 0
	for _, z := range l.zones {
		if !z.Drained && !(z.scarce && l.prefersPreemptible()) {
			supplied++
		}
	}
	servers := l.needed / float64(max(supplied, 1))
	if l.keepsSpare() {
		servers = max(servers, reserveShare*l.needed/float64(max(supplied-1, 1)))
	}
	return min(max(int(math.Ceil(servers)), l.minPerZone(), l.scaling.Min), l.scaling.Max)
}

// minPerZone returns the number of servers kept in each zone regardless of demand.
func (l *layout) minPerZone() int {
	if !l.keepsSpare() {
		return l.scaling.Min
	}
	return int(math.Ceil(preemptibleSpareShare * float64(l.scaling.Max)))
}

// keptRegular returns the number of running regular servers to keep until enough
// preemptible ones serve or, when there is no demand at all, until these are
// ordered.
func (l *layout) keptRegular(z *zonePlan) int {
	if z.Preemptible >= z.preemptibleTarget || l.idle && l.ordered(z.Name, z.preemptibleTarget) {
		return 0
	}
	return z.Regular
}

// addReserve raises the targets of regular servers so that enough servers remain if
// all preemptible ones of one zone are reclaimed.
func (l *layout) addReserve() {
	remaining, largest := 0, 0
	for _, z := range l.zones {
		if z.Drained {
			continue
		}
		remaining += z.expected() + z.regularTarget
		largest = max(largest, z.expected())
	}
	missing := int(math.Ceil(reserveShare*l.needed)) - (remaining - largest)
	for _, z := range l.byPreemptible() {
		room := l.scaling.Max - z.expected() - z.regularTarget
		add := min(missing, room)
		if z.Drained || add <= 0 {
			continue
		}
		z.regularTarget += add
		missing -= add
	}
}

// byPreemptible returns the zones with the fewest preemptible servers first, and
// among equal ones the cheapest first.
func (l *layout) byPreemptible() []*zonePlan {
	zones := make([]*zonePlan, len(l.zones))
	for i := range l.zones {
		zones[i] = &l.zones[i]
	}
	slices.SortStableFunc(zones, func(a, b *zonePlan) int {
		return cmp.Or(
			cmp.Compare(a.expected(), b.expected()),
			cmp.Compare(l.scaling.ZonePrices[a.Name], l.scaling.ZonePrices[b.Name]),
		)
	})
	return zones
}
