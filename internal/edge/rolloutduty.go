package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/rollout"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// rolloutPrefix is the prefix of the keys under which the states of rollouts are kept in
	// the duties table.
	rolloutPrefix = "rollout/"
	// rolloutWorkInterval is the interval between two decisions of the holder of the duty.
	rolloutWorkInterval = 200 * time.Millisecond
	// rolloutCallTimeout bounds a call of the store about a rollout.
	rolloutCallTimeout = 700 * time.Millisecond
	// idleSettling is the time after all traffic has shifted from which reports that no
	// request runs on old servers count.
	idleSettling = time.Second
)

// rolloutRow is the row with the state of a rollout.
type rolloutRow struct {
	version uint64 // of the row; zero means absent
	state   rollout.State
}

func (r *rollouts) readRow(ctx context.Context, service string) (rolloutRow, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	rows, err := r.duties.Get(ctx, rolloutPrefix+service)
	if err != nil {
		return rolloutRow{}, err
	}
	row := rolloutRow{version: rows[0].Version}
	if row.version == 0 {
		return row, nil
	}
	if err := json.Unmarshal(rows[0].Value, &row.state); err != nil {
		return row, fmt.Errorf("decode row %q: %w", rows[0].Key, err)
	}
	return row, nil
}

// heldRollout is what the holder of the duty knows of its own writes for a service.
type heldRollout struct {
	loaded   bool // row is as the store has it
	row      rolloutRow
	reported rollout.State // whose phase the status row has
}

// work decides and writes the states of all orders while this instance holds the duty,
// until ctx ends.
func (r *rollouts) work(ctx context.Context, g lease.Guard) error {
	held := map[string]*heldRollout{}
	for {
		for _, service := range r.inForce() {
			if held[service] == nil {
				held[service] = &heldRollout{}
			}
			if err := r.advance(ctx, g, service, held[service]); err != nil {
				held[service].loaded = false // the outcome of a write may be unknown
				r.logger.Debug("writing the state of a rollout failed; retrying", "service", service, "error", err)
			}
		}
		if err := wait.For(ctx, rolloutWorkInterval); err != nil {
			return err
		}
	}
}

// inForce returns the services with orders whose time of arrival is known.
func (r *rollouts) inForce() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var services []string
	for service, a := range r.active {
		if a.seen == 0 {
			a.seen = r.storeNow()
		}
		if !a.withdrawn && a.seen > 0 {
			services = append(services, service)
		}
	}
	return services
}

// advance writes the next state of an order to the duties table, and then its phase to
// the status table. Each write is conditional on the row's version, and after a failure
// the rows are read again.
func (r *rollouts) advance(ctx context.Context, g lease.Guard, service string, h *heldRollout) error {
	if err := g.Check(); err != nil {
		return err
	}
	if !h.loaded {
		row, err := r.readRow(ctx, service)
		if err != nil {
			return err
		}
		h.row, h.loaded = row, true
	}
	next, inputs, ok := r.next(service, h.row.state)
	if !ok {
		return nil
	}
	if next != h.row.state {
		if err := r.writeState(ctx, g, service, h, next); err != nil {
			return err
		}
		r.written(service, next, uint64(g.Token), inputs)
	}
	r.learn(service, h.row.state)
	if h.reported.Revision == next.Revision && h.reported.Phase == next.Phase {
		return nil
	}
	if err := r.writeStatus(ctx, g, service, next); err != nil {
		return err
	}
	h.reported = next
	return nil
}

// next returns the state that follows the written one, with the inputs of the decision.
// The result is false if the order has changed meanwhile.
func (r *rollouts) next(service string, written rollout.State) (rollout.State, string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[service]
	if a == nil || a.withdrawn || written.Revision > a.order.Revision {
		return rollout.State{}, "", false
	}
	state := written
	if written.Revision < a.order.Revision {
		var ok bool
		if state, ok = a.carriedOver(written); !ok {
			state = a.initial()
		}
	}
	if a.known && a.state.Supersedes(state) {
		state = a.state // which a restored store has lost
	}
	in := r.inputs(a)
	next := rollout.Next(a.order, state, in)
	if next.Phase == rollout.Reverted && a.bad == "" {
		r.setBad(a, next.Reason, "own", "")
	}
	sum := a.ledger.Total().Sum()
	return next, fmt.Sprintf("reason=%q elapsed=%v tail=%v new_servers=%d old_idle=%t new=%+v old=%+v", next.Reason,
		in.Now-sinceMillis(next.StartedMillis), in.Tail, in.NewServers, in.OldIdle, sum.New, sum.Old), true
}

func (r *rollouts) inputs(a *activeRollout) rollout.Inputs {
	a.ledger.Merge(ownOrigin, a.own)
	counts := r.balancer.RolloutCounts(a.order.Service)
	in := rollout.Inputs{
		Now: r.storeNow(), Tail: r.tail(a.order.Service), Bad: a.bad, Doubt: a.judge.Doubt(), NewServers: counts.NewServers,
		Responses: a.ledger.Total().Sum().New.Responses,
	}
	for _, p := range a.peers {
		in.Tail = max(in.Tail, p.tail)
	}
	in.OldIdle = counts.OldFlight == 0 && r.othersIdle(a, in.Now)
	return in
}

// othersIdle reports whether all other instances have lately reported that they send to
// the new version only and have no request on an old server.
func (r *rollouts) othersIdle(a *activeRollout, now time.Duration) bool {
	if a.state.Step != rollout.All || now-sinceMillis(a.state.StepMillis) < idleSettling {
		return false
	}
	idle := 0
	for _, p := range a.peers {
		if now-p.at >= r.newsAge() {
			continue
		}
		if p.step != rollout.All || p.oldFlight > 0 {
			return false
		}
		idle++
	}
	return idle >= r.balancer.Instances()-1
}

func (r *rollouts) writeState(ctx context.Context, g lease.Guard, service string, h *heldRollout, next rollout.State) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	key := rolloutPrefix + service
	versions, err := r.duties.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: h.row.version}, g.Fence()},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	h.row = rolloutRow{version: versions[0], state: next}
	return nil
}

// written records a state that the store has now.
func (r *rollouts) written(service string, s rollout.State, token uint64, inputs string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[service]
	if a == nil || a.order.Revision != s.Revision {
		return
	}
	before := a.state
	a.setState(s)
	r.urgent = true
	r.recordStep(a, before, token, inputs)
}

// learn applies the state that the store has.
func (r *rollouts) learn(service string, s rollout.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.active[service]; a != nil {
		a.setState(s)
		r.apply(a)
	}
}

// writeStatus writes the phase to the status row, unless that has it already.
func (r *rollouts) writeStatus(ctx context.Context, g lease.Guard, service string, s rollout.State) error {
	ctx, cancel := context.WithTimeout(g.Context(ctx), rolloutCallTimeout)
	defer cancel()
	key := r.status.Key(service)
	rows, err := r.status.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	value, err := r.status.Encode(s.Phase, s.To)
	if err != nil {
		return err
	}
	if rows[0].Version > 0 && bytes.Equal(rows[0].Value, value) {
		return nil
	}
	_, err = r.status.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: rows[0].Version}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
	return err
}
