package order

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// flaky injects faults into the calls of a table and of the platform's servers.
type flaky struct {
	platform.Table
	platform.Servers
	t       *rapid.T
	delayed []func()
	healthy bool // no more faults are injected
}

// run makes a call. At random, the call or its reply is lost, or the call takes effect
// only before a later one.
func (f *flaky) run(effect func() error) error {
	f.deliverDelayed()
	if f.healthy {
		return effect()
	}
	switch rapid.SampledFrom([]string{"done", "done", "done", "lost", "reply lost", "late"}).Draw(f.t, "fate") {
	case "lost":
		return platform.ErrUnavailable
	case "reply lost":
		_ = effect()
		return platform.ErrUnavailable
	case "late":
		f.delayed = append(f.delayed, func() { _ = effect() })
		return platform.ErrUnavailable
	}
	return effect()
}

func (f *flaky) deliverDelayed() {
	var waiting []func()
	for _, effect := range f.delayed {
		if !f.healthy && rapid.Bool().Draw(f.t, "waits") {
			waiting = append(waiting, effect)
			continue
		}
		effect()
	}
	f.delayed = waiting
}

// Commit implements platform.Table.
func (f *flaky) Commit(ctx context.Context, txn platform.Txn) (versions []uint64, err error) {
	err = f.run(func() (err error) {
		versions, err = f.Table.Commit(context.WithoutCancel(ctx), txn)
		return err
	})
	return versions, err
}

// List implements platform.Table; backend servers are not listed in these tests.
func (f *flaky) List(ctx context.Context, prefix, after string, limit int) (rows []platform.Row, err error) {
	err = f.run(func() (err error) {
		rows, err = f.Table.List(context.WithoutCancel(ctx), prefix, after, limit)
		return err
	})
	return rows, err
}

// flakyServers is the platform's order interface with faults.
type flakyServers struct{ *flaky }

// List implements platform.Servers.
func (o flakyServers) List(ctx context.Context) ([]platform.Server, error) {
	return o.Servers.List(ctx)
}

// Place implements platform.Servers. The check runs before the order is sent, so a
// delayed order is not checked again.
func (o flakyServers) Place(ctx context.Context, order platform.Order) (out platform.OrderOutcome, err error) {
	if _, err := platform.RunWriteCheck(ctx); err != nil {
		return out, err
	}
	err = o.run(func() (err error) {
		out, err = o.Servers.Place(context.Background(), order)
		return err
	})
	return out, err
}

// Lookup implements platform.Servers.
func (o flakyServers) Lookup(ctx context.Context, id string) (out platform.OrderOutcome, err error) {
	err = o.run(func() (err error) {
		out, err = o.Servers.Lookup(context.WithoutCancel(ctx), id)
		return err
	})
	return out, err
}

// tenure is the tenure of one holder.
type tenure struct {
	table   platform.Table
	version uint64 // version of the duty's row
	current func() bool
}

const testDutyRow = "lease/duty/orders"

// Remaining implements Guard.
func (g *tenure) Remaining() (time.Duration, error) {
	if !g.current() {
		return 0, &lease.LostError{Duty: Duty}
	}
	return time.Minute, nil
}

// Fence implements Guard.
func (g *tenure) Fence() platform.Check { return platform.Check{Key: testDutyRow, Version: g.version} }

// handover is a random history of holders that place and resume orders.
type handover struct {
	*rapid.T
	p         *standin.Platform
	flaky     *flaky
	executors []*Executor
	placed    int
	confirmed int
}

func (h *handover) takeOver() {
	direct := h.p.Caller("lease").Table()
	versions, err := direct.Commit(h.Context(), platform.Txn{Writes: []platform.Write{{Key: testDutyRow}}})
	if err != nil {
		h.Fatal(err)
	}
	mine := len(h.executors)
	g := &tenure{table: direct, version: versions[0], current: func() bool { return mine == len(h.executors)-1 }}
	o := Options{Table: h.flaky, Servers: flakyServers{h.flaky}}
	h.executors = append(h.executors, NewExecutor(o, g, Duty, uint64(mine+1)))
}

func (h *handover) step() {
	e := h.executors[rapid.IntRange(max(0, len(h.executors)-2), len(h.executors)-1).Draw(h.T, "holder")]
	switch rapid.IntRange(0, 4).Draw(h.T, "step") {
	case 0:
		h.takeOver()
	case 1, 2:
		h.placed++
		if _, err := e.Place(h.Context(), platform.Order{Kind: platform.OrderStart, Zone: "z"}); err == nil {
			h.confirmed++
		}
	default:
		_ = e.Resume(h.Context())
	}
}

func TestExecutorOrdersExactlyOnce(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		ring := timeline.NewRing("platform", 0, nil)
		p := standin.New(standin.Options{Recorder: ring, IgnoreTokens: rapid.Bool().Draw(t, "ignores tokens")})
		defer p.Close()
		c := p.Caller("test")
		h := &handover{T: t, p: p, flaky: &flaky{Table: c.Table(), Servers: c.Servers(), t: t}}
		h.takeOver()
		for range 30 {
			h.step()
		}
		h.flaky.healthy = true
		h.flaky.deliverDelayed()
		last := h.executors[len(h.executors)-1]
		if err := last.Resume(t.Context()); err != nil {
			t.Fatal(err)
		}
		open, err := last.open(t.Context())
		if err != nil || len(open) > 0 {
			t.Fatalf("%d intents are open, error %v", len(open), err)
		}
		if n := p.Orders(); n < h.confirmed || n > h.placed {
			t.Fatalf("%d orders took effect; %d were placed and %d confirmed", n, h.placed, h.confirmed)
		}
		total += p.Orders()
	})
	if total == 0 {
		t.Fatal("no order ever took effect")
	}
}

func TestExecutorFencesFormerHolder(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform ignores tokens %v", ignores), func(t *testing.T) {
			is := is.New(t)
			p := standin.New(standin.Options{IgnoreTokens: ignores})
			defer p.Close()
			c := p.Caller("a")
			direct := c.Table()
			versions, err := direct.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: testDutyRow}}})
			is.NoErr(err)
			lost := false
			g := &tenure{version: versions[0], current: func() bool { return !lost }}
			ring := timeline.NewRing("a", 0, nil)
			e := NewExecutor(Options{Table: direct, Servers: c.Servers(), Recorder: ring}, g, Duty, 1)
			_, err = direct.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: testDutyRow}}})
			is.NoErr(err)
			_, err = e.Place(t.Context(), platform.Order{Kind: platform.OrderStart}) // not aware that the duty has changed hands
			var conflict *platform.ConflictError
			is.True(errors.As(err, &conflict)) // the intent row is fenced
			lost = true
			_, err = e.place(t.Context(), platform.Order{ID: "x", Kind: platform.OrderStart}, false)
			var gone *lease.LostError
			is.True(errors.As(err, &gone)) // paused between the intent and the order
			is.Equal(p.Orders(), 0)
			events, _ := ring.Snapshot()
			for _, event := range events {
				is.True(event.Kind != timeline.OrderSent)
			}
		})
	}
}

func TestOrdererResumesOpenOrders(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	defer p.Close()
	c := p.Caller("a")
	o := Options{Table: c.Table(), Servers: c.Servers()}
	g := &tenure{current: func() bool { return true }}
	p.SetFault(standin.ServersInterface, standin.Fault{Down: true})
	_, err := NewExecutor(o, g, Duty, 1).Place(t.Context(), platform.Order{Kind: platform.OrderStart, Model: "m", Zone: "z1"})
	is.True(errors.Is(err, platform.ErrUnavailable))
	p.SetFault(standin.ServersInterface, standin.Fault{})
	next := NewExecutor(o, g, Duty, 2)
	is.NoErr(NewOrderer(o, Policy{}, constantObserver{c.Servers(), 1}).step(t.Context(), next, NewScaler(Policy{})))
	_, err = c.Servers().Lookup(t.Context(), "orders-1-1")
	is.NoErr(err)
	is.Equal(p.Orders(), 1) // the one server that the demand requires
}

// fakeEngine is an engine that optionally rejects old fencing tokens.
type fakeEngine struct {
	fences bool
	seen   uint64
	loads  int
}

// Order implements Engines.
func (e *fakeEngine) Order(_ context.Context, _ string, o engineapi.Order) (engineapi.OrderResult, error) {
	if e.fences && o.Token < e.seen {
		return engineapi.OrderResult{ID: o.ID, Seen: e.seen}, nil
	}
	e.loads++
	if e.fences {
		e.seen = o.Token
	}
	return engineapi.OrderResult{ID: o.ID, Accepted: true, Seen: e.seen}, nil
}

// Load implements Engines.
func (e *fakeEngine) Load(context.Context, string) (engineapi.LoadReport, error) {
	return engineapi.LoadReport{}, platform.ErrUnavailable
}

func TestExecutorReportsStaleToken(t *testing.T) {
	is := is.New(t)
	c := standin.New(standin.Options{}).Caller("a")
	g := &tenure{current: func() bool { return true }}
	server := &fakeEngine{fences: true}
	o := Options{Table: c.Table(), Servers: c.Servers(), Engines: server}
	load := EngineOrder{Server: "s", Order: engineapi.Order{Kind: engineapi.LoadModel, Model: "m"}}
	_, err := NewExecutor(o, g, Duty, 2).OrderEngine(t.Context(), load)
	is.NoErr(err)
	_, err = NewExecutor(o, g, Duty, 1).OrderEngine(t.Context(), load)
	var stale *platform.StaleTokenError
	is.True(errors.As(err, &stale))
	is.Equal(server.loads, 1)
}

// constantObserver observes a constant demand and the servers of the platform.
type constantObserver struct {
	servers platform.Servers
	load    int
}

// Observe implements Observer.
func (o constantObserver) Observe(ctx context.Context) (Observation, error) {
	list, err := o.servers.List(ctx)
	if err != nil {
		return Observation{}, err
	}
	busy := make(map[string]int)
	for _, s := range list {
		busy[s.Name] = 0
	}
	return Observation{
		Models: []Model{{
			Name: "m", MinServers: 1, MaxServers: 20, Slots: 10, StartTime: time.Minute,
			Demands: []Demand{{Tier: 1, Running: o.load, Attainment: 1}},
		}},
		Zones:   []Zone{{Name: "z1", Price: 1}, {Name: "z2", Price: 1}},
		Servers: list, Busy: busy,
	}, nil
}

func TestOrdererSurvivesFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := standin.New(standin.Options{StartTime: 30 * time.Second})
		names := []string{"a", "b", "c"}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, len(names))
		for _, name := range names {
			c := p.Caller(name)
			m := lease.NewManager(lease.Options{
				Instance: name, Table: c.Table(), Duties: []string{Duty},
				Members: func() []string { return names },
			})
			o := NewOrderer(Options{Table: c.Table(), Servers: c.Servers()}, Policy{}, constantObserver{c.Servers(), 70})
			m.Do(Duty, o.Work)
			go func() {
				_ = m.Run(ctx)
				done <- struct{}{}
			}()
		}
		faults := []standin.Fault{{LoseReplies: 2}, {Delay: 3 * time.Second}, {Down: true}, {Paused: true}}
		for i, fault := range faults {
			for _, face := range []standin.Interface{standin.ServersInterface, standin.TableInterface} {
				p.SetCallerFault(names[i%len(names)], face, fault)
				time.Sleep(25 * time.Second)
				p.SetCallerFault(names[i%len(names)], face, standin.Fault{})
			}
		}
		p.SetFault(standin.TableInterface, standin.Fault{Down: true})
		time.Sleep(time.Hour)
		before := p.Orders()
		p.SetFault(standin.TableInterface, standin.Fault{})
		time.Sleep(30 * time.Minute)
		is.Equal(runningServers(p), 10) // 70 requests at 0.7 of 10 slots per server
		is.Equal(p.Orders(), before)    // an outage of the table service causes no orders
		is.Equal(p.Orders(), 10)
		cancel()
		for range names {
			<-done
		}
		p.Close()
	})
}

func runningServers(p *standin.Platform) int {
	n := 0
	for _, s := range p.ServerList() {
		if s.State == platform.ServerRunning {
			n++
		}
	}
	return n
}
