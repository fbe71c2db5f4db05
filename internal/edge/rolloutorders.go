package edge

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/reports"
	"github.com/hawthornwick/hawthornwick/internal/rollout"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// orderRow is a row of the operators' table about an order for a rollout.
type orderRow struct {
	service string
	version uint64
	order   *rollout.Order // without its revision; nil if the row was removed
	// unreadable is true if the row could not be decoded. An earlier order stays in force.
	unreadable bool
}

// applyRows applies rows that have changed or, if full is true, all rows. While restored is true
// the store was restored from an older copy a short time ago. An order that is missing then, or
// differs from the one in force, changes nothing until it is written again or settle is called.
func (r *rollouts) applyRows(rows []orderRow, full, restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if full {
		r.applyMissing(rows, restored)
	}
	for _, row := range rows {
		if row.unreadable {
			continue
		}
		switch a := r.active[row.service]; {
		case a != nil && a.continues(row, restored):
			r.renumber(a, row.version)
		case a != nil && full && restored && row.version > a.order.Revision:
			r.deferred[row.service] = row
			continue
		default:
			r.applyOrder(row)
		}
		delete(r.deferred, row.service)
	}
}

// applyMissing withdraws the orders that a full read does not list, or defers that. The caller
// must hold r.mu.
func (r *rollouts) applyMissing(rows []orderRow, restored bool) {
	clear(r.deferred)
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.service] = true
	}
	for service, a := range r.active {
		if listed[service] {
			continue
		}
		missing := orderRow{service: service, version: a.order.Revision}
		if restored {
			r.deferred[service] = missing
			continue
		}
		r.applyOrder(missing)
	}
}

// settle applies what was deferred after a restore of the store.
func (r *rollouts) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.deferred {
		r.applyOrder(row)
	}
	clear(r.deferred)
}

// applyOrder applies a row that was written or removed. The caller must hold r.mu.
func (r *rollouts) applyOrder(row orderRow) {
	if row.order == nil {
		r.withdraw(row.service, row.version)
		return
	}
	o := *row.order
	o.Revision = row.version
	r.setOrder(o)
}

// continues reports whether a row that was read after a restore of the store is that of the order
// in force. Without a restore, a row that was written again is another order.
func (a *activeRollout) continues(row orderRow, restored bool) bool {
	return restored && row.order != nil && !a.withdrawn && row.version > a.order.Revision &&
		row.order.To == a.order.To && row.order.Duration == a.order.Duration
}

// renumber gives an order the revision that its row has in a restored store. The caller must hold
// r.mu.
func (r *rollouts) renumber(a *activeRollout, revision uint64) {
	a.order.Revision, a.state.Revision = revision, revision
	r.urgent = true
	r.recorder.Record(timeline.Event{Kind: timeline.RolloutOrdered, Service: a.order.Service, Version: revision, State: "restored"})
	r.apply(a)
}

// carriedOver returns the state of an order whose row has got another revision by a restore of the
// store. The result is false for the state of another order.
func (a *activeRollout) carriedOver(s rollout.State) (rollout.State, bool) {
	if platform.EpochOf(s.Revision) >= platform.EpochOf(a.order.Revision) || s.To != a.order.To {
		return rollout.State{}, false
	}
	s.Revision = a.order.Revision
	return s, true
}

// setOrder starts an order. The caller must hold r.mu.
func (r *rollouts) setOrder(o rollout.Order) {
	if a := r.active[o.Service]; a != nil && o.Revision <= a.order.Revision {
		return
	}
	e := timeline.Event{Kind: timeline.RolloutOrdered, Service: o.Service, Version: o.Revision, Detail: fmt.Sprintf("to=%q duration=%v", o.To, o.Duration)}
	if !r.enabled() {
		e.State = "ignored"
		r.recorder.Record(e)
		r.logger.Warn("the settings have no bounds for rollouts; ignoring the order", "service", o.Service, "to", o.To)
		return
	}
	r.firstOrder.Do(func() { close(r.ordered) })
	a := &activeRollout{
		order: o, seen: r.storeNow(), own: rollout.Evidence{}, ledger: rollout.NewLedger[reports.Origin](),
		peers: map[reports.Origin]peerRollout{},
	}
	a.state = a.initial()
	r.active[o.Service] = a
	r.urgent = true
	r.recorder.Record(e)
	r.apply(a)
}

// initial returns the state of an order that nothing was decided about.
func (a *activeRollout) initial() rollout.State {
	started := a.seen.Milliseconds()
	return rollout.State{Revision: a.order.Revision, To: a.order.To, Phase: rollout.Progressing, StartedMillis: started, StepMillis: started}
}

// withdraw ends the order of a service because its row was removed. A version that was not
// found good gets no requests as long as other versions run. The caller must hold r.mu.
func (r *rollouts) withdraw(service string, revision uint64) {
	a := r.active[service]
	if a == nil || a.withdrawn {
		return
	}
	a.withdrawn = true
	r.recorder.Record(timeline.Event{Kind: timeline.RolloutOrdered, Service: service, Version: revision, State: "withdrawn"})
	r.apply(a)
}
