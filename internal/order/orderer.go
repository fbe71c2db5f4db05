package order

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	decideInterval  = 5 * time.Second // between two decisions
	loadReadsAtOnce = 16              // engines asked for their load at a time
)

// Observer gives what the scaler looks at. Draining and Open are filled in by
// the Orderer.
type Observer interface {
	Observe(ctx context.Context) (Observation, error)
}

// Orderer runs the scaler and places its orders. Only the holder of Duty runs it.
type Orderer struct {
	options  Options
	policy   Policy
	observer Observer
	executor *Executor // of the last tenure; its order ids must not start anew
}

// NewOrderer returns an orderer.
func NewOrderer(o Options, p Policy, observer Observer) *Orderer {
	return &Orderer{options: o.withDefaults(), policy: p, observer: observer}
}

// Work runs under the duty's lease until ctx ends; see lease.Manager.Do. It
// first carries on what an earlier holder left open.
func (o *Orderer) Work(ctx context.Context, g lease.Guard) error {
	if token := uint64(g.Token); o.executor == nil || o.executor.token != token {
		o.executor = NewExecutor(o.options, g, Duty, token)
	}
	return o.run(ctx, o.executor)
}

func (o *Orderer) run(ctx context.Context, e *Executor) error {
	scaler := NewScaler(o.policy)
	for {
		err := o.step(ctx, e, scaler)
		var stale *platform.StaleTokenError
		if errors.As(err, &stale) {
			return err
		}
		if err != nil {
			o.options.Logger.Debug("orders are behind", "error", err)
		}
		if wait.For(ctx, decideInterval) != nil {
			return ctx.Err()
		}
	}
}

// step resolves what is open, and then decides anew.
func (o *Orderer) step(ctx context.Context, e *Executor, s *Scaler) error {
	if err := e.Resume(ctx); err != nil {
		return err
	}
	seen, err := o.observer.Observe(ctx)
	if err != nil {
		return err
	}
	seen.Draining, err = Draining(ctx, o.options.Table)
	if err != nil {
		return err
	}
	o.readBusy(ctx, &seen)
	for _, a := range s.Decide(o.options.Now(), seen) {
		if err := o.act(ctx, e, s, a); err != nil {
			return err
		}
	}
	return o.forgetGone(ctx, e, seen)
}

// readBusy asks the draining servers for their load; one that gives no answer
// is of unknown load.
func (o *Orderer) readBusy(ctx context.Context, seen *Observation) {
	if o.options.Engines == nil {
		return
	}
	busy := maps.Clone(seen.Busy)
	if busy == nil {
		busy = make(map[string]int)
	}
	var mu sync.Mutex
	var reads errgroup.Group
	reads.SetLimit(loadReadsAtOnce)
	for _, server := range seen.Servers {
		if _, draining := seen.Draining[server.Name]; !draining {
			continue
		}
		mu.Lock()
		delete(busy, server.Name)
		mu.Unlock()
		reads.Go(func() error {
			load, err := o.options.Engines.Load(ctx, server.Address)
			if err == nil {
				mu.Lock()
				busy[server.Name] = load.Running + load.Waiting
				mu.Unlock()
			}
			return nil
		})
	}
	_ = reads.Wait()
	seen.Busy = busy
}

// forgetGone deletes the drain rows of servers that no longer exist.
func (o *Orderer) forgetGone(ctx context.Context, e *Executor, seen Observation) error {
	listed := make(map[string]bool, len(seen.Servers))
	for _, server := range seen.Servers {
		listed[server.Name] = true
	}
	for name := range seen.Draining {
		if listed[name] {
			continue
		}
		if err := e.commit(ctx, platform.Write{Key: drainKey(name), Delete: true}); err != nil {
			return err
		}
	}
	return nil
}

// act carries one action out.
func (o *Orderer) act(ctx context.Context, e *Executor, s *Scaler, a Action) error {
	switch a.Kind {
	case Start:
		out, err := e.Place(ctx, platform.Order{Kind: platform.OrderStart, Model: a.Model, Zone: a.Zone, Cheap: a.Cheap})
		if err == nil && !out.Accepted {
			o.options.Logger.Warn("start was not accepted", "order", out.ID, "zone", a.Zone, "reason", out.Reason)
			s.Refused(o.options.Now(), a.Zone)
		}
		return err
	case Drain:
		write, err := writeOf(drainKey(a.Server), drainRow{Since: o.options.Now()})
		if err != nil {
			return err
		}
		return e.commit(ctx, write)
	case Undrain:
		return e.commit(ctx, platform.Write{Key: drainKey(a.Server), Delete: true})
	case Return:
		_, err := e.Place(ctx, platform.Order{Kind: platform.OrderReturn, Model: a.Model, Server: a.Server})
		return err
	}
	return nil
}

// Draining returns the servers that take no new work, and since when.
func Draining(ctx context.Context, table platform.Table) (map[string]time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	draining := make(map[string]time.Time)
	for after := ""; ; {
		rows, err := table.List(ctx, drainPrefix, after, rowsPerPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			value, err := decodeRow[drainRow](row)
			if err != nil {
				return nil, err
			}
			draining[row.Key[len(drainPrefix):]] = value.Since
			after = row.Key
		}
		if len(rows) < rowsPerPage {
			return draining, nil
		}
	}
}
