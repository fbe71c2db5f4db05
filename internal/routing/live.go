package routing

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// Live is what this instance knows of one backend server by itself. It outlives
// snapshots and is changed only under the caller's lock.
type Live struct {
	name        string
	outstanding int // own requests in flight
	plain       bool
	longest     time.Duration // longest deadline of a request
	ramp        Ramp
	owner       Ownership
	part        int // this instance's part of the warm limit
	limit       admission.Limit
	health      health
	latency     latency
	load        loadView
	prefixes    uint32 // generation of prefix hints; older hints are void
	sequence    uint64 // last cache event seen
	// held is the share of the prompt that the server holds for one decision.
	decision uint64
	held     float64
}

// Outstanding returns this instance's requests in flight on the server.
func (l *Live) Outstanding() int { return l.outstanding }

// Cold reports whether the server is still ramping up.
func (l *Live) Cold() bool { return !l.plain && !l.ramp.Warm() }

// Suspect reports whether the server failed repeatedly and is only probed.
func (l *Live) Suspect() bool { return l.health.suspect() }

// Epoch returns the newest restart epoch seen.
func (l *Live) Epoch() uint64 { return l.ramp.epoch }

// Started counts an attempt that this instance starts on the server.
func (l *Live) Started(now time.Time) {
	l.outstanding++
	if l.health.suspect() {
		l.health.probed(now)
	}
}

// Ended counts the end of an attempt.
func (l *Live) Ended() { l.outstanding-- }

// Slots returns how many requests this instance may have in flight on the server.
func (l *Live) Slots(now time.Time, m *Membership) int {
	if l.health.suspect() {
		return l.health.slots(now)
	}
	if l.plain {
		return l.part
	}
	if l.ramp.Warm() {
		return min(l.limit.Value(), l.part)
	}
	l.ramp.Step(now)
	if l.ramp.First() {
		return l.coldSlots(now, m)
	}
	return l.owner.Current(l.ramp.total)
}

// coldSlots is this instance's part of the cold limit. The parts of all
// instances sum to no more than the limit, also while their lists of members
// differ; see docs/design/0021-cold-servers.md.
func (l *Live) coldSlots(now time.Time, m *Membership) int {
	if !m.Fresh(now) || l.owner.coldSince.IsZero() {
		return 0
	}
	if !l.ramp.clear(now, l.owner.coldSince, m.timing, l.longest) {
		return 0
	}
	return l.owner.Current(l.ramp.total)
}

// Free returns how many more requests this instance may start on the server.
func (l *Live) Free(now time.Time, m *Membership) int {
	return max(l.Slots(now, m)-l.outstanding, 0)
}

// SeeEpoch takes the server's restart epoch from any source. A newer one means
// that the server is cold and its cache empty. It reports whether it was newer.
func (l *Live) SeeEpoch(now time.Time, epoch uint64) bool {
	if !l.ramp.Epoch(now, epoch) {
		return false
	}
	l.forgetCache()
	return true
}

// TurnCold sends a server back to the start of its ramp.
func (l *Live) TurnCold(now time.Time) {
	l.ramp.Restart(now)
	l.forgetCache()
}

func (l *Live) forgetCache() {
	l.prefixes++
	l.sequence = 0
	l.load = loadView{}
	l.latency = latency{}
}

// Report takes a load report and reports whether the server turned cold.
func (l *Live) Report(now time.Time, r engineapi.LoadReport) (turnedCold bool) {
	turnedCold = l.SeeEpoch(now, r.Epoch)
	if r.Epoch < l.ramp.epoch {
		return turnedCold // of an earlier life
	}
	if l.load.lostCache(r) {
		l.TurnCold(now)
		turnedCold = true
	}
	if l.load.take(now, r, l.outstanding) {
		l.ramp.Report(now, r, l.outstanding)
	}
	return turnedCold
}

// Shown is what an attempt showed of a server.
type Shown struct {
	Good       bool // whole answer
	Slow       bool // the first token took longer than the class's target
	SlowStream bool // tokens came further apart than the class's target
	Failed     bool // failure of the server, not of the caller
	Crashed    bool
	Dead       bool          // no connection came up
	FirstToken time.Duration // 0 if unknown
	Input      int           // prompt tokens
	Between    time.Duration // mean time between tokens, 0 if unknown
}

// Observe takes the end of an attempt and reports whether the server turned cold.
func (l *Live) Observe(now time.Time, s Shown) (turnedCold bool) {
	switch {
	case s.Failed:
		l.health.failed(now, s.Crashed, s.Dead)
		l.ramp.Answer(now, false)
		return false
	case !s.Good:
		return false
	}
	l.health.succeeded()
	slow := s.Slow || s.SlowStream && l.slowedByLoad(s.Between)
	l.ramp.Answer(now, !slow)
	l.limit.Sample(now, slow, l.outstanding+1)
	if l.latency.take(now, s) && l.outstanding <= l.limit.Value()/2 {
		l.TurnCold(now)
		return true
	}
	return false
}

// slowedByLoad reports whether less load would probably make the server faster.
// Above half of its part it must show by going there.
func (l *Live) slowedByLoad(between time.Duration) bool {
	return 2*l.limit.Value() > l.part || l.latency.loaded(between)
}

// State is what operators see of a server's health.
type State struct {
	Name  string // "cold", "warm" or "suspect"
	Bears int    // requests in flight over all instances that the server bears
}

// State returns the server's health.
func (l *Live) State() State {
	s := State{Name: "warm", Bears: l.ramp.total}
	switch {
	case l.health.suspect():
		s.Name = "suspect"
	case l.Cold():
		s.Name = "cold"
	}
	return s
}

// Name returns the server's name.
func (l *Live) Name() string { return l.name }
