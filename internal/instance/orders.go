package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/hawthornwick/hawthornwick/internal/member"
	"github.com/hawthornwick/hawthornwick/internal/order"
	"github.com/hawthornwick/hawthornwick/internal/peer"
)

const (
	// demandTimeout bounds one instance's answer about its demand.
	demandTimeout = 2 * time.Second
	// demandSample bounds the instances that are asked for one decision; the
	// collector scales their answers to all live instances.
	demandSample = 24
	// drainingInterval is the time between reads of the servers that drain. It
	// bounds how long one of them gets new work.
	drainingInterval = 3 * time.Second
)

// provisionOrders builds the duty that orders backend servers, and the answer
// to whoever holds it on another instance.
func (i *Instance) provisionOrders() {
	i.recent = order.NewRecent()
	i.engineOrders = order.NewHTTPEngines(i.settings.Instance)
	i.peers.HandleRequest(peer.KindDemand, func(string, peer.Message) (peer.Message, error) {
		body, err := cbor.Marshal(i.ownDemand())
		return peer.Message{Kind: peer.KindDemand, Body: body}, err
	})
	collector := order.NewCollector(order.CollectorOptions{
		Servers:   i.platform.Servers(),
		Config:    i.store,
		Instances: func() int { return len(i.members.Live()) },
	})
	orderer := order.NewOrderer(order.Options{
		Table:    i.platform.Table(),
		Servers:  i.platform.Servers(),
		Engines:  i.engineOrders,
		Recorder: i.ring,
		Logger:   i.logger.Named("order"),
	}, order.Policy{}, &demandObserver{instance: i, collector: collector})
	i.leases.Do(order.Duty, orderer.Work)
}

// ownDemand is what this instance asks of each model.
func (i *Instance) ownDemand() order.Summary {
	summary := order.Summary{Instance: i.settings.Instance, Loads: i.recent.Loads(time.Now())}
	for _, pool := range i.scheduler.Status().Pools {
		for _, c := range pool.Classes {
			summary.Loads = append(summary.Loads, order.ClassLoad{
				Model: pool.Name, Class: c.Name, Queued: c.Waiting, Running: c.Running,
			})
		}
	}
	return summary
}

// demandObserver asks live instances for their demand before each observation.
type demandObserver struct {
	instance  *Instance
	collector *order.Collector
}

// Observe implements order.Observer.
func (d *demandObserver) Observe(ctx context.Context) (order.Observation, error) {
	var asked errgroup.Group
	for _, m := range d.sample() {
		asked.Go(func() error {
			d.ask(ctx, m.Name)
			return nil
		})
	}
	_ = asked.Wait()
	return d.collector.Observe(ctx)
}

// sample returns this instance and others at random.
func (d *demandObserver) sample() []member.Member {
	live := d.instance.members.Live()
	rand.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	return live[:min(len(live), demandSample)]
}

func (d *demandObserver) ask(ctx context.Context, name string) {
	if name == d.instance.settings.Instance {
		d.collector.Take(d.instance.ownDemand())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	answer, err := d.instance.peers.Request(ctx, name, peer.Message{Kind: peer.KindDemand})
	if err != nil {
		d.instance.logger.Debug("demand not heard", "from", name, "error", err)
		return
	}
	var summary order.Summary
	if err := cbor.Unmarshal(answer.Body, &summary); err != nil || summary.Instance != name {
		d.instance.logger.Debug("demand not understood", "from", name, "error", err)
		return
	}
	d.collector.Take(summary)
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
