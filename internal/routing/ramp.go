package routing

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
)

const (
	// minColdSuccesses is the number of consecutive complete answers after
	// which a server that sends no load reports leaves the first step.
	minColdSuccesses = 8
	// rampStepInterval is the time between two steps of a server that reports
	// itself warm.
	rampStepInterval = 500 * time.Millisecond
	// maxClockSkew bounds the difference between a server's clock and the local
	// clock.
	maxClockSkew = 2 * time.Second
	// reportUnknown is the value of Ramp.coldRemaining before the first load
	// report of the current epoch.
	reportUnknown = -1
)

// Ramp raises the load limit of a backend server that has started or restarted
// from the cold limit to the warm limit, doubling it at each step. All limits
// are requests in flight summed over all instances. The zero value is not
// usable; use NewRamp.
type Ramp struct {
	epoch         uint64
	cold          int
	warm          int
	limit         int // limit of the current step
	state         statechart.State
	startedAt     time.Time // when the epoch was first observed or the ramp restarted
	steppedAt     time.Time
	successes     int // consecutive complete answers within the targets
	coldRemaining int // from the last load report, or reportUnknown
	idleSince     time.Time
	// established is true for a server that was already running when this
	// instance started to observe it and that has not restarted since.
	established bool
}

// NewRamp returns the ramp of a server that is observed for the first time.
func NewRamp(now time.Time, epoch uint64, cold, warm int) Ramp {
	r := Ramp{epoch: epoch, cold: min(cold, warm), warm: warm}
	r.Restart(now)
	return r
}

// Restart returns the ramp to its first step.
func (r *Ramp) Restart(now time.Time) {
	r.fire(eventRestarted)
	r.startedAt, r.steppedAt = now, now
	r.successes = 0
	r.coldRemaining = reportUnknown
	r.idleSince = time.Time{}
	r.established = false
}

// SetEstablished marks a server that was running before this instance started
// to observe it. Its first load report decides whether it is warm. A restart
// clears the mark.
func (r *Ramp) SetEstablished() { r.established = true }

// SetLimits changes the configured limits. A warm server stays warm.
func (r *Ramp) SetLimits(cold, warm int) {
	r.cold, r.warm = min(cold, warm), warm
	r.limit = min(max(r.limit, r.cold), r.warm)
	switch {
	case r.Warm():
		r.limit = r.warm
	case !r.AtFirstStep() && r.limit == r.warm:
		r.fire(eventStepPassed)
	}
}

// ObserveEpoch records an epoch from any source and reports whether the server
// restarted. Zero and epochs older than the current one are ignored.
func (r *Ramp) ObserveEpoch(now time.Time, epoch uint64) bool {
	if epoch <= r.epoch {
		return false
	}
	known := r.epoch != 0
	r.epoch = epoch
	if known {
		r.Restart(now)
	}
	return known
}

// Remove ends the ramp of a server that is no longer listed.
func (r *Ramp) Remove() { r.fire(eventGone) }

// Warm reports whether the server accepts its warm limit.
func (r *Ramp) Warm() bool { return r.state == stateWarm }

// AtFirstStep reports whether the server is on the first step, where it gets no
// more than its cold limit.
func (r *Ramp) AtFirstStep() bool { return r.state == stateCold }

// Limit returns the number of requests that may be in flight on the server,
// summed over all instances.
func (r *Ramp) Limit() int { return r.limit }

// ApplyReport applies a load report of the current epoch. own is the number of
// requests that this instance has in flight on the server.
func (r *Ramp) ApplyReport(now time.Time, report engineapi.LoadReport, own int) {
	r.coldRemaining = report.ColdRemaining
	if r.coldRemaining > 0 {
		r.fire(eventReportedCold)
		r.steppedAt = now
	}
	if r.coldRemaining == 0 && r.established {
		r.fire(eventReportedWarm)
	}
	r.established = false
	if report.Running+report.Waiting <= own {
		r.idleSince = time.UnixMilli(report.UnixMillis)
	}
	r.Step(now)
}

// RecordResult records the end of an attempt. good means a complete answer
// within the targets.
func (r *Ramp) RecordResult(now time.Time, good bool) {
	if good {
		r.successes++
		r.Step(now)
		return
	}
	r.successes = 0
	if !r.Warm() {
		r.fire(eventFailed)
		r.steppedAt = now
	}
}

// Step doubles the limit if the server has met the condition of the current
// step.
func (r *Ramp) Step(now time.Time) {
	if r.Warm() || !r.mayStep(now) {
		return
	}
	r.fire(eventStepPassed)
	r.steppedAt = now
	if r.coldRemaining == reportUnknown {
		r.successes = 0
	}
}

func (r *Ramp) mayStep(now time.Time) bool {
	switch {
	case r.coldRemaining > 0:
		return false
	case r.coldRemaining == 0:
		return now.Sub(r.steppedAt) >= rampStepInterval
	default:
		return r.successes >= minColdSuccesses
	}
}

// clear reports whether no other instance can still have requests in flight
// that it started while it owned the slots that this instance has owned since
// the given time. That holds once one of these is true: the epoch began after
// the ownership had settled; the server has since reported no requests but
// those of this instance; the longest deadline has passed since.
func (r *Ramp) clear(now, ownedSince time.Time, t Timing, maxDeadline time.Duration) bool {
	settled := ownedSince.Add(t.settleTime())
	switch {
	case r.startedAt.After(settled.Add(t.ListLag)):
		return true
	case r.idleSince.After(settled.Add(maxClockSkew)):
		return true
	default:
		return now.After(settled.Add(maxDeadline))
	}
}
