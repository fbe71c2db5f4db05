package faultmatrix

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/order"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// stepsByRow maps the first row that a transaction writes to the step of the
// transaction.
var stepsByRow = []struct {
	prefix, contains string
	step             Step
}{
	{"lease/alive/", "", LeaseRenew},
	{"lease/duty/", `"instance":""`, LeaseRelease},
	{"lease/duty/", "", LeaseAcquire},
	{"order/intent/", "", OrderIntent},
	{"config/", "", ConfigCommit},
	{"usage/frontier", "", UsageFreeze},
}

var zoneNames = []string{"zone-a", "zone-b"}

// demandPeriod is the time between changes of the demand. Changes make the scaler
// place orders throughout a run.
const demandPeriod = 20 * time.Second

// launchOrders runs the scaler while the instance holds the lease of its duty.
func launchOrders(ctx context.Context, n *node) {
	r := n.recorder()
	m := lease.NewManager(lease.Options{
		Instance: n.name, Table: n.table(), Duties: []string{order.Duty}, Recorder: r,
		Members: func() []string { return []string{"i0", "i1", "i2"} },
	})
	policy := order.Policy{ScaleDownDelay: time.Second, MinDrainTime: time.Second}
	orderer := order.NewOrderer(order.Options{
		Table: n.table(), Servers: servers{n.f.platform.Caller(n.name).Servers(), n}, Recorder: r,
	}, policy, observer{n})
	m.Do(order.Duty, orderer.Work)
	_ = m.Run(ctx)
}

// observer reports a demand that rises and falls.
type observer struct{ n *node }

// Observe implements order.Observer.
func (o observer) Observe(context.Context) (order.Observation, error) {
	queued := 20 + 20*int(time.Now().Unix()/int64(demandPeriod.Seconds())%4)
	seen := order.Observation{
		Models: []order.Model{{
			Name: "m", MinServers: 1, MaxServers: 100, Slots: 4, StartTime: time.Second,
			Demands: []order.Demand{{Class: "c", Tier: 1, Queued: queued, Attainment: -1}},
		}},
		Servers: o.n.f.platform.ServerList(),
		Busy:    make(map[string]int),
	}
	for _, name := range zoneNames {
		seen.Zones = append(seen.Zones, order.Zone{Name: name})
	}
	for _, s := range seen.Servers {
		seen.Busy[s.Name] = 0
	}
	return seen, nil
}

// servers is one instance's access to the platform's orders, with its faults.
type servers struct {
	platform.Servers
	n *node
}

// Place implements platform.Servers.
func (s servers) Place(ctx context.Context, o platform.Order) (platform.OrderOutcome, error) {
	return call(ctx, s.n, OrderSend, func(ctx context.Context) (platform.OrderOutcome, error) { return s.Servers.Place(ctx, o) })
}

// Lookup implements platform.Servers.
func (s servers) Lookup(ctx context.Context, id string) (platform.OrderOutcome, error) {
	return call(ctx, s.n, "", func(ctx context.Context) (platform.OrderOutcome, error) { return s.Servers.Lookup(ctx, id) })
}
