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
	decideInterval         = 5 * time.Second // between two decisions
	maxConcurrentLoadReads = 16              // concurrent reads of engines' loads
)

// Observer provides the input of the scaler. The Orderer fills in Draining and Open.
type Observer interface {
	Observe(ctx context.Context) (Observation, error)
}

// Orderer runs the scaler and places its orders. Only the holder of Duty runs it.
type Orderer struct {
	options  Options
	policy   Policy
	observer Observer
	executor *Executor // of the last tenure; kept so that the numbers of its order ids do not restart
}

// NewOrderer returns an Orderer.
func NewOrderer(o Options, p Policy, observer Observer) *Orderer {
	return &Orderer{options: o.withDefaults(), policy: p, observer: observer}
}

// Work runs under the duty's lease until ctx ends; see lease.Manager.Do. It first
// completes the open orders of earlier holders.
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
			o.options.Logger.Debug("scaling step failed; retrying", "error", err)
		}
		if wait.For(ctx, decideInterval) != nil {
			return ctx.Err()
		}
	}
}

// step completes open orders, and then makes and executes a new decision.
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
	o.readLoads(ctx, &seen)
	for _, a := range s.Decide(o.options.Now(), seen) {
		if err := o.execute(ctx, e, s, a); err != nil {
			return err
		}
	}
	return o.deleteStaleDrains(ctx, e, seen)
}

// readLoads reads the load of the draining servers from their engines. The load of a
// server that does not answer is unknown.
func (o *Orderer) readLoads(ctx context.Context, seen *Observation) {
	if o.options.Engines == nil {
		return
	}
	busy := maps.Clone(seen.Busy)
	if busy == nil {
		busy = make(map[string]int)
	}
	var mu sync.Mutex
	var reads errgroup.Group
	reads.SetLimit(maxConcurrentLoadReads)
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

// deleteStaleDrains deletes the drain rows of servers that no longer exist.
func (o *Orderer) deleteStaleDrains(ctx context.Context, e *Executor, seen Observation) error {
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

// execute carries out one action.
func (o *Orderer) execute(ctx context.Context, e *Executor, s *Scaler, a Action) error {
	switch a.Kind {
	case Start:
		out, err := e.Place(ctx, platform.Order{Kind: platform.OrderStart, Model: a.Model, Zone: a.Zone, Preemptible: a.Preemptible})
		if err == nil && !out.Accepted {
			o.options.Logger.Warn("platform rejected the start of a server", "order", out.ID, "zone", a.Zone, "reason", out.Reason)
			s.RecordRefusal(o.options.Now(), a.Zone)
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

// Draining returns the servers that accept no new work, with the time at which their
// drain started.
func Draining(ctx context.Context, table platform.Table) (map[string]time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	draining := make(map[string]time.Time)
	for after := ""; ; {
		rows, err := table.List(ctx, drainPrefix, after, listPageSize)
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
		if len(rows) < listPageSize {
			return draining, nil
		}
	}
}
