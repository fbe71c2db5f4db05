package dispatch

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

// NewTrackerSuspects returns a Suspects that is backed by the tracker.
func NewTrackerSuspects(t *quarantine.Tracker) Suspects { return trackerSuspects{t} }

type trackerSuspects struct{ tracker *quarantine.Tracker }

// Refused implements Suspects.
func (q trackerSuspects) Refused(r quarantine.Request, now time.Time) bool {
	return q.tracker.Refused(r, now)
}

// Waits implements Suspects.
func (q trackerSuspects) Waits(r quarantine.Request, now time.Time) bool {
	return q.tracker.Waits(r, now)
}

// Start implements Suspects.
func (q trackerSuspects) Start(r quarantine.Request, server string, epoch uint64, now time.Time) (Run, bool) {
	run, ok := q.tracker.Start(r, server, epoch, now)
	if !ok {
		return nil, false
	}
	return run, true
}
