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

// Durations of a run, on the clock of the synctest bubble.
const (
	warmUp      = 30 * time.Second
	pauseTime   = 30 * time.Second
	outageTime  = 45 * time.Second
	restartTime = 20 * time.Second
	raceTime    = 9400 * time.Millisecond // the lease term plus the margin of the next holder
	settleTime  = 3 * time.Minute
	maxStepWait = 12 * time.Minute
	quietTime   = 10 * time.Second
)

const fleetSize = 3

var interfaces = []standin.Interface{
	standin.TableInterface, standin.ObjectsInterface, standin.ServersInterface, standin.UsageInterface, standin.InstancesInterface,
}

// fleet is a number of instances on one platform, with the faults of one cell.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
	ring     *timeline.Ring // of the platform
	nodes    []*node
	launch   func(ctx context.Context, n *node)
	running  sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	armed      Step // empty after the step was reached
	faults     []Fault
	injectedAt time.Time // when the faults were injected; zero before
}

// node is one instance: its timeline and its access to the platform.
type node struct {
	f    *fleet
	name string
	ring *timeline.Ring

	mu          sync.Mutex
	incarnation int // number of restarts
	stop        context.CancelFunc
	pausedUntil time.Time
	quietAt     time.Time // from when no call is blocked by a fault
	down        bool      // crashed and not yet restarted
	duplicates  int       // number of further writes that are sent twice
	faults      map[Fault]callFault
}

// newFleet starts the instances; launch runs one of them until ctx ends. The
// platform ignores fencing tokens, so that the lease checks of the instances alone
// must prevent stale calls. The exception are cells that delay calls in flight: a
// call may then arrive after the lease has expired although the check before the
// call passed, and only a receiver that rejects stale tokens is safe.
func newFleet(t *testing.T, c Cell, launch func(ctx context.Context, n *node)) *fleet {
	f := &fleet{t: t, launch: launch, ring: timeline.NewRing("platform", 0, nil)}
	f.platform = standin.New(standin.Options{
		Recorder: f.ring, StartTime: time.Second, WeightBytes: 1, IgnoreTokens: !c.has(Silence) && !c.has(Slow),
	})
	for i := range fleetSize {
		name := fmt.Sprintf("i%d", i)
		f.nodes = append(f.nodes, &node{f: f, name: name, ring: timeline.NewRing(name, 0, nil), stop: func() {}, faults: make(map[Fault]callFault)})
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

// run arms the cell's faults after warmUp, waits until they are injected, and gives
// the fleet settleTime to recover.
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
	f.awaitInjection()
	time.Sleep(settleTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.injectedAt.IsZero() {
		f.t.Errorf("step %q was never reached", c.Step)
	}
}

// awaitInjection waits until the faults are injected, at most maxStepWait. Every
// step occurs within that time.
func (f *fleet) awaitInjection() {
	for waited := time.Duration(0); waited < maxStepWait; waited += time.Second {
		f.mu.Lock()
		injected := !f.injectedAt.IsZero()
		f.mu.Unlock()
		if injected {
			return
		}
		time.Sleep(time.Second)
	}
}

// changeHolder stops the instance that acquired a lease last, and restarts it after
// restartTime.
func (f *fleet) changeHolder() {
	holder := f.nodes[0]
	for _, e := range f.events() {
		if e.Kind == timeline.LeaseAcquired {
			holder = f.node(e.Instance)
		}
	}
	holder.shutDown()
	f.running.Go(func() {
		time.Sleep(restartTime)
		holder.start()
	})
}

func (f *fleet) node(name string) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	return f.nodes[i]
}

// finish stops the fleet and checks the invariants on the merged timeline.
func (f *fleet) finish() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.shutDown()
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
func (f *fleet) reachStep(n *node, s Step) {
	f.mu.Lock()
	hit := f.armed == s && s != ""
	if hit {
		f.armed = ""
		f.injectedAt = time.Now()
	}
	f.mu.Unlock()
	if !hit {
		return
	}
	for _, fault := range f.faults {
		n.inject(fault)
	}
}

// start starts a new incarnation of the instance, unless the run is over.
func (n *node) start() {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	if n.f.closed {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop()
	n.incarnation++
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.f.running.Go(func() { n.f.launch(ctx, n) })
}

// shutDown starts a graceful stop of the instance.
func (n *node) shutDown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop()
}

// recorder records the events of one incarnation of the instance.
type recorder struct {
	n           *node
	incarnation int
}

func (n *node) recorder() timeline.Recorder {
	n.mu.Lock()
	defer n.mu.Unlock()
	return recorder{n, n.incarnation}
}

// Record implements timeline.Recorder. It drops events of earlier incarnations,
// since a crashed process records nothing.
func (r recorder) Record(e timeline.Event) {
	r.n.mu.Lock()
	crashed := r.incarnation != r.n.incarnation
	r.n.mu.Unlock()
	if !crashed {
		r.n.ring.Record(e)
	}
}

// crash stops the instance, blocks its further calls and events, and restarts it
// after restartTime.
func (n *node) crash() {
	n.mu.Lock()
	n.incarnation++
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

// callFault is a fault of one instance's calls to some interfaces of the platform.
type callFault struct {
	fault      standin.Fault
	interfaces []standin.Interface
}

// inject injects one fault into the instance or its access to the platform.
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
		n.injectFor(fault, callFault{standin.Fault{LoseReplies: 1}, interfaces})
	case Silence:
		n.injectFor(fault, callFault{standin.Fault{Paused: true}, interfaces})
	case Slow:
		n.injectFor(fault, callFault{standin.Fault{Delay: 1500 * time.Millisecond, ReplyDelay: time.Second}, interfaces})
	case LeaseLapse:
		n.injectFor(fault, callFault{standin.Fault{Down: true}, store})
	case StoreDown:
		n.f.injectFor(fault, callFault{standin.Fault{Down: true}, store})
	case StoreSlow:
		n.f.injectFor(fault, callFault{standin.Fault{Delay: time.Second, ReplyDelay: 1500 * time.Millisecond}, store})
	case ZoneOut:
		n.f.platform.SetZoneCapacity(zoneNames[0], false)
	case Reclaim:
		n.f.platform.Reclaim(zoneNames[0])
	default:
		n.f.t.Fatalf("fault %q cannot be injected into an instance", fault)
	}
}

func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
	n.quietAt = later(n.quietAt, n.pausedUntil.Add(quietTime))
}

// injectFor injects a fault into the calls of the instance for outageTime.
func (n *node) injectFor(name Fault, s callFault) {
	n.setFault(name, s)
	n.f.running.Go(func() {
		time.Sleep(outageTime)
		n.setFault(name, callFault{})
	})
}

// injectFor injects a fault into the calls of all instances for outageTime.
func (f *fleet) injectFor(name Fault, s callFault) {
	for _, n := range f.nodes {
		n.injectFor(name, s)
	}
}

// setFault adds or replaces the named fault, and applies the combination of all
// faults of the instance.
func (n *node) setFault(name Fault, s callFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[name] = s
	n.quietAt = later(n.quietAt, time.Now().Add(outageTime+quietTime))
	for _, iface := range interfaces {
		var sum standin.Fault
		for _, s := range n.faults {
			if slices.Contains(s.interfaces, iface) {
				sum = combine(sum, s.fault)
			}
		}
		n.f.platform.SetCallerFault(n.name, iface, sum)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func combine(a, b standin.Fault) standin.Fault {
	return standin.Fault{
		Down:        a.Down || b.Down,
		Paused:      a.Paused || b.Paused,
		Delay:       max(a.Delay, b.Delay),
		ReplyDelay:  max(a.ReplyDelay, b.ReplyDelay),
		LoseReplies: max(a.LoseReplies, b.LoseReplies),
	}
}

// call makes one call to the platform at a step. A paused instance makes the call
// when the pause ends, even if its deadline has passed. A duplicated call is made
// twice and returns the first result.
func call[T any](ctx context.Context, n *node, s Step, send func(ctx context.Context) (T, error)) (T, error) {
	n.f.reachStep(n, s)
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

// table is one instance's access to the table service, with its faults.
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
		step = ConfigSpread // other instances detect changes by reading the head
	}
	return call(ctx, t.n, step, func(ctx context.Context) ([]platform.Row, error) { return t.Table.Get(ctx, keys...) })
}

// List implements platform.Table.
func (t table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	step := Step("")
	if strings.HasPrefix(prefix, "config/") {
		step = ConfigApply // reads the changes after the current version
	}
	return call(ctx, t.n, step, func(ctx context.Context) ([]platform.Row, error) {
		return t.Table.List(ctx, prefix, after, limit)
	})
}

// Commit implements platform.Table.
func (t table) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	return call(ctx, t.n, stepOf(txn), func(ctx context.Context) ([]uint64, error) { return t.Table.Commit(ctx, txn) })
}

// stepOf returns the step of a transaction, determined by the rows that it writes.
func stepOf(txn platform.Txn) Step {
	i := slices.IndexFunc(txn.Writes, func(w platform.Write) bool { return !w.Delete })
	if i < 0 {
		return stepOfDelete(txn)
	}
	w := txn.Writes[i]
	for _, s := range stepsByRow {
		if strings.HasPrefix(w.Key, s.prefix) && strings.Contains(string(w.Value), s.contains) {
			return s.step
		}
	}
	return ""
}

// stepOfDelete returns the step of a transaction that only deletes rows.
func stepOfDelete(txn platform.Txn) Step {
	if len(txn.Writes) > 0 && strings.HasPrefix(txn.Writes[0].Key, "order/intent/") {
		return OrderOutcome
	}
	return ""
}
