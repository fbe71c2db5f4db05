package instance

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Drain implements operator.Drainer. Without force, it makes the instance unready
// and waits for running requests. With force, it cancels them.
func (i *Instance) Drain(force bool) {
	if force {
		i.forced.Store(true)
		i.lifecycle.fire(eventForced)
		return
	}
	i.drainOnce.Do(func() { go i.drain() })
}

// drain performs a planned stop. It makes the instance unready, keeps serving new
// requests for the balancer's lag, and then waits for running requests, at most
// until the drain limit.
func (i *Instance) drain() {
	i.ring.Record(timeline.Event{Kind: timeline.InstanceDraining})
	i.logger.Info("instance is draining", "running", i.callers.Active())
	i.leaving.Store(true)
	i.lifecycle.fire(eventDrain)
	i.listener.DisableKeepAlive()
	i.fleet.register(context.Background())
	time.Sleep(time.Duration(i.settings.Drain.BalancerLag))
	i.lifecycle.fire(eventLagOver)
	ctx, cancel := i.drainContext()
	defer cancel()
	if err := i.awaitRequests(ctx); err != nil {
		i.logger.Warn("drain limit reached; cancelling running requests", "running", i.callers.Active())
		i.lifecycle.fire(eventForced)
		return
	}
	i.lifecycle.fire(eventIdle)
}

// awaitRequests waits for all requests, including those that continue after their
// caller disconnected.
func (i *Instance) awaitRequests(ctx context.Context) error {
	if err := i.listener.Shutdown(ctx); err != nil {
		return err
	}
	return i.callers.AwaitIdle(ctx)
}

// stateForced marks a stop that was forced by an operator.
const stateForced = "forced"

// stoppedEvent returns the event that ends the instance's timeline. cut is the
// number of cancelled requests.
func (i *Instance) stoppedEvent(cut int64) timeline.Event {
	e := timeline.Event{Kind: timeline.InstanceStopped, Count: cut}
	if i.forced.Load() {
		e.State = stateForced
	}
	return e
}

// drainContext returns a context that ends at the configured drain limit. A limit
// of zero or less means no limit.
func (i *Instance) drainContext() (context.Context, context.CancelFunc) {
	limit := time.Duration(i.settings.Drain.Timeout)
	if limit <= 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), limit)
}
