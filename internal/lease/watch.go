package lease

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// watch is the observed state of a duty that this instance does not hold. Times are on
// this instance's monotonic clock.
type watch struct {
	seen             bool // whether the duty's row was read
	version          uint64
	row              dutyRow
	heartbeatVersion uint64        // version of the holder's heartbeat row; 0 if absent
	heartbeatSince   time.Duration // when that version was first seen
	heartbeatKnown   bool          // whether the holder's heartbeat row was read
	freeSince        time.Duration // when the duty was first seen free
	free             bool
	lastRead         time.Duration
}

// observeDuty applies a read of the duty's row.
func (w *watch) observeDuty(now time.Duration, row platform.Row) error {
	value, err := decode[dutyRow](row)
	if err != nil {
		return err
	}
	if w.seen && w.version == row.Version {
		return nil
	}
	*w = watch{seen: true, version: row.Version, row: value, lastRead: now}
	if value.Holder == (Holder{}) {
		w.setFree(now)
	}
	return nil
}

// observeHeartbeat applies a read of the version of the holder's heartbeat row. After a
// gap between reads the wait restarts, so that holders can renew first when the table
// service recovers.
func (w *watch) observeHeartbeat(now time.Duration, version uint64, maxGap time.Duration) {
	gap := now - w.lastRead
	w.lastRead = now
	if !w.heartbeatKnown || version != w.heartbeatVersion || gap > maxGap {
		w.heartbeatKnown = true
		w.heartbeatVersion = version
		w.heartbeatSince = now
	}
	if version == 0 {
		w.setFree(now)
	}
}

func (w *watch) setFree(now time.Duration) {
	if !w.free {
		w.free = true
		w.freeSince = now
	}
}

// claimableAt returns the earliest time at which the duty may be claimed; false while it
// is unknown. wait is the longest time for which a holder whose heartbeat row does not
// change may consider itself the holder. delay is the claimant's delay by rank.
func (w *watch) claimableAt(wait, delay time.Duration) (time.Duration, bool) {
	switch {
	case !w.seen:
		return 0, false
	case w.free:
		return w.freeSince + delay, true
	case w.heartbeatKnown:
		return w.heartbeatSince + wait + delay, true
	default:
		return 0, false
	}
}
