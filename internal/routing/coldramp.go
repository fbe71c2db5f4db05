package routing

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
)

const (
	// coldProof is the number of whole answers in a row after which a server that
	// sends no load report leaves the first step.
	coldProof = 8
	// stepInterval is the time between two steps of a server that reports warm.
	stepInterval = 500 * time.Millisecond
	// skewMargin covers the difference between a server's clock and ours.
	skewMargin = 2 * time.Second
	// reportUnknown marks a ramp without any load report of its epoch.
	reportUnknown = -1
)

// Ramp raises the load of a backend server that (re)started from the cold limit
// to the warm limit. All figures are requests in flight over all instances.
type Ramp struct {
	epoch     uint64
	cold      int
	warm      int
	total     int // borne at the present step
	state     statechart.State
	since     time.Time // first sight of the epoch, or the turn back to the start
	stepped   time.Time
	successes int // whole, timely answers in a row
	remaining int // of the last load report, or reportUnknown
	idleSince time.Time
	// established is true for a server that ran before this instance began to
	// watch and has shown no restart since.
	established bool
}

// NewRamp returns the ramp of a server seen for the first time.
func NewRamp(now time.Time, epoch uint64, cold, warm int) Ramp {
	r := Ramp{epoch: epoch, cold: min(cold, warm), warm: warm}
	r.Restart(now)
	return r
}

// Restart goes back to the start of the ramp.
func (r *Ramp) Restart(now time.Time) {
	r.fire(eventRestarted)
	r.since, r.stepped = now, now
	r.successes = 0
	r.remaining = reportUnknown
	r.idleSince = time.Time{}
	r.established = false
}

// SetEstablished marks a server that ran before this instance began to watch.
// Its first load report decides whether it is warm; a restart ends the mark.
func (r *Ramp) SetEstablished() { r.established = true }

// SetLimits changes the configured limits. A warm server stays warm.
func (r *Ramp) SetLimits(cold, warm int) {
	r.cold, r.warm = min(cold, warm), warm
	r.total = min(max(r.total, r.cold), r.warm)
	switch {
	case r.Warm():
		r.total = r.warm
	case !r.First() && r.total == r.warm:
		r.fire(eventStepPassed)
	}
}

// Epoch takes an epoch from any source and reports whether the server restarted.
// Zero, and epochs older than the known one, say nothing.
func (r *Ramp) Epoch(now time.Time, epoch uint64) bool {
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

// Gone ends the ramp of a server that is no longer listed.
func (r *Ramp) Gone() { r.fire(eventGone) }

// Warm reports whether the server bears its warm limit.
func (r *Ramp) Warm() bool { return r.state == stateWarm }

// First reports whether the server is on the first step, where it bears no more
// than its cold limit.
func (r *Ramp) First() bool { return r.state == stateCold }

// Total returns the requests in flight that the server bears.
func (r *Ramp) Total() int { return r.total }

// Report takes a load report of the known epoch. own is the number of requests
// that this instance has in flight there.
func (r *Ramp) Report(now time.Time, report engineapi.LoadReport, own int) {
	r.remaining = report.ColdRemaining
	if r.remaining > 0 {
		r.fire(eventReportedCold)
		r.stepped = now
	}
	if r.remaining == 0 && r.established {
		r.fire(eventReportedWarm)
	}
	r.established = false
	if report.Running+report.Waiting <= own {
		r.idleSince = time.UnixMilli(report.UnixMillis)
	}
	r.Step(now)
}

// Answer takes the end of an attempt: good means whole and in time.
func (r *Ramp) Answer(now time.Time, good bool) {
	if good {
		r.successes++
		r.Step(now)
		return
	}
	r.successes = 0
	if !r.Warm() {
		r.fire(eventFailed)
		r.stepped = now
	}
}

// Step doubles the load when the server has shown that it bears more.
func (r *Ramp) Step(now time.Time) {
	if r.Warm() || !r.mayStep(now) {
		return
	}
	r.fire(eventStepPassed)
	r.stepped = now
	if r.remaining == reportUnknown {
		r.successes = 0
	}
}

func (r *Ramp) mayStep(now time.Time) bool {
	switch {
	case r.remaining > 0:
		return false
	case r.remaining == 0:
		return now.Sub(r.stepped) >= stepInterval
	default:
		return r.successes >= coldProof
	}
}

// clear reports whether no other instance can have requests in flight that it
// started while it owned slots which this one owns since a given time: the epoch
// began after that settled, the server reported no work but ours since, or every
// such request is over.
func (r *Ramp) clear(now, owned time.Time, t Timing, longest time.Duration) bool {
	settled := owned.Add(t.settle())
	switch {
	case r.since.After(settled.Add(t.ListLag)):
		return true
	case r.idleSince.After(settled.Add(skewMargin)):
		return true
	default:
		return now.After(settled.Add(longest))
	}
}
