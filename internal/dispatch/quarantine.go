package dispatch

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

// Quarantine makes a tracker the Suspects of a dispatcher.
func Quarantine(t *quarantine.Tracker) Suspects { return tracked{t} }

type tracked struct{ tracker *quarantine.Tracker }

// Refused implements Suspects.
func (q tracked) Refused(fingerprint uint64, now time.Time) bool {
	return q.tracker.Refused(fingerprint, now)
}

// Start implements Suspects.
func (q tracked) Start(fingerprint uint64, server string, epoch uint64, now time.Time) (Run, bool) {
	run, ok := q.tracker.Start(fingerprint, server, epoch, now)
	if !ok {
		return nil, false
	}
	return run, true
}
