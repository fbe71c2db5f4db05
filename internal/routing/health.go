package routing

import "time"

const (
	// suspectAfter is the number of failures in a row that make a server suspect.
	suspectAfter = 3
	// probeFirst and probeLongest bound the time between probes, which doubles.
	probeFirst   = time.Second
	probeLongest = 30 * time.Second
)

// health counts a server's failures in a row. A suspect server gets one request
// at a time, after a pause that doubles with each failed one.
type health struct {
	failures int
	// dead is true when the last failure was a crash or no connection at all.
	dead bool
	// tolerated is true while most servers of the pool fail: then the cause is not
	// this one, and probes alone would stop the pool. A dead server is never tolerated.
	tolerated bool
	pause     time.Duration
	retryAt   time.Time
}

func (h *health) suspect() bool {
	return h.failing() && (h.dead || !h.tolerated)
}

func (h *health) failing() bool { return h.failures >= suspectAfter }

func (h *health) failed(now time.Time, crashed, dead bool) {
	h.failures++
	h.dead = dead || crashed
	if crashed {
		h.failures = max(h.failures, suspectAfter)
	}
	if !h.failing() {
		return
	}
	h.pause = min(max(h.pause*2, probeFirst), probeLongest)
	h.retryAt = now.Add(h.pause)
}

func (h *health) succeeded() { *h = health{tolerated: h.tolerated} }

// probed puts off the next probe, so that one which never ends does not stop them.
func (h *health) probed(now time.Time) { h.retryAt = now.Add(max(h.pause, probeFirst)) }

// slots is 1 when a probe is due, 0 otherwise.
func (h *health) slots(now time.Time) int {
	if now.Before(h.retryAt) {
		return 0
	}
	return 1
}

// tolerateFrom is the share of a pool's servers that must fail for its failing
// servers to be used nevertheless.
const tolerateFrom = 0.5

// Tolerate decides whether the pool's failing servers stay in use because most
// of the pool fails.
func (p *Pool) Tolerate() {
	failing, usable := 0, 0
	for _, c := range p.Candidates {
		if !c.Usable() {
			continue
		}
		usable++
		if c.Live.health.failing() && !c.Live.health.dead {
			failing++
		}
	}
	tolerated := usable > 1 && float64(failing) > tolerateFrom*float64(usable)
	for _, c := range p.Candidates {
		c.Live.health.tolerated = tolerated
	}
}
