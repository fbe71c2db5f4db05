package storeepoch

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// reportInterval is the minimum interval between two reports of discarded answers.
const reportInterval = 10 * time.Second

// Discards tells of discarded answers.
type Discards struct {
	// Count is the number of answers discarded since the last report, or since the start.
	Count uint64
	// Last is the last one of them.
	Last *StaleError
}

// report is what is known of the reports of discarded answers.
type report struct {
	pending uint64           // answers since the last report
	at      boottime.Instant // the last report; zero means none
}

// OnDiscard sets a function that is told of discarded answers, at once of the first one and then
// at most once in reportInterval. Calls may overlap. It must be called before the first answer.
func (t *Tracker) OnDiscard(f func(Discards)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onDiscard = f
}

// discard counts a discarded answer. The result reports it if that is due; it must be called
// without t.mu, which the caller must hold now.
func (t *Tracker) discard(e *StaleError, at boottime.Instant) (tell func()) {
	if t.stale == nil {
		t.stale = map[Reason]uint64{}
	}
	t.stale[e.Reason]++
	f, d := t.onDiscard, Discards{Count: t.report.due(at), Last: e}
	if f == nil || d.Count == 0 {
		return func() {}
	}
	return func() { f(d) }
}

// due counts a discarded answer. It returns the number to report now, or zero.
func (r *report) due(at boottime.Instant) uint64 {
	r.pending++
	if !r.at.IsZero() && at.Sub(r.at) < reportInterval {
		return 0
	}
	n := r.pending
	r.at, r.pending = at, 0
	return n
}
