package invariant

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// belief is the time during which one instance takes itself for the holder of a
// duty's lease.
type belief struct {
	instance   string
	token      uint64
	start, end time.Time
	closed     bool // lost or released
}

// addLease reads lease.acquired, lease.renewed, lease.lost and lease.released.
func (h *history) addLease(e *timeline.Event) {
	switch e.Kind {
	case timeline.LeaseAcquired:
		b := &belief{instance: e.Instance, token: e.Token, start: e.Time, end: e.Until}
		h.leases[e.Duty] = append(h.leases[e.Duty], b)
	case timeline.LeaseRenewed:
		if b := h.openBelief(e); b != nil {
			b.end = e.Until
		}
	case timeline.LeaseLost, timeline.LeaseReleased:
		if b := h.openBelief(e); b != nil {
			b.closed = true
			b.end = earlier(b.end, e.Time)
		}
	}
}

// openBelief returns the belief that a lease event of the same holder continues.
func (h *history) openBelief(e *timeline.Event) *belief {
	for _, b := range h.leases[e.Duty] {
		if b.instance == e.Instance && b.token == e.Token && !b.closed {
			return b
		}
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// checkHolder reports an act under a lease that its sender did not hold, and one
// while another instance took itself for the holder.
func checkHolder(h *history, e timeline.Event, report reportFunc) {
	held := false
	for _, b := range h.leases[e.Duty] {
		if b.instance == e.Instance && b.token == e.Token {
			held = held || (!e.Time.Before(b.start) && !e.Time.After(b.end))
			continue
		}
		if b.token == e.Token {
			report(e, "fencing number %d of duty %q is also held by %s", e.Token, e.Duty, b.instance)
			continue
		}
		if h.surelyAfter(e.Time, b.start) && h.surelyAfter(b.end, e.Time) {
			report(e, "%s acts for duty %q while %s holds it in its own view", e.Instance, e.Duty, b.instance)
		}
	}
	if !held && (h.Complete || len(h.leases[e.Duty]) > 0) {
		report(e, "%s acts for duty %q with fencing number %d outside its lease", e.Instance, e.Duty, e.Token)
	}
}

// receiver is one process that takes acts of one duty.
type receiver struct{ instance, duty string }

// tokenOrder follows the fencing numbers that receivers acted upon.
type tokenOrder map[receiver]uint64

// check reports an act that took effect after one with a higher fencing number.
func (t tokenOrder) check(e timeline.Event, report reportFunc) {
	at := receiver{e.Instance, e.Duty}
	if e.Token < t[at] {
		report(e, "fencing number %d of duty %q took effect after %d", e.Token, e.Duty, t[at])
	}
	t[at] = max(t[at], e.Token)
}
