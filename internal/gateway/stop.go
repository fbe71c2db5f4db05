package gateway

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

var errEndsTooLate = errors.New("the request might not end before the instance stops")

// Multiples of the usual time that must be left for a request: while the load balancer
// cannot know of the stop and a refusal would meet every caller, later, and always for a
// request that may not be repeated, since its outcome would stay unknown.
const (
	lagMargin          = 1
	lateMargin         = 2
	unrepeatableMargin = 3
)

// Stop describes a graceful stop of the instance.
type Stop struct {
	// By is when requests in flight are aborted.
	By time.Time
	// UnknownUntil is until when the load balancer may not know of the stop.
	UnknownUntil time.Time
	// RetryAfter returns the time after which callers may return that are refused because
	// their requests would end too late. It must be safe for concurrent use.
	RetryAfter func() time.Duration
}

// Stop tells the gateway that the instance stops. From now on a request is sent to a
// backend server only if it will probably end in time, and servers get no longer
// deadline; others are refused as not run.
func (g *Gateway) Stop(s Stop) { g.stopState.planned.Store(&s) }

// stopState is what the gateway knows of the instance's graceful stop. It is safe for
// concurrent use.
type stopState struct {
	planned atomic.Pointer[Stop] // nil unless the instance stops
	refused atomic.Int64
}

// RefusedByStop returns the number of requests that were refused because they might not
// have ended before the stop.
func (g *Gateway) RefusedByStop() int64 { return g.stopState.refused.Load() }

// left returns the time that backend servers have until requests in flight are aborted.
func (s *Stop) left() time.Duration { return time.Until(s.By) - deadlineGrace }

// endsInTime decides whether a request may be sent to a backend server when an instance
// stops after left. allowed is the longest time that its answer may take, and usual the
// time within which most answers of its route are complete, or zero if that is unknown,
// and margin the multiple of it that must be left.
func endsInTime(left, allowed, usual time.Duration, margin int) bool {
	if usual == 0 {
		return allowed <= left
	}
	return min(allowed, time.Duration(margin)*usual) <= left
}

// margin returns the multiple of the usual time that must be left for the request at the
// given time.
func (s *Stop) margin(now time.Time, repeatable bool) int {
	switch {
	case !repeatable:
		return unrepeatableMargin
	case now.Before(s.UnknownUntil):
		return lagMargin
	}
	return lateMargin
}

// endsBeforeStop reports whether the request may still be sent to a backend server. An
// answer that has begun goes on, since its caller has no use for a refusal.
func (x *exchange) endsBeforeStop() bool {
	stop := x.gateway.stopState.planned.Load()
	if stop == nil || x.responseStarted {
		return true
	}
	usual := x.gateway.answerTimes.usual(x.route.Name)
	margin := stop.margin(time.Now(), x.route.Retryable())
	return endsInTime(stop.left(), time.Until(x.deadline), usual, margin)
}

// stopResult returns the result of a request that may not be sent because it might end
// too late.
func (x *exchange) stopResult() *result.Error {
	stop := x.gateway.stopState.planned.Load()
	x.gateway.stopState.refused.Add(1)
	after := min(stop.RetryAfter(), time.Duration(maxRetryAfterFraction*float64(time.Until(x.deadline))))
	return x.newResult(result.InstanceDraining, errEndsTooLate).WithRetryAfter(after)
}
