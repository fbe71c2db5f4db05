package lease

import (
	"errors"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// renewal is one write of the own heartbeat row.
type renewal struct {
	Sequence uint64
	Txn      platform.Txn
}

// heartbeat is the state of the own heartbeat row. It is pure: calls are made
// by the Manager, which reports their outcome.
type heartbeat struct {
	timing   Timing
	holder   Holder
	version  uint64             // known version of the row; 0 until it was created
	sequence uint64             // of the last renewal sent
	sent     map[uint64]Reading // when renewals of unknown outcome were sent
	valid    bool               // a renewal is known to have taken effect
	from     Reading            // when that renewal was sent
}

func newHeartbeat(timing Timing, holder Holder) heartbeat {
	return heartbeat{timing: timing, holder: holder, sent: make(map[uint64]Reading)}
}

// alive reports whether the lease lasts for another margin.
func (h *heartbeat) alive(now Reading, margin time.Duration) bool {
	return h.valid && h.remaining(now) > margin
}

// remaining is the time until the holder must stop; it may be negative.
func (h *heartbeat) remaining(now Reading) time.Duration {
	return h.timing.Lease - h.timing.Drift - now.elapsed(h.from)
}

// renew returns the next write. The lease will last from now, before the
// sending, however late the reply is.
func (h *heartbeat) renew(now Reading) renewal {
	h.sequence++
	h.sent[h.sequence] = now
	key := h.holder.aliveKey()
	return renewal{
		Sequence: h.sequence,
		Txn: platform.Txn{
			Checks: []platform.Check{{Key: key, Version: h.version}},
			Writes: []platform.Write{{Key: key, Value: encode(aliveRow{Sequence: h.sequence})}},
		},
	}
}

// next tells what must follow the outcome of a call.
type next int

const (
	nextWait     next = iota // until the next renewal is due
	nextReadBack             // the row tells which renewal took effect
	nextReborn               // declared dead: continue under a new incarnation
)

// renewed takes the outcome of a renewal.
func (h *heartbeat) renewed(r renewal, versions []uint64, err error) next {
	if err == nil {
		h.confirm(r.Sequence, versions[0])
		return nextWait
	}
	if h.version == 0 {
		// The row must be created at most once per incarnation, so an unknown
		// outcome ends the incarnation.
		return nextReborn
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Current == 0 {
		return nextReborn
	}
	return nextReadBack
}

// readBack takes the own row as read after a renewal of unknown outcome.
func (h *heartbeat) readBack(row platform.Row) next {
	if row.Version == 0 {
		return nextReborn
	}
	if row.Version == h.version {
		return nextWait
	}
	value, err := decode[aliveRow](row)
	if err != nil {
		return nextReborn
	}
	h.confirm(value.Sequence, row.Version)
	return nextWait
}

// confirm extends the lease by a renewal known to have taken effect.
func (h *heartbeat) confirm(sequence, version uint64) {
	h.version = version
	if at, ok := h.sent[sequence]; ok {
		h.from = at
		h.valid = true
	}
	for s := range h.sent {
		if s <= sequence {
			delete(h.sent, s)
		}
	}
}
