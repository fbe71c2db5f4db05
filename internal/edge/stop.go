package edge

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// readinessDelay is how long the load balancer in front of the instances takes
	// to detect that this one is not ready. Until then, a stopping instance accepts
	// connections; afterwards callers reach another one sooner if it refuses them.
	readinessDelay = 2500 * time.Millisecond
	// graceMargin is the time before the end of the grace period at which requests
	// still in flight are aborted.
	graceMargin = 400 * time.Millisecond
	// abortTimeout is the time allowed for writing the answers to aborted requests.
	abortTimeout = 100 * time.Millisecond
	// retryElsewhere is the time after which callers of a stopping instance may return to
	// another one, and restartTime the time that a stopped instance needs to serve again.
	retryElsewhere = 50 * time.Millisecond
	restartTime    = time.Second
)

// drain waits until the load balancer has detected that the instance is not ready, closes
// the listener, and waits for the requests in flight and those that still arrive on open
// connections. It returns the event that ends the instance's timeline, with the number of
// requests that were aborted at the end of the grace period.
func (e *Edge) drain() timeline.Event {
	began := time.Now()
	end := began.Add(e.settings.Bounds.Grace - graceMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	e.gateway.Stop(gateway.Stop{
		By: end, UnknownUntil: began.Add(readinessDelay),
		RetryAfter: func() time.Duration { return e.retryAfterStop(time.Until(end)) },
	})
	e.leaving.Store(true)
	e.members.leaving.Store(true)
	e.listener.DisableKeepAlive()
	e.events.Record(timeline.Event{Kind: timeline.InstanceDraining, Count: e.gateway.Active()})
	_ = wait.For(ctx, readinessDelay)
	err := e.listener.Shutdown(ctx)
	aborted := int64(0)
	if err != nil {
		aborted = e.gateway.Active()
		e.logger.Warn("the grace period is over; aborting the requests in flight", "active", aborted, "error", err)
	}
	stopped := timeline.Event{
		Kind: timeline.InstanceStopped, Count: aborted, Duration: time.Since(began),
		Detail: fmt.Sprintf("refused=%d unread=%d", e.gateway.RefusedByStop(), e.listener.Unread()),
	}
	if aborted > 0 {
		e.gateway.Abort()
		_ = wait.For(context.Background(), abortTimeout)
	}
	return stopped
}

// retryAfterStop returns the time after which callers may return that are refused because
// the instance stops after left: soon if there are instances that do not stop.
func (e *Edge) retryAfterStop(left time.Duration) time.Duration {
	others := slices.DeleteFunc(e.members.notLeaving(), func(name string) bool { return name == e.settings.Instance })
	if len(others) > 0 {
		return retryElsewhere
	}
	return max(left, 0) + restartTime
}
