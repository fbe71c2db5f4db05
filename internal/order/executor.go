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
	callTimeout  = 2 * time.Second
	rowsPerPage  = 200
	engineBudget = 30 * time.Second // for an engine's answer
)

// Guard is the tenure of the duty in whose name orders are placed.
// lease.Guard implements it.
type Guard interface {
	// Check fails when the tenure may end before a write has left.
	Check() error
	// Fence fails a transaction once the duty has changed hands.
	Fence() platform.Check
}

// Engines reaches engines at their addresses.
type Engines interface {
	Order(ctx context.Context, address string, o engineapi.Order) (engineapi.OrderResult, error)
	// Load reads what the engine runs and has waiting.
	Load(ctx context.Context, address string) (engineapi.LoadReport, error)
}

// Options configure an Executor and an Orderer.
type Options struct {
	// Table is the table service. Required.
	Table platform.Table
	// Servers takes the platform's orders. Required.
	Servers platform.Servers
	// Engines takes orders to engines. Nil: none are sent.
	Engines Engines
	// Recorder takes the order events. Nil: timeline.Discard.
	Recorder timeline.Recorder
	// Logger takes the logs. Nil: none.
	Logger hclog.Logger
	// Now is the wall clock. Nil: time.Now.
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

// Executor carries orders out in one tenure of a duty: the intent row, then the
// order under its id, then the outcome. An order whose outcome is unknown is
// looked up under its id and never replaced by another.
type Executor struct {
	options Options
	guard   Guard
	duty    string
	token   uint64
	next    uint64
}

// NewExecutor returns an executor for a tenure.
func NewExecutor(o Options, g Guard, duty string, token uint64) *Executor {
	return &Executor{options: o.withDefaults(), guard: g, duty: duty, token: token}
}

// newID returns an id that no other tenure and no other order of this one bears.
func (e *Executor) newID() string {
	e.next++
	return fmt.Sprintf("%s-%d-%d", e.duty, e.token, e.next)
}

// Place orders a start or a return. An error leaves the intent open, to be
// carried on by Resume.
func (e *Executor) Place(ctx context.Context, o platform.Order) (platform.OrderOutcome, error) {
	o.ID, o.Duty, o.Token = e.newID(), e.duty, e.token
	if err := e.intend(ctx, intent{Platform: &o}); err != nil {
		return platform.OrderOutcome{}, err
	}
	return e.place(ctx, o, false)
}

// OrderEngine sends an order to an engine. Engine orders state what the engine
// shall serve, so that a repeated one changes nothing.
func (e *Executor) OrderEngine(ctx context.Context, o EngineOrder) (engineapi.OrderResult, error) {
	o.Order.ID, o.Order.Token = e.newID(), e.token
	if err := e.intend(ctx, intent{Engine: &o}); err != nil {
		return engineapi.OrderResult{}, err
	}
	return e.orderEngine(ctx, o)
}

// Open returns the intents whose outcome is unknown.
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
		if len(rows) < rowsPerPage {
			return list, nil
		}
	}
}

// Resume carries on every open intent, whoever wrote it.
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

// intend writes the intent row, fenced by the duty's row.
func (e *Executor) intend(ctx context.Context, i intent) error {
	write, err := writeOf(intentKey(i.id()), i)
	if err != nil {
		return err
	}
	e.record(timeline.OrderIntended, i, e.token)
	return e.commit(ctx, write)
}

// place sends an order; a sent one is looked up first.
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

// send checks the tenure once more right before the order is written.
func (e *Executor) send(ctx context.Context, o platform.Order) (platform.OrderOutcome, error) {
	checked := platform.WithCheck(ctx, e.leaving(intent{Platform: &o}))
	ctx, cancel := context.WithTimeout(checked, callTimeout)
	defer cancel()
	return e.options.Servers.Place(ctx, o)
}

// leaving returns the last check of the tenure, after which the order counts
// as sent.
func (e *Executor) leaving(i intent) func() error {
	return func() error {
		if err := e.guard.Check(); err != nil {
			return err
		}
		e.record(timeline.OrderSent, i, e.token)
		return nil
	}
}

func (e *Executor) lookup(ctx context.Context, id string) (platform.OrderOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.options.Servers.Lookup(ctx, id)
}

func (e *Executor) orderEngine(ctx context.Context, o EngineOrder) (engineapi.OrderResult, error) {
	if e.options.Engines == nil {
		return engineapi.OrderResult{}, fmt.Errorf("order %q: no way to engines is set up", o.Order.ID)
	}
	checked := platform.WithCheck(ctx, e.leaving(intent{Engine: &o}))
	answer, cancel := context.WithTimeout(checked, engineBudget)
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

// confirm deletes the intent; the outcome is known.
func (e *Executor) confirm(ctx context.Context, i intent) error {
	if err := e.commit(ctx, platform.Write{Key: intentKey(i.id()), Delete: true}); err != nil {
		return err
	}
	e.record(timeline.OrderConfirmed, i, e.token)
	return nil
}

// commit writes rows only while the duty has not changed hands.
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
	return e.options.Table.List(ctx, prefix, after, rowsPerPage)
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
