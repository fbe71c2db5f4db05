package instance

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hawthornwick/hawthornwick/internal/demand"
	"github.com/hawthornwick/hawthornwick/internal/order"
	"github.com/hawthornwick/hawthornwick/internal/peer"
)

const (
	// demandTimeout bounds one instance's answer about its demand.
	demandTimeout = 2 * time.Second
	// demandParallel bounds the instances that are asked at once.
	demandParallel = 16
	// drainingInterval is the time between reads of the servers that drain. It
	// bounds how long one of them gets new work.
	drainingInterval = 3 * time.Second
)

// provisionOrders builds the duty that orders backend servers, and the answer
// to whoever holds it on another instance.
func (i *Instance) provisionOrders() {
	i.recent = demand.NewRecent()
	i.peers.HandleRequest(peer.KindDemand, func(string, peer.Message) (peer.Message, error) {
		body, err := i.ownDemand().Encode()
		return peer.Message{Kind: peer.KindDemand, Body: body}, err
	})
	orderer := order.NewOrderer(order.Options{
		Table:    i.platform.Table(),
		Servers:  i.platform.Servers(),
		Recorder: i.ring,
		Logger:   i.logger.Named("order"),
	}, order.Policy{}, &demandObserver{instance: i})
	i.leases.Do(order.Duty, orderer.Work)
}

// ownDemand is what this instance asks of each model.
func (i *Instance) ownDemand() demand.Report {
	status := i.scheduler.Status()
	report := demand.Report{Lines: i.recent.Lines(time.Now())}
	for _, pool := range status.Pools {
		for _, c := range pool.Classes {
			report.Lines = append(report.Lines, demand.Line{
				Model: pool.Name, Class: c.Name, Queued: c.Waiting, Running: c.Running,
			})
		}
	}
	for _, s := range status.Servers {
		if s.InFlight > 0 {
			report.Servers = append(report.Servers, demand.ServerLoad{Server: s.Name, Running: s.InFlight})
		}
	}
	return report
}

// demandObserver asks every live instance for its demand.
type demandObserver struct{ instance *Instance }

// Observe implements order.Observer. It fails when a live instance does not
// answer, because capacity must not be returned while demand is unknown.
func (d *demandObserver) Observe(ctx context.Context) (order.Observation, error) {
	i := d.instance
	snap := i.store.Current()
	if snap == nil {
		return order.Observation{}, fmt.Errorf("no configuration is in force")
	}
	servers, err := i.platform.Servers().List(ctx)
	if err != nil {
		return order.Observation{}, fmt.Errorf("list backend servers: %w", err)
	}
	reports, err := d.reports(ctx)
	if err != nil {
		return order.Observation{}, err
	}
	return demand.Observation(snap, servers, reports), nil
}

func (d *demandObserver) reports(ctx context.Context) ([]demand.Report, error) {
	members := d.instance.members.Live()
	reports := make([]demand.Report, len(members))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(demandParallel)
	for n, m := range members {
		group.Go(func() error {
			var err error
			reports[n], err = d.report(ctx, m.Name)
			return err
		})
	}
	return reports, group.Wait()
}

func (d *demandObserver) report(ctx context.Context, name string) (demand.Report, error) {
	if name == d.instance.settings.Instance {
		return d.instance.ownDemand(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	answer, err := d.instance.peers.Request(ctx, name, peer.Message{Kind: peer.KindDemand})
	if err != nil {
		return demand.Report{}, fmt.Errorf("ask %s for its demand: %w", name, err)
	}
	return demand.Decode(answer.Body)
}

// pollDraining reads which servers take no new work.
func (i *Instance) pollDraining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(i.settings.Platform.Timeout))
	defer cancel()
	draining, err := order.Draining(ctx, i.platform.Table())
	if err != nil {
		i.logger.Debug("draining servers not read", "error", err)
		return
	}
	i.backends.setDraining(draining)
}
