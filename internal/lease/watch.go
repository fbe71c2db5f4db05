package lease

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// watch is what an instance knows of a duty that it does not hold. Times are
// on the monotonic clock of the watching instance.
type watch struct {
	seen        bool // the duty's row was read
	version     uint64
	row         dutyRow
	aliveAt     uint64        // version of the holder's heartbeat row; 0: absent
	aliveSince  time.Duration // when that version was first seen
	aliveKnown  bool          // the heartbeat row of this holder was read
	freeSince   time.Duration // when the duty was first seen free
	free        bool
	lastReading time.Duration
}

// observeDuty takes the duty's row.
func (w *watch) observeDuty(now time.Duration, row platform.Row) error {
	value, err := decode[dutyRow](row)
	if err != nil {
		return err
	}
	if w.seen && w.version == row.Version {
		return nil
	}
	*w = watch{seen: true, version: row.Version, row: value, lastReading: now}
	if value.Holder == (Holder{}) {
		w.setFree(now)
	}
	return nil
}

// observeAlive takes the version of the holder's heartbeat row. After a gap in
// the readings the wait starts anew, so that holders can renew first when the
// table service comes back.
func (w *watch) observeAlive(now time.Duration, version uint64, maxGap time.Duration) {
	gap := now - w.lastReading
	w.lastReading = now
	if !w.aliveKnown || version != w.aliveAt || gap > maxGap {
		w.aliveKnown = true
		w.aliveAt = version
		w.aliveSince = now
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

// claimableAt is the earliest time at which the duty may be claimed; false
// when nothing is known yet. wait is the longest time that a holder whose
// heartbeat row stays unchanged may still believe, and delay the claimant's turn.
func (w *watch) claimableAt(wait, delay time.Duration) (time.Duration, bool) {
	switch {
	case !w.seen:
		return 0, false
	case w.free:
		return w.freeSince + delay, true
	case w.aliveKnown:
		return w.aliveSince + wait + delay, true
	default:
		return 0, false
	}
}
