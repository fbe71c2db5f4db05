package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/eventstream"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

const (
	// leaveMargin is the time before a server stops at which its streams should have ended.
	// It covers the time that the notice took to arrive.
	leaveMargin = 300 * time.Millisecond
	// leaveTurns is the number of priorities whose streams are continued one after the other.
	// Less urgent ones share the last turn.
	leaveTurns = 3
	// minEndShare is the share of a route's answers that must have ended in time, of those
	// that took as long as a stream has, for that stream to be left to end.
	minEndShare = 0.5
	// leaveRetryInterval is the minimum time between two attempts to leave a server.
	leaveRetryInterval = 100 * time.Millisecond
)

var errServerLeaves = errors.New("the server stops before the probable end of the stream, which is continued on another server")

// departure is what is known of a stream whose server leaves.
type departure struct {
	noticed, leaves boottime.Instant // when the notice was seen, and when the server stops
	turn            float64          // part of the time left after which the stream may be continued elsewhere, 0 to 1
	nextTry         boottime.Instant // not before this
}

// newDeparture returns the departure of a stream with the given priority. random is from 0
// to 1 and spreads streams of the same priority.
func newDeparture(noticed, leaves boottime.Instant, priority int, random float64) departure {
	turn := min(max(priority, 0), leaveTurns-1)
	return departure{noticed: noticed, leaves: leaves, turn: (float64(turn) + random) / leaveTurns}
}

// due decides whether the stream is to be continued on another server now. ends returns the
// share of answers like this one that end before an instant. It handles many streams whose
// servers leave at the same time: the most urgent ones move first, spread over the time
// left, and those that will probably end in time do not move before the last moment.
func (d departure) due(now boottime.Instant, ends func(boottime.Instant) float64) bool {
	last := d.leaves.Add(-leaveMargin)
	if !now.Before(last) {
		return true
	}
	turn := d.noticed.Add(time.Duration(d.turn * float64(last.Sub(d.noticed))))
	return !now.Before(turn) && ends(last) < minEndShare
}

// leaveServer decides after an event whether the stream is continued on another server,
// since its own one leaves. It returns nil if not. The failure ends the run on this server
// before another one gets the request.
func (a *attempt) leaveServer(event eventstream.Event) *failure {
	x := a.x
	if event.ID == "" || !x.route.Resumable || x.route.Target == 0 && x.route.TargetEventInterval == 0 {
		return nil
	}
	leaves, ok := a.assignment.LeavesAt()
	if !ok {
		return nil
	}
	now := boottime.Now()
	if a.departure.noticed.IsZero() {
		a.departure = newDeparture(now, leaves, x.query.Priority, rand.Float64())
	}
	a.departure.leaves = leaves
	if now.Before(a.departure.nextTry) || !a.departure.due(now, func(by boottime.Instant) float64 { return x.endShare(by.Sub(now)) }) {
		return nil
	}
	a.departure.nextTry = now.Add(leaveRetryInterval)
	if !x.mayContinue() || !x.gateway.options.Balancer.TryContinuation(&x.query) {
		x.gateway.counters.continuation(x, "postponed")
		return nil
	}
	x.gateway.counters.continuation(x, "begun")
	f := a.newFailure(result.StreamBroken, balance.Abandoned, fmt.Errorf("%w (leaves_in=%v notice_age=%v priority=%d end_share=%.2f)", errServerLeaves,
		leaves.Sub(now).Round(time.Millisecond), now.Sub(a.departure.noticed).Round(time.Millisecond), x.query.Priority, x.endShare(leaves.Sub(now)-leaveMargin)))
	f.continues = true
	return f
}

// stoppedAsStated reports whether the server has stated that it has stopped by now. Then the
// end of its process is no crash, and says nothing about the requests that it ran.
func (a *attempt) stoppedAsStated() bool {
	leaves, ok := a.assignment.LeavesAt()
	return ok && !boottime.Now().Before(leaves.Add(-leaveMargin))
}

// endShare returns the share of the route's answers that ended within left, of those that
// took longer than this one has so far. It is 0 if none is known.
func (x *exchange) endShare(left time.Duration) float64 {
	return x.gateway.answerTimes.endShare(x.routeName(), time.Since(x.receivedAt), left)
}

// mayContinue reports whether another attempt may follow the running one, as in mayRetry.
func (x *exchange) mayContinue() bool {
	attempts, now := max(x.route.MaxAttempts, 1), time.Now()
	switch {
	case x.ctx.Err() != nil || x.timeLeft() < minTimeLeft || len(x.query.Tried)+1 >= maxTries:
		return false
	case x.possibleRuns+1 >= attempts || x.sends+1 >= attempts+extraSends:
		return false
	}
	suspects := x.gateway.options.Suspects
	return x.endsBeforeStop() && !x.originLost() && !suspects.Refused(x.suspect, now) && !suspects.Waits(x.suspect, now)
}

// endShare returns the share of the route's kept answers that ended within left after
// elapsed, of those that took longer than elapsed. It is 0 if there are none.
func (t *answerTimes) endShare(route string, elapsed, left time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring := t.routes[route]
	if ring == nil {
		return 0
	}
	longer, ended := 0, 0
	for _, d := range ring.times[:min(ring.count, answerSamples)] {
		if d > elapsed {
			longer++
			if d <= elapsed+left {
				ended++
			}
		}
	}
	return float64(ended) / float64(max(longer, 1))
}

// continuation counts a decision about a stream whose server leaves.
func (c *counters) continuation(x *exchange, decision string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_continuations_total{route=%q,decision=%q}`, x.routeName(), decision)).Inc()
}
