package faultmatrix

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/invariant"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Times of a run, on the bubble's clock.
const (
	warmUp      = 30 * time.Second
	pauseTime   = 30 * time.Second
	outageTime  = 45 * time.Second
	restartTime = 20 * time.Second
	raceTime    = 9400 * time.Millisecond // a lease and the margin of its successor
	settleTime  = 3 * time.Minute
	longestWait = 12 * time.Minute
	calmTime    = 10 * time.Second
)

const fleetSize = 3

var faces = []standin.Interface{
	standin.TableInterface, standin.ObjectsInterface, standin.ServersInterface, standin.UsageInterface, standin.InstancesInterface,
}

// fleet is a few instances before one platform, with one armed fault.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
	ring     *timeline.Ring // of the platform
	nodes    []*node
	launch   func(ctx context.Context, n *node)
	running  sync.WaitGroup

	mu     sync.Mutex
	closed bool
	armed  Step // empty once reached
	faults []Fault
	struck time.Time // when the fault was injected
}

// node is one instance: what it records and how it reaches the platform.
type node struct {
	f    *fleet
	name string
	ring *timeline.Ring

	mu          sync.Mutex
	life        int // number of restarts
	stop        context.CancelFunc
	pausedUntil time.Time
	calmAt      time.Time // when no call waits for a fault any more
	down        bool      // crashed and not yet started anew
	duplicates  int       // writes still to be sent twice
	strikes     map[Fault]strike
}

// newFleet starts the instances; launch runs one of them until ctx ends. The
// platform ignores fencing numbers unless the cell holds calls back on their
// way: then the last check of a tenure comes too early, and only a receiver that
// refuses old numbers is safe.
func newFleet(t *testing.T, c Cell, launch func(ctx context.Context, n *node)) *fleet {
	f := &fleet{t: t, launch: launch, ring: timeline.NewRing("platform", 0, nil)}
	f.platform = standin.New(standin.Options{
		Recorder: f.ring, StartTime: time.Second, WeightBytes: 1, IgnoreTokens: !c.has(Silence) && !c.has(Slow),
	})
	for i := range fleetSize {
		name := fmt.Sprintf("i%d", i)
		f.nodes = append(f.nodes, &node{f: f, name: name, ring: timeline.NewRing(name, 0, nil), stop: func() {}, strikes: make(map[Fault]strike)})
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

// run arms the cell's faults after a while and lets the fleet settle.
func (f *fleet) run(c Cell) {
	time.Sleep(warmUp)
	f.mu.Lock()
	f.armed = c.Step
	f.faults = []Fault{c.Fault}
	if c.With != "" {
		f.faults = append(f.faults, c.With)
	}
	f.mu.Unlock()
	if c.Step == LeaseAcquire || c.Step == LeaseRelease {
		f.changeHolder()
	}
	f.awaitStrike()
	time.Sleep(settleTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.struck.IsZero() {
		f.t.Errorf("step %q was never reached", c.Step)
	}
}

// awaitStrike waits until the faults have struck, for longer than any step is
// away.
func (f *fleet) awaitStrike() {
	for waited := time.Duration(0); waited < longestWait; waited += time.Second {
		f.mu.Lock()
		struck := !f.struck.IsZero()
		f.mu.Unlock()
		if struck {
			return
		}
		time.Sleep(time.Second)
	}
}

// changeHolder stops the instance that acquired a lease last, and starts it anew.
func (f *fleet) changeHolder() {
	holder := f.nodes[0]
	for _, e := range f.events() {
		if e.Kind == timeline.LeaseAcquired {
			holder = f.node(e.Instance)
		}
	}
	holder.halt()
	f.running.Go(func() {
		time.Sleep(restartTime)
		holder.start()
	})
}

func (f *fleet) node(name string) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	return f.nodes[i]
}

// finish stops the fleet and checks the merged time line.
func (f *fleet) finish() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.halt()
	}
	f.running.Wait()
	f.platform.Close()
	for _, v := range invariant.Check(f.events(), invariant.Options{Complete: true}) {
		f.t.Errorf("%v", v)
	}
}

func (f *fleet) events() []timeline.Event {
	rings := [][]timeline.Event{}
	for _, n := range f.nodes {
		events, _ := n.ring.Snapshot()
		rings = append(rings, events)
	}
	events, _ := f.ring.Snapshot()
	return timeline.Merge(append(rings, events)...)
}

// reach injects the armed faults when an instance comes to their step.
func (f *fleet) reach(n *node, s Step) {
	f.mu.Lock()
	hit := f.armed == s && s != ""
	if hit {
		f.armed = ""
		f.struck = time.Now()
	}
	f.mu.Unlock()
	if !hit {
		return
	}
	for _, fault := range f.faults {
		n.inject(fault)
	}
}

// start begins a new life of the instance, unless the run is over.
func (n *node) start() {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	if n.f.closed {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop()
	n.life++
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.f.running.Go(func() { n.f.launch(ctx, n) })
}

// halt asks the instance to stop gracefully.
func (n *node) halt() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop()
}

// recorder keeps the events of one life of the instance.
type recorder struct {
	n    *node
	life int
}

func (n *node) recorder() timeline.Recorder {
	n.mu.Lock()
	defer n.mu.Unlock()
	return recorder{n, n.life}
}

// Record implements timeline.Recorder; a crashed process records nothing more.
func (r recorder) Record(e timeline.Event) {
	r.n.mu.Lock()
	dead := r.life != r.n.life
	r.n.mu.Unlock()
	if !dead {
		r.n.ring.Record(e)
	}
}

// crash ends the instance without letting it do anything more, and starts it
// anew later.
func (n *node) crash() {
	n.mu.Lock()
	n.life++
	n.down = true
	n.stop()
	n.mu.Unlock()
	n.f.running.Go(func() {
		time.Sleep(restartTime)
		n.mu.Lock()
		n.down = false
		n.mu.Unlock()
		n.start()
	})
}

// strike is a fault of some interfaces of the platform as one instance meets it.
type strike struct {
	fault standin.Fault
	faces []standin.Interface
}

// inject brings about one fault at the instance or its store.
func (n *node) inject(fault Fault) {
	store := []standin.Interface{standin.TableInterface, standin.InstancesInterface}
	switch fault {
	case InstanceCrash:
		n.crash()
	case InstancePause:
		n.pause(pauseTime)
	case Race:
		n.pause(raceTime)
	case Duplicate:
		n.mu.Lock()
		n.duplicates = 3
		n.mu.Unlock()
	case LostReply:
		n.during(fault, strike{standin.Fault{LoseReplies: 1}, faces})
	case Silence:
		n.during(fault, strike{standin.Fault{Paused: true}, faces})
	case Slow:
		n.during(fault, strike{standin.Fault{Delay: 1500 * time.Millisecond, ReplyDelay: time.Second}, faces})
	case LeaseLapse:
		n.during(fault, strike{standin.Fault{Down: true}, store})
	case StoreDown:
		n.f.during(fault, strike{standin.Fault{Down: true}, store})
	case StoreSlow:
		n.f.during(fault, strike{standin.Fault{Delay: time.Second, ReplyDelay: 1500 * time.Millisecond}, store})
	case ZoneOut:
		n.f.platform.SetZoneCapacity(zoneNames[0], false)
	case Reclaim:
		n.f.platform.Reclaim(zoneNames[0])
	default:
		n.f.t.Fatalf("fault %q is not for instances", fault)
	}
}

func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
	n.calmAt = later(n.calmAt, n.pausedUntil.Add(calmTime))
}

// during strikes the instance for a time.
func (n *node) during(name Fault, s strike) {
	n.setStrike(name, s)
	n.f.running.Go(func() {
		time.Sleep(outageTime)
		n.setStrike(name, strike{})
	})
}

// during strikes all instances for a time.
func (f *fleet) during(name Fault, s strike) {
	for _, n := range f.nodes {
		n.during(name, s)
	}
}

// setStrike adds or replaces one strike and applies all of them together.
func (n *node) setStrike(name Fault, s strike) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.strikes[name] = s
	n.calmAt = later(n.calmAt, time.Now().Add(outageTime+calmTime))
	for _, face := range faces {
		var sum standin.Fault
		for _, s := range n.strikes {
			if slices.Contains(s.faces, face) {
				sum = worse(sum, s.fault)
			}
		}
		n.f.platform.SetCallerFault(n.name, face, sum)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func worse(a, b standin.Fault) standin.Fault {
	return standin.Fault{
		Down:        a.Down || b.Down,
		Paused:      a.Paused || b.Paused,
		Delay:       max(a.Delay, b.Delay),
		ReplyDelay:  max(a.ReplyDelay, b.ReplyDelay),
		LoseReplies: max(a.LoseReplies, b.LoseReplies),
	}
}

// call makes one call at a step. An instance that is paused makes it when the
// pause ends, whatever its deadline was; a duplicate is sent first.
func call[T any](ctx context.Context, n *node, s Step, send func(ctx context.Context) (T, error)) (T, error) {
	n.f.reach(n, s)
	n.mu.Lock()
	wait := time.Until(n.pausedUntil)
	down := n.down
	twice := s != "" && n.duplicates > 0
	if twice {
		n.duplicates--
	}
	n.mu.Unlock()
	if down {
		var zero T
		return zero, platform.ErrUnavailable
	}
	if wait > 0 {
		time.Sleep(wait)
		ctx = context.WithoutCancel(ctx)
	}
	value, err := send(ctx)
	if twice {
		_, _ = send(ctx)
	}
	return value, err
}

// table is the table service as one instance reaches it.
type table struct {
	platform.Table
	n *node
}

func (n *node) table() platform.Table {
	return table{n.f.platform.Caller(n.name).Table(), n}
}

// Get implements platform.Table.
func (t table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	step := Step("")
	if t.n != t.n.f.nodes[0] && slices.Contains(keys, "config/head") {
		step = ConfigSpread // another instance learns of changes by reading the head
	}
	return call(ctx, t.n, step, func(ctx context.Context) ([]platform.Row, error) { return t.Table.Get(ctx, keys...) })
}

// List implements platform.Table.
func (t table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	step := Step("")
	if strings.HasPrefix(prefix, "config/") {
		step = ConfigApply // the changes after the version in force are read
	}
	return call(ctx, t.n, step, func(ctx context.Context) ([]platform.Row, error) {
		return t.Table.List(ctx, prefix, after, limit)
	})
}

// Commit implements platform.Table.
func (t table) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	return call(ctx, t.n, stepOf(txn), func(ctx context.Context) ([]uint64, error) { return t.Table.Commit(ctx, txn) })
}

// stepOf tells which step a transaction belongs to by the rows that it writes.
func stepOf(txn platform.Txn) Step {
	i := slices.IndexFunc(txn.Writes, func(w platform.Write) bool { return !w.Delete })
	if i < 0 {
		return stepOfDelete(txn)
	}
	w := txn.Writes[i]
	for _, s := range stepsOfRows {
		if strings.HasPrefix(w.Key, s.prefix) && strings.Contains(string(w.Value), s.contains) {
			return s.step
		}
	}
	return ""
}

// stepOfDelete tells the step of a transaction that only deletes rows.
func stepOfDelete(txn platform.Txn) Step {
	if len(txn.Writes) > 0 && strings.HasPrefix(txn.Writes[0].Key, "order/intent/") {
		return OrderOutcome
	}
	return ""
}
