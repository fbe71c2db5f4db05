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
	// demandTimeout bounds a request for one instance's demand.
	demandTimeout = 2 * time.Second
	// demandSampleSize is the maximum number of instances queried per decision.
	// The collector extrapolates their answers to all live instances.
	demandSampleSize = 24
	// drainingPollInterval is the time between reads of the list of draining
	// servers. It bounds how long a draining server receives new work.
	drainingPollInterval = 3 * time.Second
)

// provisionOrders builds the duty that orders backend servers, and the handler
// that reports this instance's demand to the holder of that duty.
func (i *Instance) provisionOrders() {
	i.recent = order.NewRecent()
	i.engineOrders = order.NewHTTPEngines(i.settings.Instance)
	i.peers.HandleRequest(peer.KindDemand, func(string, peer.Message) (peer.Message, error) {
		body, err := cbor.Marshal(i.localDemand())
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

// localDemand returns this instance's load by model and class.
func (i *Instance) localDemand() order.Summary {
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

// demandObserver collects the demand of live instances before each observation.
type demandObserver struct {
	instance  *Instance
	collector *order.Collector
}

// Observe implements order.Observer.
func (d *demandObserver) Observe(ctx context.Context) (order.Observation, error) {
	var fetches errgroup.Group
	for _, m := range d.sample() {
		fetches.Go(func() error {
			d.fetch(ctx, m.Name)
			return nil
		})
	}
	_ = fetches.Wait()
	return d.collector.Observe(ctx)
}

// sample returns up to demandSampleSize live instances, selected at random.
func (d *demandObserver) sample() []member.Member {
	live := d.instance.members.Live()
	rand.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	return live[:min(len(live), demandSampleSize)]
}

func (d *demandObserver) fetch(ctx context.Context, name string) {
	if name == d.instance.settings.Instance {
		d.collector.Update(d.instance.localDemand())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	answer, err := d.instance.peers.Request(ctx, name, peer.Message{Kind: peer.KindDemand})
	if err != nil {
		d.instance.logger.Debug("demand not received", "from", name, "error", err)
		return
	}
	var summary order.Summary
	if err := cbor.Unmarshal(answer.Body, &summary); err != nil || summary.Instance != name {
		d.instance.logger.Debug("demand not decoded", "from", name, "error", err)
		return
	}
	d.collector.Update(summary)
}

// pollDraining reads the list of draining servers.
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
