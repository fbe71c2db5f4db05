package replicas

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/presence"
	"github.com/hawthornwick/hawthornwick/internal/routes"
)

// spareServers is the result of minPerZone for the service below.
const spareServers = 11

const start = boottime.Instant(time.Hour)

func service() routes.Service {
	return routes.Service{Name: "s", Scaling: &routes.Scaling{Min: 1, Max: 16, PreemptiblePrice: 0.2}}
}

// placeOrders records orders as placed and fulfils them at once.
func placeOrders(p *Planner, now boottime.Instant, zones []Zone, orders []Order) {
	for _, o := range orders {
		p.RecordPlaced(now, o)
		for i := range zones {
			if zones[i].Name != o.Zone {
				continue
			}
			if o.Preemptible {
				zones[i].Preemptible = o.Count
			} else {
				zones[i].Regular = o.Count
			}
		}
	}
}

func TestPreemptibleServersReplaceRegular(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	busy := presence.Demand{InFlight: 1}
	zones := []Zone{{Name: "a", Regular: 5}, {Name: "b", Regular: 4}}
	first := p.Plan(start, service(), zones, busy)
	for _, o := range first {
		is.True(o.Preemptible) // regular servers are kept until the preemptible ones serve
		is.Equal(o.Count, spareServers)
	}
	is.Equal(len(first), 2)
	placeOrders(p, start, zones, first)
	second := p.Plan(start.Add(5*time.Second), service(), zones, busy)
	is.Equal(len(second), 2)
	for _, o := range second {
		is.True(!o.Preemptible)
		is.Equal(o.Count, 0)
	}
	placeOrders(p, start, zones, second)
	is.Equal(len(p.Plan(start.Add(9*time.Second), service(), zones, presence.Demand{})), 0) // no further orders
}

func TestOrdersFollowPeakDemand(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	zones := []Zone{{Name: "a", Preemptible: spareServers}, {Name: "b", Preemptible: spareServers}}
	busy := presence.Demand{PromptRate: 24 * prefillTokensPerSecond * maxPrefillUtilisation}
	orders := p.Plan(start, service(), zones, busy)
	is.Equal(len(orders), 2)
	is.Equal(orders[0].Count, 16) // enough for the reserve without one of the two zones
	placeOrders(p, start, zones, orders)
	is.Equal(len(p.Plan(start.Add(10*time.Second), service(), zones, presence.Demand{})), 0) // the peak still determines the target
	is.Equal(len(p.Plan(start.Add(60*time.Second), service(), zones, presence.Demand{})), 2)
}

func TestReorderAfterZoneLoss(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	zones := []Zone{{Name: "a", Preemptible: spareServers}, {Name: "b", Preemptible: spareServers}}
	placeOrders(p, start, zones, p.Plan(start, service(), zones, presence.Demand{}))
	zones[0].Preemptible = 0 // all preemptible servers of the zone were reclaimed
	now := start.Add(20 * time.Second)
	orders := p.Plan(now, service(), zones, presence.Demand{})
	is.Equal(len(orders), 1)
	p.RecordUnavailable(now, orders[0])
	is.Equal(len(p.Plan(now.Add(unavailableBackoff/2), service(), zones, presence.Demand{})), 0)
	is.Equal(len(p.Plan(now.Add(unavailableBackoff), service(), zones, presence.Demand{})), 1)
}

func TestPreemptibleWithinZoneMaximum(t *testing.T) {
	is := is.New(t)
	s := service()
	p := NewPlanner()
	busy := presence.Demand{InFlight: 1}
	zones := []Zone{{Name: "a", Regular: 6}}
	orders := p.Plan(start, s, zones, busy)
	is.Equal(orders, []Order{{Service: "s", Zone: "a", Preemptible: true, Count: 10}})
	placeOrders(p, start, zones, orders)
	orders = p.Plan(start.Add(5*time.Second), s, zones, busy)
	is.Equal(orders, []Order{{Service: "s", Zone: "a", Count: 0}})
	placeOrders(p, start, zones, orders)
	orders = p.Plan(start.Add(6*time.Second), s, zones, busy)
	is.Equal(orders, []Order{{Service: "s", Zone: "a", Preemptible: true, Count: spareServers}})
}

func TestIdleRegularServersReleased(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	zones := []Zone{{Name: "a", Regular: 5}}
	for _, o := range p.Plan(start, service(), zones, presence.Demand{}) {
		is.True(o.Preemptible)
		p.RecordPlaced(start, o) // accepted, but no server runs yet
	}
	orders := p.Plan(start.Add(time.Second), service(), zones, presence.Demand{})
	is.Equal(orders, []Order{{Service: "s", Zone: "a", Count: 0}})
}

func TestZoneMaximum(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	zones := []Zone{{Name: "a", Regular: 8}}
	p.Plan(start, service(), zones, presence.Demand{InFlight: 10000})
	orders := p.Plan(start, service(), zones, presence.Demand{InFlight: 10000})
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Count+zones[0].Regular, 16) // both kinds count towards the maximum
}
