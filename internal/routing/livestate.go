package routing

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/sharedlimit"
)

// LiveState is what this instance observes of one backend server. It outlives
// snapshots and is changed only under the caller's lock.
type LiveState struct {
	name           string
	outstanding    int // requests of this instance in flight
	plain          bool
	maxDeadline    time.Duration // longest deadline of any class
	ramp           Ramp
	ownership      Ownership
	share          int // this instance's share of the warm limit
	limit          admission.Limit
	health         health
	latency        latency
	load           loadView
	stated         *advisory.State[time.Time] // by the server's answers since its last restart
	trialRunning   bool                       // an attempt is the trial after a pause
	sends          sharedlimit.Sends[time.Time]
	hintGeneration uint32 // generation of prefix hints; hints of older ones are invalid
	lastEvent      uint64 // sequence number of the last cache event
	// hitShare is the share of the prompt that the server probably has cached.
	// It is valid for the decision hitDecision only.
	hitDecision uint64
	hitShare    float64
}

// Outstanding returns the number of this instance's requests in flight on the
// server.
func (l *LiveState) Outstanding() int { return l.outstanding }

// Leaving reports whether the server has stated that it stops soon.
func (l *LiveState) Leaving() bool { return l.stated.Leaving() }

// PausedUntil returns the end of the pause that the server has asked for. The result is
// false if the server wants requests now.
func (l *LiveState) PausedUntil(now time.Time) (time.Time, bool) {
	return l.stated.PausedUntil(), l.stated.Paused(now)
}

// Wanted reports whether the server wants requests now, according to its answers.
func (l *LiveState) Wanted(now time.Time) bool { return !l.stated.Leaving() && !l.stated.Paused(now) }

// Cold reports whether the server is still ramping up.
func (l *LiveState) Cold() bool { return !l.plain && !l.ramp.Warm() }

// Suspect reports whether the server failed repeatedly and gets probes only.
func (l *LiveState) Suspect() bool { return l.health.suspect() }

// Epoch returns the newest restart epoch observed.
func (l *LiveState) Epoch() uint64 { return l.ramp.epoch }

// StartAttempt counts an attempt that this instance starts on the server. It reports
// whether the attempt is the trial after a pause, which must be passed to EndAttempt.
func (l *LiveState) StartAttempt(now time.Time) (trial bool) {
	l.outstanding++
	_, share := l.rateShare(now)
	l.sends.Add(now, share)
	if l.stated.OnTrial() {
		trial, l.trialRunning = true, true
	}
	if l.health.suspect() {
		l.health.recordProbe(now)
	}
	return trial
}

// EndAttempt counts the end of an attempt.
func (l *LiveState) EndAttempt(trial bool) {
	l.outstanding--
	if trial {
		l.trialRunning = false
	}
}

// Slots returns how many requests this instance may have in flight on the server.
func (l *LiveState) Slots(now time.Time, m *Membership) int {
	slots := l.slots(now, m)
	if limit, share := l.rateShare(now); limit.Total > 0 {
		slots = min(slots, l.outstanding+l.sends.Free(now, limit.Window, share))
	}
	switch {
	case !l.Wanted(now):
		return 0
	case l.stated.OnTrial() && l.trialRunning:
		return min(slots, l.outstanding)
	case l.stated.OnTrial():
		return min(slots, l.outstanding+1)
	}
	return slots
}

// rateShare returns the rate limit that the server names and this instance's share of it.
// Both are zero if it names none.
func (l *LiveState) rateShare(now time.Time) (sharedlimit.Limit, int) {
	rate := l.stated.RateLimit(now)
	if rate == 0 {
		return sharedlimit.Limit{}, 0
	}
	limit := sharedlimit.PerSecond(rate)
	return limit, l.ownership.Share(limit.Total)
}

// slots is Slots, apart from what the server has stated.
func (l *LiveState) slots(now time.Time, m *Membership) int {
	if l.health.suspect() {
		return l.health.probeSlots(now)
	}
	if l.plain {
		return l.share
	}
	if l.ramp.Warm() {
		return min(l.limit.Value(), l.share)
	}
	l.ramp.Step(now)
	if l.ramp.AtFirstStep() {
		return l.coldSlots(now, m)
	}
	return l.ownership.Share(l.ramp.limit)
}

// coldSlots returns this instance's share of the cold limit. The shares of all
// instances never sum to more than the limit, even while their lists of members
// differ; see docs/design/0021-cold-servers.md.
func (l *LiveState) coldSlots(now time.Time, m *Membership) int {
	if !m.Fresh(now) || l.ownership.coldSince.IsZero() {
		return 0
	}
	if !l.ramp.clear(now, l.ownership.coldSince, m.timing, l.maxDeadline) {
		return 0
	}
	return l.ownership.Share(l.ramp.limit)
}

// Free returns how many more requests this instance may start on the server.
func (l *LiveState) Free(now time.Time, m *Membership) int {
	return max(l.Slots(now, m)-l.outstanding, 0)
}

// ObserveEpoch records the server's restart epoch from any source and reports
// whether it is newer than the known one. A newer epoch means that the server
// is cold and its cache empty.
func (l *LiveState) ObserveEpoch(now time.Time, epoch uint64) bool {
	if !l.ramp.ObserveEpoch(now, epoch) {
		return false
	}
	l.resetCache()
	l.stated, l.trialRunning = &advisory.State[time.Time]{}, false
	return true
}

// ObserveStatement applies what an answer of the given restart epoch, 0 if unknown, states
// about the server.
func (l *LiveState) ObserveStatement(epoch uint64, h advisory.Heard[time.Time]) advisory.Change {
	l.ObserveEpoch(h.To, epoch)
	switch {
	case l.Epoch() == 0:
		h.Advisory = h.WithoutIncarnation()
	case epoch != 0 && epoch < l.Epoch():
		return advisory.Change{} // from before the restart
	}
	return l.stated.Observe(h)
}

// TurnCold returns a server to the first step of its ramp.
func (l *LiveState) TurnCold(now time.Time) {
	l.ramp.Restart(now)
	l.resetCache()
}

func (l *LiveState) resetCache() {
	l.hintGeneration++
	l.lastEvent = 0
	l.load = loadView{}
	l.latency = latency{}
}

// ApplyReport applies a load report and reports whether the server turned cold.
func (l *LiveState) ApplyReport(now time.Time, r engineapi.LoadReport) (turnedCold bool) {
	turnedCold = l.ObserveEpoch(now, r.Epoch)
	if r.Epoch < l.ramp.epoch {
		return turnedCold // from before the restart
	}
	if l.load.cacheEmptied(r) {
		l.TurnCold(now)
		turnedCold = true
	}
	if l.load.update(now, r, l.outstanding) {
		l.ramp.ApplyReport(now, r, l.outstanding)
	}
	return turnedCold
}

// Outcome is what the end of an attempt shows about the server.
type Outcome struct {
	Complete      bool // the answer was complete
	Slow          bool // the time to first token exceeded the class's target
	SlowStream    bool // the time between tokens exceeded the class's target
	Failed        bool // the server failed, not the caller
	Crashed       bool
	Unreachable   bool          // no connection could be made
	FirstToken    time.Duration // 0 if unknown
	InputTokens   int           // prompt tokens
	TokenInterval time.Duration // mean time between tokens, 0 if unknown
}

// Observe records the end of an attempt and reports whether the server turned
// cold.
func (l *LiveState) Observe(now time.Time, o Outcome) (turnedCold bool) {
	switch {
	case o.Failed:
		l.health.recordFailure(now, o.Crashed, o.Unreachable)
		l.ramp.RecordResult(now, false)
		return false
	case !o.Complete:
		return false
	}
	l.health.recordSuccess()
	slow := o.Slow || o.SlowStream && l.slowedByLoad(o.TokenInterval)
	l.ramp.RecordResult(now, !slow)
	l.limit.Observe(now, slow, l.outstanding+1)
	if l.latency.observe(now, o) && l.outstanding <= l.limit.Value()/2 {
		l.TurnCold(now)
		return true
	}
	return false
}

// slowedByLoad reports whether the server would probably be faster with less
// load. While the concurrency limit is above half of this instance's share,
// load is always assumed to be the cause: lowering the limit to half shows
// whether it is.
func (l *LiveState) slowedByLoad(tokenInterval time.Duration) bool {
	return 2*l.limit.Value() > l.share || l.latency.loaded(tokenInterval)
}

// State is a server's health as shown to operators.
type State struct {
	Name  string // "cold", "warm" or "suspect"
	Limit int    // limit of requests in flight over all instances
}

// State returns the server's health.
func (l *LiveState) State() State {
	s := State{Name: "warm", Limit: l.ramp.limit}
	switch {
	case l.health.suspect():
		s.Name = "suspect"
	case l.Cold():
		s.Name = "cold"
	}
	return s
}

// Name returns the server's name.
func (l *LiveState) Name() string { return l.name }
