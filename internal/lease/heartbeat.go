package lease

import (
	"errors"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// renewal is one write of this instance's heartbeat row.
type renewal struct {
	Holder   Holder // incarnation that is renewed
	Sequence uint64
	Txn      platform.Txn
}

// heartbeat is the state of this instance's heartbeat row. It does no I/O: the Manager
// makes the calls and reports their outcomes.
type heartbeat struct {
	timing    Timing
	holder    Holder
	version   uint64             // last known version of the row; 0 until it is created
	sequence  uint64             // sequence number of the last renewal sent
	inFlight  map[uint64]Reading // send times of renewals of unknown outcome
	valid     bool               // whether any renewal is known to have taken effect
	validFrom Reading            // send time of the last renewal known to have taken effect
}

func newHeartbeat(timing Timing, holder Holder) heartbeat {
	return heartbeat{timing: timing, holder: holder, inFlight: make(map[uint64]Reading)}
}

// alive reports whether the lease is valid for longer than margin from now.
func (h *heartbeat) alive(now Reading, margin time.Duration) bool {
	return h.valid && h.remaining(now) > margin
}

// remaining returns the time until the holder must stop. It may be negative.
func (h *heartbeat) remaining(now Reading) time.Duration {
	return h.timing.Lease - h.timing.Drift - now.elapsed(h.validFrom)
}

// renew returns the next write. If it takes effect, the lease lasts from now, the time
// before the write is sent, however late the reply arrives.
func (h *heartbeat) renew(now Reading) renewal {
	h.sequence++
	h.inFlight[h.sequence] = now
	key := h.holder.heartbeatKey()
	return renewal{
		Holder:   h.holder,
		Sequence: h.sequence,
		Txn: platform.Txn{
			Checks: []platform.Check{{Key: key, Version: h.version}},
			Writes: []platform.Write{{Key: key, Value: encode(heartbeatRow{Sequence: h.sequence})}},
		},
	}
}

// nextStep is the step that follows the outcome of a call.
type nextStep int

const (
	nextWait           nextStep = iota // wait until the next renewal is due
	nextReadBack                       // read the row to find which renewal took effect
	nextNewIncarnation                 // declared dead: continue under a new incarnation
)

// renewed applies the outcome of a renewal.
func (h *heartbeat) renewed(r renewal, versions []uint64, err error) nextStep {
	if err == nil {
		h.confirm(r.Sequence, versions[0])
		return nextWait
	}
	if h.version == 0 {
		// The row must be created at most once per incarnation, so an unknown outcome
		// ends the incarnation.
		return nextNewIncarnation
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Current == 0 {
		return nextNewIncarnation
	}
	return nextReadBack
}

// readBack applies the row as read after a renewal of unknown outcome.
func (h *heartbeat) readBack(row platform.Row) nextStep {
	if row.Version == 0 {
		return nextNewIncarnation
	}
	if row.Version == h.version {
		return nextWait
	}
	value, err := decode[heartbeatRow](row)
	if err != nil {
		return nextNewIncarnation
	}
	h.confirm(value.Sequence, row.Version)
	return nextWait
}

// confirm extends the lease by a renewal that is known to have taken effect.
func (h *heartbeat) confirm(sequence, version uint64) {
	h.version = version
	if at, ok := h.inFlight[sequence]; ok {
		h.validFrom = at
		h.valid = true
	}
	for s := range h.inFlight {
		if s <= sequence {
			delete(h.inFlight, s)
		}
	}
}
