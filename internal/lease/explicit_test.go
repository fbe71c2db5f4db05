package lease

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
)

// The explicit-state check visits every state that two instances and a store with copies can reach
// in a bounded number of actions, in the real code of the protocol. Calls are atomic, but for one
// that the store performs late.

// explicitTiming makes a lease expire, and a claim due, within two ticks.
var explicitTiming = Timing{
	Lease: 4 * time.Second, Margin: time.Second, Drift: time.Millisecond, RankDelay: time.Millisecond,
	Call: time.Millisecond, Write: time.Millisecond, Watch: 3 * time.Second, Heartbeat: time.Second, Retry: time.Second,
}

const (
	explicitTick      = 2600 * time.Millisecond
	explicitDepth     = 8
	explicitRestores  = 2
	explicitInstances = 2
)

// world is one state.
type world struct {
	now      time.Duration
	rows     map[string]platform.Row
	last     uint64
	epoch    uint64
	old      storeCopy     // of before the first claim
	recent   storeCopy     // of the last tick
	late     *platform.Txn // a transaction that the store still performs
	nodes    [explicitInstances]*core
	cut      bool // the first holder has lost the store
	restores int
	token    Token // highest so far
	path     []string
}

func newWorld() *world {
	w := &world{rows: map[string]platform.Row{}, epoch: 1}
	for i := range w.nodes {
		w.nodes[i] = newCore(explicitTiming, Holder{fmt.Sprint("i", i), "0"}, []string{"orders"})
		w.nodes[i].setMembers([]string{"i0", "i1"})
	}
	for range 3 { // all know the epoch, and its first wait is over
		for i := range w.nodes {
			w.learn(i)
		}
		w.now += explicitTick
	}
	w.old = w.copy()
	w.last++ // another writer
	w.step(0, false)
	w.recent = w.copy()
	return w
}

// clone returns an independent copy.
func (w *world) clone() *world {
	c := *w
	c.rows = maps.Clone(w.rows)
	c.path = slices.Clone(w.path)
	for i, n := range w.nodes {
		c.nodes[i] = n.clone()
	}
	return &c
}

func (c *core) clone() *core {
	d := *c
	d.beat.inFlight = maps.Clone(c.beat.inFlight)
	d.held = maps.Clone(c.held)
	d.watched = map[string]*watch{}
	for duty, w := range c.watched {
		copied := *w
		d.watched[duty] = &copied
	}
	d.machines = d.newMachines()
	for duty, m := range c.machines {
		*d.machines[duty] = *m
	}
	d.events, d.faults = nil, nil
	return &d
}

func (w *world) reading() Reading { return Reading{Mono: w.now, Wall: w.now} }

func (w *world) learn(i int) {
	n := w.nodes[i]
	n.setEpoch(w.reading(), storeepoch.Epoch{Number: w.epoch, SeenAt: 1, Stated: true}, func() Holder {
		return Holder{n.instance, fmt.Sprint(w.epoch)}
	})
}

func (w *world) version(number uint64) uint64 {
	v, err := platform.NewRowVersion(w.epoch, number)
	if err != nil {
		panic(err)
	}
	return v
}

func (w *world) commit(txn platform.Txn) ([]uint64, error) {
	for _, check := range txn.Checks {
		if current := w.rows[check.Key].Version; current != platform.NumberOf(check.Version) {
			return nil, &platform.ConflictError{Key: check.Key, Current: w.version(current)}
		}
	}
	w.last++
	versions := make([]uint64, len(txn.Writes))
	for i, write := range txn.Writes {
		if write.Delete {
			delete(w.rows, write.Key)
			continue
		}
		w.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Version: w.last}
		versions[i] = w.version(w.last)
	}
	return versions, nil
}

// step renews an instance's heartbeat, reads what it watches, and makes the claim that is due.
// If late, the store performs the claim later, and the instance learns nothing of it.
func (w *world) step(i int, late bool) {
	n := w.nodes[i]
	w.learn(i)
	n.expire(w.reading())
	r := n.beat.renew(w.reading())
	versions, err := w.commit(r.Txn)
	if n.applyRenewal(w.reading(), r, versions, err) == nextNewIncarnation {
		n.startIncarnation(Holder{n.instance, fmt.Sprint(w.epoch, "+")})
	}
	for range 2 {
		var rows []platform.Row
		for _, key := range n.watchKeys() {
			row := w.rows[key]
			row.Key, row.Version = key, w.version(row.Version)
			rows = append(rows, row)
		}
		if err := n.observe(w.reading(), rows); err != nil {
			panic(err)
		}
	}
	at := w.reading()
	at.Mono += 10 * explicitTiming.RankDelay
	due, _ := n.dueClaims(at)
	for _, cl := range due {
		if late {
			w.late = &cl.Txn
			n.applyClaim(w.reading(), cl, nil, platform.ErrUnavailable)
			continue
		}
		versions, err := w.commit(cl.Txn)
		n.applyClaim(w.reading(), cl, versions, err)
	}
}

// performLate performs the transaction that was late, whatever the epoch.
func (w *world) performLate() {
	_, _ = w.commit(*w.late) // its sender learns nothing
	w.late = nil
}

func (w *world) copy() storeCopy { return storeCopy{rows: maps.Clone(w.rows), last: w.last} }

func (w *world) restore(from storeCopy) {
	w.rows, w.last = maps.Clone(from.rows), from.last
	w.recent = from
	w.epoch++
	w.restores++
}

// violation returns what is wrong with the state, or "".
func (w *world) violation() string {
	holders := 0
	for _, n := range w.nodes {
		token, ok := n.holds("orders", w.reading(), 0)
		if !ok {
			continue
		}
		holders++
		if token < w.token {
			return fmt.Sprintf("%s holds under token %d after token %d", n.instance, token, w.token)
		}
		w.token = token
	}
	if holders > 1 {
		return fmt.Sprintf("%d holders", holders)
	}
	return ""
}

// key identifies the state, with times relative to now.
func (w *world) key() string {
	var b strings.Builder
	ago := func(at time.Duration) time.Duration { return min(w.now-at, 3*explicitTick) }
	rows := func(rows map[string]platform.Row) {
		for _, key := range slices.Sorted(maps.Keys(rows)) {
			fmt.Fprintf(&b, "%s=%s@%d,", key, rows[key].Value, rows[key].Version)
		}
	}
	rows(w.rows)
	fmt.Fprintf(&b, "|%d %d %d %t %d|", w.last, w.epoch, w.restores, w.cut, w.token)
	rows(w.recent.rows)
	fmt.Fprintf(&b, "%d|", w.recent.last)
	if w.late != nil {
		fmt.Fprintf(&b, "%v|", *w.late)
	}
	for _, n := range w.nodes {
		fmt.Fprintf(&b, "%v %d %t %v %v %d/%v;", n.beat.holder, n.beat.version, n.beat.valid, ago(n.beat.validFrom.Mono), n.held, n.epoch.number, ago(n.epoch.since))
		if o := n.watched["orders"]; o != nil {
			fmt.Fprintf(&b, "%v %d %v %v %t %v;", o.row, o.version, o.heartbeatVersion, ago(o.heartbeatSince), o.free, ago(o.freeSince))
		}
	}
	return b.String()
}

// successors returns the states that one action leads to.
func (w *world) successors() []*world {
	var next []*world
	act := func(name string, f func(*world)) {
		c := w.clone()
		c.path = append(c.path, name)
		f(c)
		next = append(next, c)
	}
	act("tick", func(c *world) {
		c.now += explicitTick
		c.recent = c.copy()
	})
	for i := range w.nodes {
		if i == 0 && w.cut {
			continue
		}
		act(fmt.Sprint("step ", i), func(c *world) { c.step(i, false) })
		if _, holds := w.nodes[i].held["orders"]; holds {
			act(fmt.Sprint("late release by ", i), func(c *world) { c.late = &c.nodes[i].release([]string{"orders"}, eventReleased)[0] })
		}
	}
	if w.late == nil {
		act("late step 1", func(c *world) { c.step(1, true) })
	} else {
		act("late call", (*world).performLate)
	}
	if !w.cut {
		act("cut", func(c *world) { c.cut = true })
	}
	if w.restores < explicitRestores {
		act("restore from the old copy", func(c *world) { c.restore(c.old) })
		act("restore from the recent copy", func(c *world) { c.restore(c.recent) })
	}
	return next
}

// TestDutiesInEveryState guards against two holders of a duty at once, and against a token that is
// given twice or falls, over up to two restores of the store.
func TestDutiesInEveryState(t *testing.T) {
	start := newWorld()
	if _, ok := start.nodes[0].held["orders"]; !ok {
		t.Fatal("no instance holds the duty at the start")
	}
	e := &explorer{T: t, left: map[uint64]int{}}
	e.visit(start, explicitDepth)
	t.Logf("%d states", len(e.left))
	if e.claimed == 0 {
		t.Fatal("no duty was claimed after a restore")
	}
}

// explorer visits states depth first.
type explorer struct {
	*testing.T
	left    map[uint64]int // actions left at the visit of a state, by the hash of its key
	claimed int            // states with a duty that was claimed after a restore
}

func (e *explorer) visit(w *world, left int) {
	if wrong := w.violation(); wrong != "" {
		e.Fatalf("%s after %s", wrong, strings.Join(w.path, ", "))
	}
	if w.epoch > 1 && w.token >= nextToken(0, w.epoch) {
		e.claimed++
	}
	key := xxhash.Sum64String(w.key())
	if before, visited := e.left[key]; visited && before >= left {
		return
	}
	e.left[key] = left
	if left == 0 {
		return
	}
	for _, next := range w.successors() {
		e.visit(next, left-1)
	}
}
