package faultmatrix

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// stepsOfRows tells steps by the rows that a transaction writes.
var stepsOfRows = []struct {
	prefix, contains string
	step             Step
}{
	{"lease/alive/", "", LeaseRenew},
	{"lease/duty/", `"instance":""`, LeaseRelease},
	{"lease/duty/", "", LeaseAcquire},
	{"config/", "", ConfigCommit},
	{"usage/frontier", "", UsageFreeze},
}

var zoneNames = []string{"zone-a", "zone-b"}

const duty = "orders"

func launchLease(ctx context.Context, n *node) {
	r := n.recorder()
	m := lease.NewManager(lease.Options{
		Instance: n.name, Table: n.table(), Duties: []string{duty}, Recorder: r,
		Members: func() []string { return []string{"i0", "i1", "i2"} },
	})
	m.Do(duty, func(ctx context.Context, g lease.Guard) error { return n.placeOrders(ctx, g, r) })
	_ = m.Run(ctx)
}

// placeOrders places an order every two seconds while the duty is held.
func (n *node) placeOrders(ctx context.Context, g lease.Guard, r timeline.Recorder) error {
	for i := 0; ctx.Err() == nil; i++ {
		o := platform.Order{
			ID: fmt.Sprintf("%s-%d-%d", n.name, g.Token, i), Duty: duty, Token: uint64(g.Token),
			Kind: platform.OrderStart, Zone: zoneNames[i%2], Model: "m",
		}
		if err := g.Check(); err != nil {
			return err
		}
		_, _ = call(g.Context(ctx), n, OrderSend, func(ctx context.Context) (platform.OrderOutcome, error) {
			if err := g.Check(); err != nil {
				return platform.OrderOutcome{}, err
			}
			r.Record(timeline.Event{Kind: timeline.OrderSent, Order: o.ID, Duty: o.Duty, Token: o.Token, Zone: o.Zone})
			return n.f.platform.Caller(n.name).Servers().Place(ctx, o)
		})
		time.Sleep(2 * time.Second)
	}
	return nil
}
