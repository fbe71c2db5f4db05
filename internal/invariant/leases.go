package invariant

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// leasePeriod is the time during which an instance considers itself the holder of
// a duty's lease.
type leasePeriod struct {
	instance   string
	token      uint64
	start, end time.Time
	closed     bool // lost or released
}

// addLease reads lease.acquired, lease.renewed, lease.lost and lease.released.
func (h *history) addLease(e *timeline.Event) {
	switch e.Kind {
	case timeline.LeaseAcquired:
		b := &leasePeriod{instance: e.Instance, token: e.Token, start: e.Time, end: e.Until}
		h.leases[e.Duty] = append(h.leases[e.Duty], b)
	case timeline.LeaseRenewed:
		if b := h.openLeasePeriod(e); b != nil {
			b.end = e.Until
		}
	case timeline.LeaseLost, timeline.LeaseReleased:
		if b := h.openLeasePeriod(e); b != nil {
			b.closed = true
			b.end = earlier(b.end, e.Time)
		}
	}
}

// openLeasePeriod returns the open period with the event's instance and token, or nil.
func (h *history) openLeasePeriod(e *timeline.Event) *leasePeriod {
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

// checkLeaseHolder reports an action by an instance that did not hold the lease,
// or while another instance considered itself the holder.
func checkLeaseHolder(h *history, e timeline.Event, report reportFunc) {
	held := false
	for _, b := range h.leases[e.Duty] {
		if b.instance == e.Instance && b.token == e.Token {
			held = held || (!e.Time.Before(b.start) && !e.Time.After(b.end))
			continue
		}
		if b.token == e.Token {
			report(e, "fencing token %d of duty %q is also held by %s", e.Token, e.Duty, b.instance)
			continue
		}
		if h.definitelyAfter(e.Time, b.start) && h.definitelyAfter(b.end, e.Time) {
			report(e, "%s acts for duty %q while %s holds it in its own view", e.Instance, e.Duty, b.instance)
		}
	}
	if !held && (h.Complete || len(h.leases[e.Duty]) > 0) {
		report(e, "%s acts for duty %q with fencing token %d outside its lease", e.Instance, e.Duty, e.Token)
	}
}

// receiver is a process that executes actions of one duty.
type receiver struct{ instance, duty string }

// tokenOrder holds the highest fencing token that each receiver has accepted.
type tokenOrder map[receiver]uint64

// check reports an action that took effect after one with a higher fencing token.
func (t tokenOrder) check(e timeline.Event, report reportFunc) {
	at := receiver{e.Instance, e.Duty}
	if e.Token < t[at] {
		report(e, "fencing token %d of duty %q took effect after %d", e.Token, e.Duty, t[at])
	}
	t[at] = max(t[at], e.Token)
}
