package edge

import (
	"context"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/presence"
	"github.com/hawthornwick/hawthornwick/internal/replicas"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"github.com/hawthornwick/hawthornwick/internal/tally"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// controlDuty is the duty under which one instance reports usage and orders
// backend servers. A single duty keeps the number of candidates that watch and renew
// a lease small.
const controlDuty = "control"

const (
	// planInterval is the interval between two plans of orders.
	planInterval = time.Second
	orderTimeout = time.Second
	// noticeDelay is the time from a server's notice that it leaves to the next plan.
	noticeDelay = 50 * time.Millisecond
	// sweepInterval is the interval between two deletions of stale rows.
	sweepInterval = 30 * time.Second
)

// duties run the control duties while this instance holds their lease.
type duties struct {
	settings Settings
	platform Platform
	view     *storeView
	rollouts *rollouts
	members  *members
	balancer *balance.Balancer
	recorder timeline.Recorder
	logger   hclog.Logger
	leases   *lease.Manager
	meter    *tally.Meter
	saver    *tally.Saver
	closer   *tally.Closer // nil if usage reporting is off
}

func newDuties(s Settings, p Platform, view *storeView, fleet *members, b *balance.Balancer, h *sharing, orders *rollouts, u usage, clock *truetime.Clock, recorder timeline.Recorder, logger hclog.Logger) *duties {
	d := &duties{settings: s, platform: p, view: view, rollouts: orders, members: fleet, balancer: b, recorder: recorder, logger: logger}
	window := u.window
	d.meter = u.meter
	interval := func() time.Duration { return saveInterval(b.Instances(), window) }
	d.saver = tally.NewSaver(tally.SaverOptions{
		Meter: d.meter, Table: h.sharedTable(p.Duties, dutiesTable), Run: u.run,
		Interval: interval, Contact: h.retrySignal, Logger: logger,
	})
	d.leases = lease.NewManager(lease.Options{
		Instance: s.Instance, Table: p.Duties, Duties: []string{controlDuty}, SweepUnder: controlDuty, MinTenure: s.Bounds.Lease, Members: fleet.notLeaving,
		Recorder: recorder, Logger: logger, Timing: leaseTiming(s.Bounds.Lease),
		Steady: func() time.Duration { return time.Duration(boottime.Now()) },
		Epoch:  func() storeepoch.Epoch { return currentEpoch(p.Epochs) },
	})
	if d.reportsUsage() {
		d.closer = tally.NewCloser(tally.CloserOptions{
			Window: window, Due: s.Usage.Due, Table: p.Duties, Now: clock.Now, TimeAgreed: clock.Agreed, Report: p.Report, Heard: u.exchange,
			Epoch:    func() tally.StoreEpoch { return usageEpoch(p.Epochs, clock) },
			Expected: func() int { return len(fleet.notLeaving()) }, Duty: controlDuty, Recorder: recorder, Logger: logger,
		})
		d.leases.Do(controlDuty, d.closer.Work)
	}
	if s.Duties.Scaling {
		d.leases.Do(controlDuty, d.scale)
	}
	if orders.enabled() {
		d.leases.Do(controlDuty, orders.work)
	}
	d.leases.Do(controlDuty, d.sweep)
	return d
}

// usage counts this instance's requests for the reports of usage.
type usage struct {
	window   time.Duration
	run      string // identifies this run of the instance
	meter    *tally.Meter
	exchange *tally.Exchange
}

func newUsage(s Settings, clock *truetime.Clock) usage {
	u := usage{window: s.Usage.Window}
	if u.window <= 0 {
		u.window = time.Minute // usage is counted, but not reported
	}
	id := uuid.New()
	u.run = s.Instance + "/" + hex.EncodeToString(id[:8])
	u.meter = tally.NewMeter(u.window, clock.Now)
	u.exchange = tally.NewExchange(u.meter, u.run, clock.Now)
	return u
}

// usageEpoch returns the store's epoch as the closer of windows needs it.
func usageEpoch(t *storeepoch.Tracker, clock *truetime.Clock) tally.StoreEpoch {
	epoch := currentEpoch(t)
	age := boottime.Now().Sub(epoch.SeenAt)
	return tally.StoreEpoch{Number: epoch.Number, Stated: epoch.Stated, Since: clock.Now().Add(-age)}
}

func (d *duties) reportsUsage() bool { return d.settings.Duties.Usage && d.settings.Usage.Window > 0 }

// leaseTiming derives the intervals of the leases from Bounds.Lease.
func leaseTiming(bound time.Duration) lease.Timing {
	return lease.Timing{
		Heartbeat: bound * 2 / 5,
		Lease:     bound,
		Drift:     bound / 30,
		Margin:    bound / 10,
		Watch:     bound * 2 / 5,
		RankDelay: bound / 10,
		Retry:     bound / 10,
		Call:      bound / 3,
		Write:     bound / 10,
	}
}

func (d *duties) run(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() {
		if err := d.leases.Run(ctx); err != nil {
			d.logger.Warn("releasing the leases failed; they will expire", "error", err)
		}
	})
	if d.reportsUsage() {
		running.Go(func() { d.saver.Run(ctx) })
	}
}

// scale orders backend servers while this instance holds the lease, until ctx ends.
func (d *duties) scale(ctx context.Context, g lease.Guard) error {
	planner := replicas.NewPlanner()
	d.members.planning.Store(true)
	defer d.members.planning.Store(false)
	for {
		d.plan(ctx, g, planner)
		if err := d.waitForPlan(ctx); err != nil {
			return err
		}
	}
}

// waitForPlan waits for planInterval, or for less if preemptible servers state that they
// leave: then only for noticeDelay, since the servers of a zone state it together.
func (d *duties) waitForPlan(ctx context.Context) error {
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.view.notices:
		return wait.For(ctx, noticeDelay)
	}
}

// sweep deletes stale rows while this instance holds the lease, until ctx ends.
func (d *duties) sweep(ctx context.Context, _ lease.Guard) error {
	for {
		if err := wait.For(ctx, sweepInterval); err != nil {
			return err
		}
		d.members.deleteStale(ctx)
	}
}

// plan places the orders that are due. The platform itself starts and stops the servers of
// a service whose rollout progresses.
func (d *duties) plan(ctx context.Context, g lease.Guard, planner *replicas.Planner) {
	table := d.view.Table()
	if table == nil {
		return
	}
	rows := d.members.live()
	for _, s := range table.Services {
		if s.Scaling == nil || d.rollouts.progresses(s.Name) {
			continue
		}
		zones := d.zones(s.Name, s.Scaling.ZonePrices)
		for _, o := range planner.Plan(boottime.Now(), s, zones, presence.TotalDemand(rows, s.Name)) {
			d.order(ctx, g, planner, o)
		}
	}
}

// zones returns the number of servers of a service in each zone that has a price.
func (d *duties) zones(service string, prices map[string]float64) []replicas.Zone {
	counts := d.balancer.Zones(service)
	var zones []replicas.Zone
	for name := range prices {
		c := counts[name]
		zones = append(zones, replicas.Zone{
			Name: name, Regular: c.Regular, Preemptible: c.Preemptible, Drained: d.view.isDrained(name),
		})
	}
	replicas.SortZones(zones)
	return zones
}

func (d *duties) order(ctx context.Context, g lease.Guard, planner *replicas.Planner, o replicas.Order) {
	ctx, cancel := context.WithTimeout(g.Context(ctx), orderTimeout)
	defer cancel()
	if g.Check() != nil {
		return
	}
	d.recordOrder(timeline.OrderSent, g, o, "")
	err := d.platform.Order(ctx, uint64(g.Token), o)
	now := boottime.Now()
	switch {
	case err == nil:
		planner.RecordPlaced(now, o)
		d.recordOrder(timeline.OrderConfirmed, g, o, "")
	case errors.Is(err, ErrNoneAvailable):
		planner.RecordUnavailable(now, o)
		d.recordOrder(timeline.OrderRefused, g, o, "")
	default:
		d.recordOrder(timeline.OrderUnanswered, g, o, err.Error())
	}
}

// Values of State in events about orders.
const (
	stateRegular     = "regular"
	statePreemptible = "preemptible"
)

func (d *duties) recordOrder(kind timeline.Kind, g lease.Guard, o replicas.Order, detail string) {
	state := stateRegular
	if o.Preemptible {
		state = statePreemptible
	}
	d.recorder.Record(timeline.Event{
		Kind: kind, Duty: controlDuty, Token: uint64(g.Token), Service: o.Service, Zone: o.Zone,
		Count: int64(o.Count), State: state, Detail: detail,
	})
}
