package routing

import "time"

const (
	// suspectThreshold is the number of consecutive failures after which a
	// server is suspect.
	suspectThreshold = 3
	// minProbeInterval and maxProbeInterval bound the time between probes,
	// which doubles with each failed probe.
	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
)

// health counts a server's consecutive failures. A suspect server gets one
// request at a time as a probe; the interval doubles with each failed probe.
type health struct {
	failures int
	// unreachable is true if the last failure was a crash or a failed
	// connection.
	unreachable bool
	// tolerated is true while most servers of the pool fail. The cause is then
	// probably not this server, and restricting the whole pool to probes would
	// stop its traffic. An unreachable server is never tolerated.
	tolerated     bool
	probeInterval time.Duration
	nextProbe     time.Time
}

func (h *health) suspect() bool {
	return h.failing() && (h.unreachable || !h.tolerated)
}

func (h *health) failing() bool { return h.failures >= suspectThreshold }

func (h *health) recordFailure(now time.Time, crashed, unreachable bool) {
	h.failures++
	h.unreachable = unreachable || crashed
	if crashed {
		h.failures = max(h.failures, suspectThreshold)
	}
	if !h.failing() {
		return
	}
	h.probeInterval = min(max(h.probeInterval*2, minProbeInterval), maxProbeInterval)
	h.nextProbe = now.Add(h.probeInterval)
}

func (h *health) recordSuccess() { *h = health{tolerated: h.tolerated} }

// recordProbe postpones the next probe. A probe that never ends therefore does
// not stop probing.
func (h *health) recordProbe(now time.Time) {
	h.nextProbe = now.Add(max(h.probeInterval, minProbeInterval))
}

// probeSlots returns 1 if a probe is due, otherwise 0.
func (h *health) probeSlots(now time.Time) int {
	if now.Before(h.nextProbe) {
		return 0
	}
	return 1
}

// tolerateThreshold is the fraction of a pool's usable servers above which
// failing servers stay in use.
const tolerateThreshold = 0.5

// TolerateFailures marks the pool's servers as tolerated if more than
// tolerateThreshold of the usable ones fail, and clears the mark otherwise.
func (p *Pool) TolerateFailures() {
	failing, usable := 0, 0
	for _, c := range p.Candidates {
		if !c.Usable() {
			continue
		}
		usable++
		if c.Live.health.failing() && !c.Live.health.unreachable {
			failing++
		}
	}
	tolerated := usable > 1 && float64(failing) > tolerateThreshold*float64(usable)
	for _, c := range p.Candidates {
		c.Live.health.tolerated = tolerated
	}
}
