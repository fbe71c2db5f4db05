package lease

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"pgregory.net/rapid"
)

// call is one call of the table in flight. It takes effect and ends at any time after its
// start; other instances act in between.
type call struct {
	start    time.Duration
	effectAt time.Duration
	endAt    time.Duration // when the caller receives the reply or times out
	lost     bool          // never takes effect
	timesOut bool          // the caller times out
	effected bool
	keys     []string // of a read; nil for a transaction
	txn      platform.Txn
	rows     []platform.Row
	versions []uint64
	err      error
	end      func(*call)

	node    *node
	known   uint64 // epoch of the store that the node knew at the start
	epoch   uint64 // epoch in which the call took effect
	refused bool   // not sent, since it checks a version of another epoch
}

// node is one instance of a simulated history. Its clock has an arbitrary offset and a
// rate error within the drift bound.
type node struct {
	*core
	offset          time.Duration
	rate            float64
	pausedUntil     time.Duration // paused until then
	readsFailUntil  time.Duration // reads fail until then
	writesFailUntil time.Duration // writes fail until then
	renewAt         time.Duration
	watchAt         time.Duration
	renewing        bool
	watching        bool
}

func (n *node) reading(at time.Duration) Reading {
	own := n.offset + time.Duration(float64(at)*n.rate)
	return Reading{Mono: own, Wall: own}
}

// history drives several cores and a table through a random interleaving of calls.
type history struct {
	*rapid.T
	now          time.Duration
	rows         map[string]platform.Row // versions are numbers without an epoch
	last         uint64
	epoch        uint64
	restores     bool // the store may come back from a copy
	copies       []storeCopy
	calls        []*call
	nodes        []*node
	tokens       map[string]Token // highest token under which each duty was acquired
	incarnations int
	acquired     int
	restored     int
}

// storeCopy is a copy of the table.
type storeCopy struct {
	at   time.Duration
	rows map[string]platform.Row
	last uint64
}

// maxCopyAge is the age of the oldest copy that is kept.
const maxCopyAge = 10 * time.Second

// keepCopy keeps a copy of the table as it is now.
func (h *history) keepCopy() {
	h.copies = append(h.copies, storeCopy{at: h.now, rows: maps.Clone(h.rows), last: h.last})
	for h.now-h.copies[0].at > maxCopyAge {
		h.copies = h.copies[1:]
	}
}

// restore replaces the table by an older copy, whose numbers are given out again. Later copies
// are gone with what they hold.
func (h *history) restore() {
	i := rapid.IntRange(0, len(h.copies)-1).Draw(h.T, "copy")
	h.rows, h.last = maps.Clone(h.copies[i].rows), h.copies[i].last
	h.copies = h.copies[:i+1]
	h.epoch++
	h.restored++
}

// learn lets a node learn of the store's epoch.
func (h *history) learn(n *node, epoch uint64) {
	n.setEpoch(n.reading(h.now), storeepoch.Epoch{Number: epoch, SeenAt: 1, Stated: true}, func() Holder {
		h.incarnations++
		return Holder{n.instance, fmt.Sprint(h.incarnations)}
	})
}

// restart replaces the process of a node by one that knows nothing. Its calls may still take
// effect.
func (h *history) restart(n *node) {
	h.incarnations++
	n.core = newCore(Timing{}, Holder{n.instance, fmt.Sprint(h.incarnations)}, simulatedDuties)
	n.setMembers([]string{"i0", "i1", "i2"})
	n.renewing, n.watching = false, false
}

// Kinds of steps. Most steps are plain.
const (
	stepPlain = iota
	stepPause
	stepFailReads
	stepFailWrites
	stepRelease
	stepRestore
	stepLearn   // of the store's epoch, from another table
	stepRestart // of the instance
)

var steps = append(slices.Repeat([]int{stepPlain}, 100), stepPause, stepFailReads, stepFailWrites, stepFailWrites, stepRelease)

// stepsWithRestores also have the store come back from copies, mostly in series.
var stepsWithRestores = append(slices.Clone(steps), stepRestore, stepRestart, stepLearn, stepLearn, stepLearn, stepLearn)

var simulatedDuties = []string{"orders", "usage"}

func newHistory(t *rapid.T, restores bool) *history {
	h := &history{T: t, restores: restores, rows: make(map[string]platform.Row), tokens: make(map[string]Token)}
	for i := range 3 {
		name := fmt.Sprintf("i%d", i)
		rate := 1 + float64(rapid.IntRange(-5, 5).Draw(t, "rate"))/1000
		offset := time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second
		n := &node{core: newCore(Timing{}, Holder{name, "0"}, simulatedDuties), rate: rate, offset: offset}
		n.setMembers([]string{"i0", "i1", "i2"})
		h.nodes = append(h.nodes, n)
	}
	return h
}

// commit applies a transaction.
func (h *history) commit(txn platform.Txn) ([]uint64, error) {
	for _, check := range txn.Checks {
		if current := h.rows[check.Key].Version; current != platform.NumberOf(check.Version) {
			return nil, &platform.ConflictError{Key: check.Key, Current: h.version(current)}
		}
	}
	h.last++
	var versions []uint64
	for _, w := range txn.Writes {
		if w.Delete {
			delete(h.rows, w.Key)
			versions = append(versions, 0)
			continue
		}
		h.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: h.last}
		versions = append(versions, h.version(h.last))
	}
	return versions, nil
}

// version returns the version of a number of the present epoch.
func (h *history) version(number uint64) uint64 {
	v, err := platform.NewRowVersion(h.epoch, number)
	if err != nil {
		h.Fatal(err)
	}
	return v
}

// effect executes a call.
func (h *history) effect(c *call) {
	c.effected = true
	if c.lost || c.refused {
		return
	}
	c.epoch = h.epoch
	if c.keys == nil {
		c.versions, c.err = h.commit(c.txn)
		return
	}
	for _, key := range c.keys {
		row := h.rows[key]
		row.Key, row.Version = key, h.version(row.Version)
		c.rows = append(c.rows, row)
	}
}

// advance moves the time forward. Calls take effect in the order of effectAt.
func (h *history) advance(by time.Duration) {
	h.now += by
	slices.SortStableFunc(h.calls, func(a, b *call) int { return int(a.effectAt - b.effectAt) })
	var waiting []*call
	for _, c := range h.calls {
		if c.effectAt > h.now {
			waiting = append(waiting, c)
			continue
		}
		h.effect(c)
	}
	h.calls = waiting
	if h.restores {
		h.keepCopy()
	}
}

// latency returns a latency that is usually small, sometimes longer than the caller's
// timeout, and sometimes longer than the lease.
func (h *history) latency() time.Duration {
	bound := rapid.SampledFrom([]int{20, 20, 20, 20, 20, 20, 1500, 4000, 16000}).Draw(h.T, "bound")
	return time.Duration(rapid.IntRange(1, bound).Draw(h.T, "latency")) * time.Millisecond
}

// begin starts a call.
func (h *history) begin(n *node, c *call) {
	c.node, c.known = n, n.epoch.number
	for _, check := range c.txn.Checks {
		if check.Version != 0 && platform.EpochOf(check.Version) != c.known {
			c.refused, c.err = true, &platform.ConflictError{Key: check.Key}
		}
	}
	c.start = h.now
	c.effectAt = h.now + h.latency()
	replyAt := c.effectAt + h.latency()
	failUntil := n.writesFailUntil
	if c.keys != nil {
		failUntil = n.readsFailUntil
	}
	c.lost = failUntil > h.now || rapid.IntRange(0, 19).Draw(h.T, "lost") == 0
	c.timesOut = c.lost || rapid.IntRange(0, 9).Draw(h.T, "silent") == 0 || replyAt > h.now+n.timing.Call
	c.endAt = min(replyAt, h.now+n.timing.Call)
	if c.timesOut {
		c.endAt = h.now + n.timing.Call
	}
	h.calls = append(h.calls, c)
}

// deliver ends a call that is due, and reports whether it did.
func (h *history) deliver(c *call) bool {
	if c.endAt > h.now {
		return false
	}
	if !c.refused && (c.timesOut || !h.believed(c)) {
		c.versions, c.rows, c.err = nil, nil, platform.ErrUnavailable
	}
	c.end(c)
	return true
}

// believed lets the node learn of the epoch in which the call took effect, and reports whether
// its outcome counts, as the adapter does.
func (h *history) believed(c *call) bool {
	if !h.restores {
		return true
	}
	if c.epoch < c.node.epoch.number {
		return false
	}
	h.learn(c.node, c.epoch)
	return c.keys != nil || c.epoch == c.known || len(c.txn.Checks) == 0 || c.err != nil
}

// renew starts a renewal as the Manager does.
func (h *history) renew(n *node, pending *[]*call) {
	if n.renewing || n.renewAt > h.now {
		return
	}
	n.renewing = true
	r := n.beat.renew(n.reading(h.now))
	c := &call{txn: r.Txn}
	c.end = func(c *call) {
		step := n.applyRenewal(n.reading(h.now), r, c.versions, c.err)
		h.renewEnded(n, c.err, step, pending)
	}
	h.begin(n, c)
	*pending = append(*pending, c)
}

func (h *history) renewEnded(n *node, err error, step nextStep, pending *[]*call) {
	n.renewAt = h.now + n.timing.Heartbeat - n.timing.Retry
	if err != nil {
		n.renewAt = h.now + n.timing.Retry
	}
	switch step {
	case nextNewIncarnation:
		h.incarnations++
		n.core.startIncarnation(Holder{n.instance, fmt.Sprint(h.incarnations)})
	case nextReadBack:
		c := &call{keys: []string{n.beat.holder.heartbeatKey()}}
		c.end = func(c *call) {
			step := nextWait
			if c.err == nil {
				step = n.applyReadBack(n.reading(h.now), c.rows[0])
			}
			h.renewEnded(n, c.err, step, pending)
		}
		h.begin(n, c)
		*pending = append(*pending, c)
		return
	}
	n.renewing = false
}

// watch starts a read or a claim as the Manager does.
func (h *history) watch(n *node, pending *[]*call) {
	if n.watching {
		return
	}
	if n.watchAt <= h.now {
		n.watchAt = h.now + n.timing.Watch
		h.read(n, pending)
		return
	}
	due, _ := n.dueClaims(n.reading(h.now))
	if len(due) == 0 {
		return
	}
	n.watching = true
	cl := due[0]
	c := &call{txn: cl.Txn}
	c.end = func(c *call) {
		n.watching = false
		n.applyClaim(n.reading(h.now), cl, c.versions, c.err)
		for _, t := range cl.Duties {
			if token, ok := n.holds(t.Duty, n.reading(h.now), 0); c.err == nil && ok {
				h.checkToken(n, t.Duty, token)
			}
		}
	}
	h.begin(n, c)
	*pending = append(*pending, c)
}

func (h *history) read(n *node, pending *[]*call) {
	keys := n.watchKeys()
	if len(keys) == 0 {
		return
	}
	n.watching = true
	c := &call{keys: keys}
	c.end = func(c *call) {
		n.watching = false
		if c.err != nil {
			return
		}
		if err := n.observe(n.reading(h.now), c.rows); err != nil {
			h.Fatal(err)
		}
	}
	h.begin(n, c)
	*pending = append(*pending, c)
}

// checkToken checks that fencing tokens increase.
func (h *history) checkToken(n *node, duty string, token Token) {
	if token <= h.tokens[duty] {
		h.Fatalf("%s acquired %q under token %d after token %d", n.instance, duty, token, h.tokens[duty])
	}
	h.tokens[duty] = token
	h.acquired++
}

// checkExclusive checks that at most one instance considers itself the holder of a duty,
// paused instances included.
func (h *history) checkExclusive() {
	for _, n := range h.nodes {
		for _, fault := range n.takeFaults() {
			h.Fatal(fault)
		}
	}
	for _, duty := range simulatedDuties {
		var holders []string
		for _, n := range h.nodes {
			if _, ok := n.holds(duty, n.reading(h.now), 0); ok {
				holders = append(holders, n.instance)
			}
		}
		if len(holders) > 1 {
			h.Fatalf("%q is held by %v at %v", duty, holders, h.now)
		}
	}
}

// release releases the duties of one instance.
func (h *history) release(n *node) {
	for _, txn := range n.release(n.heldDuties(), eventReleased) {
		h.begin(n, &call{txn: txn, end: func(*call) {}})
	}
}

// fault returns the duration of a fault, which is about the length of a lease.
func (h *history) fault() time.Duration {
	seconds := rapid.SampledFrom([]int{3, 8, 9, 10, 12, 20}).Draw(h.T, "fault")
	return time.Duration(seconds)*time.Second + h.latency()
}

// step runs one instance, and may inject a fault or release its duties.
func (h *history) step(n *node, pending *[]*call) {
	if n.pausedUntil > h.now {
		return
	}
	kinds := steps
	if h.restores {
		kinds = stepsWithRestores
	}
	switch rapid.SampledFrom(kinds).Draw(h.T, "step") {
	case stepRestore:
		h.restore()
	case stepLearn:
		h.learn(n, h.epoch)
	case stepRestart:
		h.restart(n)
		*pending = nil
		return
	case stepPause:
		n.pausedUntil = h.now + h.fault()
		return
	case stepFailReads:
		n.readsFailUntil = h.now + h.fault()
	case stepFailWrites:
		n.writesFailUntil = h.now + h.fault()
	case stepRelease:
		h.release(n)
	}
	calls := *pending
	*pending = nil
	for _, c := range calls {
		if !h.deliver(c) {
			*pending = append(*pending, c)
		}
		h.checkExclusive()
	}
	if rapid.Bool().Draw(h.T, "expire") {
		n.expire(n.reading(h.now)) // the Manager's loops run in any order
	}
	h.renew(n, pending)
	h.watch(n, pending)
}

func TestLeaseMutualExclusion(t *testing.T) { checkHistories(t, false) }

// TestLeaseMutualExclusionOverRestores guards against two holders at once, and against a token
// that is given twice or falls, when the store comes back from older copies and gives its
// version numbers out again.
func TestLeaseMutualExclusionOverRestores(t *testing.T) { checkHistories(t, true) }

func checkHistories(t *testing.T, restores bool) {
	acquired, restored, checks := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t, restores)
		if restores {
			h.epoch = uint64(rapid.IntRange(0, 1).Draw(t, "first epoch"))
		}
		pending := make([][]*call, len(h.nodes))
		for range 400 {
			h.advance(time.Duration(rapid.IntRange(100, 900).Draw(t, "advance")) * time.Millisecond)
			for i, n := range h.nodes {
				h.step(n, &pending[i])
				h.checkExclusive()
			}
		}
		checks++
		acquired += h.acquired
		restored += h.restored
	})
	if acquired < checks {
		t.Fatalf("%d duties acquired in %d histories", acquired, checks)
	}
	t.Logf("%d duties acquired in %d histories with %d restores", acquired, checks, restored)
}
