package instance

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Drain implements operator.Drainer. Without force it turns the instance
// unready and finishes what runs; with force it cuts off what still runs.
func (i *Instance) Drain(force bool) {
	if force {
		i.forced.Store(true)
		i.life.fire(eventForced)
		return
	}
	i.drainOnce.Do(func() { go i.drain() })
}

// drain carries out a planned stop: the balancer is given time to notice,
// every request that still arrives is served, and what runs is finished.
func (i *Instance) drain() {
	i.ring.Record(timeline.Event{Kind: timeline.InstanceDrains})
	i.logger.Info("instance drains", "running", i.callers.Active())
	i.leaving.Store(true)
	i.life.fire(eventDrain)
	i.listener.StopReuse()
	i.fleet.register(context.Background())
	time.Sleep(time.Duration(i.settings.Drain.BalancerLag))
	i.life.fire(eventLagOver)
	ctx, cancel := i.drainLimit()
	defer cancel()
	if err := i.finish(ctx); err != nil {
		i.logger.Warn("requests were cut off at the drain limit", "running", i.callers.Active())
		i.life.fire(eventForced)
		return
	}
	i.life.fire(eventIdle)
}

// finish waits for every request, also for those that go on without their
// caller's connection.
func (i *Instance) finish(ctx context.Context) error {
	if err := i.listener.Shutdown(ctx); err != nil {
		return err
	}
	return i.callers.AwaitIdle(ctx)
}

// stateForced marks a stop in which operators gave up what still ran.
const stateForced = "forced"

// stopped describes the end of the instance with the number of requests cut off.
func (i *Instance) stopped(cut int64) timeline.Event {
	e := timeline.Event{Kind: timeline.InstanceStopped, Count: cut}
	if i.forced.Load() {
		e.State = stateForced
	}
	return e
}

// drainLimit returns a context that ends at the settings' limit, or never.
func (i *Instance) drainLimit() (context.Context, context.CancelFunc) {
	limit := time.Duration(i.settings.Drain.Limit)
	if limit <= 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), limit)
}
