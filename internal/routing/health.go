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
	pause    time.Duration
	retryAt  time.Time
}

func (h *health) suspect() bool { return h.failures >= suspectAfter }

func (h *health) failed(now time.Time, crashed bool) {
	h.failures++
	if crashed {
		h.failures = max(h.failures, suspectAfter)
	}
	if !h.suspect() {
		return
	}
	h.pause = min(max(h.pause*2, probeFirst), probeLongest)
	h.retryAt = now.Add(h.pause)
}

func (h *health) succeeded() { *h = health{} }

// probed puts off the next probe, so that one which never ends does not stop them.
func (h *health) probed(now time.Time) { h.retryAt = now.Add(max(h.pause, probeFirst)) }

// slots is 1 when a probe is due, 0 otherwise.
func (h *health) slots(now time.Time) int {
	if now.Before(h.retryAt) {
		return 0
	}
	return 1
}
