package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	callTimeout   = 2 * time.Second
	listPageSize  = 200
	engineTimeout = 30 * time.Second // for the response of an engine to an order
)

// Guard is the tenure of the duty under which orders are placed. lease.Guard implements
// it.
type Guard interface {
	// Remaining returns how long the tenure lasts without a renewal. It fails if the
	// tenure may end before a write that starts now has been sent.
	Remaining() (time.Duration, error)
	// Fence returns a check that fails once the duty has changed hands.
	Fence() platform.Check
}

// Engines sends orders to engines and reads their load.
type Engines interface {
	Order(ctx context.Context, address string, o engineapi.Order) (engineapi.OrderResult, error)
	// Load returns the number of running and waiting requests.
	Load(ctx context.Context, address string) (engineapi.LoadReport, error)
}

// Options configure an Executor and an Orderer.
type Options struct {
	// Table is the table service. Required.
	Table platform.Table
	// Servers receives orders to the platform. Required.
	Servers platform.Servers
	// Engines receives orders to engines. If nil, orders to engines fail and no loads
	// are read.
	Engines Engines
	// Recorder receives the order events. If nil, timeline.Discard is used.
	Recorder timeline.Recorder
	// Logger receives log messages. If nil, nothing is logged.
	Logger hclog.Logger
	// Now returns the wall-clock time. If nil, time.Now is used.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Executor executes orders in one tenure of a duty:
//
//	write the intent row -> send the order under its id -> delete the intent row
//
// An order of unknown outcome is looked up under its id and never replaced by another,
// so that each order takes effect at most once. It is not safe for concurrent use.
type Executor struct {
	options Options
	guard   Guard
	duty    string
	token   uint64
	next    uint64
}

// NewExecutor returns an Executor for the tenure of a duty under a fencing token.
func NewExecutor(o Options, g Guard, duty string, token uint64) *Executor {
	return &Executor{options: o.withDefaults(), guard: g, duty: duty, token: token}
}

// newID returns an id that is unique over all orders and all tenures of the duty.
func (e *Executor) newID() string {
	e.next++
	return fmt.Sprintf("%s-%d-%d", e.duty, e.token, e.next)
}

// Place orders a start or a return from the platform. After an error the intent may
// remain open; Resume completes it.
func (e *Executor) Place(ctx context.Context, o platform.Order) (platform.OrderOutcome, error) {
	o.ID, o.Duty, o.Token = e.newID(), e.duty, e.token
	if err := e.writeIntent(ctx, intent{Platform: &o}); err != nil {
		return platform.OrderOutcome{}, err
	}
	return e.place(ctx, o, false)
}

// OrderEngine sends an order to an engine. Engine orders are idempotent: they state the
// desired model, so that a retry changes nothing.
func (e *Executor) OrderEngine(ctx context.Context, o EngineOrder) (engineapi.OrderResult, error) {
	o.Order.ID, o.Order.Token = e.newID(), e.token
	if err := e.writeIntent(ctx, intent{Engine: &o}); err != nil {
		return engineapi.OrderResult{}, err
	}
	return e.orderEngine(ctx, o)
}

// open returns the intents whose outcome is unknown, of all tenures.
func (e *Executor) open(ctx context.Context) ([]intent, error) {
	var list []intent
	for after := ""; ; {
		rows, err := e.page(ctx, intentPrefix+e.duty+"-", after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			i, err := decodeRow[intent](row)
			if err != nil {
				return nil, err
			}
			list = append(list, i)
			after = row.Key
		}
		if len(rows) < listPageSize {
			return list, nil
		}
	}
}

// Resume completes every open intent of the duty, including those of earlier tenures.
func (e *Executor) Resume(ctx context.Context) error {
	list, err := e.open(ctx)
	if err != nil {
		return err
	}
	for _, i := range list {
		if err := e.resume(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (e *Executor) resume(ctx context.Context, i intent) error {
	if i.Engine != nil {
		o := *i.Engine
		o.Order.Token = e.token
		_, err := e.orderEngine(ctx, o)
		return err
	}
	o := *i.Platform
	o.Token = e.token
	_, err := e.place(ctx, o, true)
	return err
}

// writeIntent writes the intent row, fenced by the duty's row.
func (e *Executor) writeIntent(ctx context.Context, i intent) error {
	write, err := writeOf(intentKey(i.id()), i)
	if err != nil {
		return err
	}
	e.record(timeline.OrderIntended, i, e.token)
	return e.commit(ctx, write)
}

// place sends an order. If it may have been sent before, it is looked up first.
func (e *Executor) place(ctx context.Context, o platform.Order, sent bool) (platform.OrderOutcome, error) {
	if sent {
		out, err := e.lookup(ctx, o.ID)
		if err == nil {
			return out, e.confirm(ctx, intent{Platform: &o})
		}
		if !errors.Is(err, platform.ErrNotFound) {
			return out, err
		}
	}
	out, err := e.send(ctx, o)
	if errors.Is(err, platform.ErrUnavailable) && !sent {
		return e.place(ctx, o, true)
	}
	if err != nil {
		return out, fmt.Errorf("order %q: %w", o.ID, err)
	}
	return out, e.confirm(ctx, intent{Platform: &o})
}

// send sends an order. The tenure is checked again right before it is written.
func (e *Executor) send(ctx context.Context, o platform.Order) (platform.OrderOutcome, error) {
	ctx, cancel := context.WithTimeout(platform.WithWriteCheck(ctx, e.finalCheck(intent{Platform: &o})), callTimeout)
	defer cancel()
	return e.options.Servers.Place(ctx, o)
}

// finalCheck returns the check of the tenure that runs right before an order is written.
// Only an order that passes it is recorded as sent.
func (e *Executor) finalCheck(i intent) platform.WriteCheck {
	return func() (time.Duration, error) {
		remaining, err := e.guard.Remaining()
		if err != nil {
			return 0, err
		}
		e.record(timeline.OrderSent, i, e.token)
		return remaining, nil
	}
}

func (e *Executor) lookup(ctx context.Context, id string) (platform.OrderOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.options.Servers.Lookup(ctx, id)
}

func (e *Executor) orderEngine(ctx context.Context, o EngineOrder) (engineapi.OrderResult, error) {
	if e.options.Engines == nil {
		return engineapi.OrderResult{}, fmt.Errorf("order %q: no client for engines is configured", o.Order.ID)
	}
	answer, cancel := context.WithTimeout(platform.WithWriteCheck(ctx, e.finalCheck(intent{Engine: &o})), engineTimeout)
	defer cancel()
	result, err := e.options.Engines.Order(answer, o.Address, o.Order)
	if err != nil {
		return result, fmt.Errorf("order %q to engine %q: %w", o.Order.ID, o.Server, err)
	}
	if !result.Accepted && result.Seen > e.token {
		return result, &platform.StaleTokenError{Token: e.token, Seen: result.Seen}
	}
	return result, e.confirm(ctx, intent{Engine: &o})
}

// confirm deletes the intent row of an order whose outcome is known.
func (e *Executor) confirm(ctx context.Context, i intent) error {
	if err := e.commit(ctx, platform.Write{Key: intentKey(i.id()), Delete: true}); err != nil {
		return err
	}
	e.record(timeline.OrderConfirmed, i, e.token)
	return nil
}

// commit writes rows, fenced by the duty's row.
func (e *Executor) commit(ctx context.Context, writes ...platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := e.options.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{e.guard.Fence()},
		Writes: writes,
	})
	return err
}

func (e *Executor) page(ctx context.Context, prefix, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.options.Table.List(ctx, prefix, after, listPageSize)
}

func (e *Executor) record(kind timeline.Kind, i intent, token uint64) {
	event := timeline.Event{Kind: kind, Order: i.id(), Duty: e.duty, Token: token}
	if i.Engine != nil {
		event.Server = i.Engine.Server
		event.Detail = string(i.Engine.Order.Kind)
	} else {
		event.Server, event.Zone = i.Platform.Server, i.Platform.Zone
		event.Detail = string(i.Platform.Kind)
	}
	e.options.Recorder.Record(event)
}
