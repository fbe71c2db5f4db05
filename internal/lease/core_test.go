package lease

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"pgregory.net/rapid"
)

// fate is what becomes of one call.
type fate int

const (
	fateDone      fate = iota // effect and reply
	fateNoEffect              // lost on the way
	fateLostReply             // effect, no reply
	fateLate                  // effect after the caller gave up
)

// node is one instance of a simulated history. Its clock starts anywhere and
// runs at its own rate within the drift bound.
type node struct {
	*core
	offset  time.Duration
	rate    float64
	awake   time.Duration // paused until then
	renewAt Reading
}

func (n *node) reading(at time.Duration) Reading {
	own := n.offset + time.Duration(float64(at)*n.rate)
	return Reading{Mono: own, Wall: own}
}

// lateTxn is a transaction still on its way.
type lateTxn struct {
	at  time.Duration
	txn platform.Txn
}

// history drives several cores and a table through random interleavings.
type history struct {
	*rapid.T
	now    time.Duration
	rows   map[string]platform.Row
	last   uint64
	late   []lateTxn
	nodes  []*node
	tokens map[string]Token // highest token acquired by duty
	reborn int
}

var simulatedDuties = []string{"orders", "usage"}

func newHistory(t *rapid.T) *history {
	h := &history{T: t, rows: make(map[string]platform.Row), tokens: make(map[string]Token)}
	for i := range 3 {
		name := fmt.Sprintf("i%d", i)
		rate := 1 + float64(rapid.IntRange(-5, 5).Draw(t, "rate"))/1000
		offset := time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second
		n := &node{core: newCore(Timing{}, Holder{name, "0"}, simulatedDuties), rate: rate, offset: offset}
		n.setMembers([]string{"i0", "i1", "i2"})
		n.renewAt = n.reading(0)
		h.nodes = append(h.nodes, n)
	}
	return h
}

// apply commits a transaction.
func (h *history) apply(txn platform.Txn) ([]uint64, error) {
	for _, check := range txn.Checks {
		if current := h.rows[check.Key].Version; current != check.Version {
			return nil, &platform.ConflictError{Key: check.Key, Current: current}
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
		versions = append(versions, h.last)
	}
	return versions, nil
}

// advance moves the time on and lets transactions that are due take effect.
func (h *history) advance(by time.Duration) {
	h.now += by
	var waiting []lateTxn
	for _, l := range h.late {
		if l.at > h.now {
			waiting = append(waiting, l)
			continue
		}
		_, _ = h.apply(l.txn)
	}
	h.late = waiting
}

// commit makes a call with a random fate; the reply takes its time.
func (h *history) commit(txn platform.Txn) ([]uint64, error) {
	weighted := []fate{fateDone, fateDone, fateDone, fateDone, fateDone, fateNoEffect, fateLostReply, fateLate}
	switch rapid.SampledFrom(weighted).Draw(h.T, "fate") {
	case fateNoEffect:
		return nil, platform.ErrUnavailable
	case fateLostReply:
		_, _ = h.apply(txn)
		return nil, platform.ErrUnavailable
	case fateLate:
		delay := time.Duration(rapid.IntRange(1, 15000).Draw(h.T, "late")) * time.Millisecond
		h.late = append(h.late, lateTxn{h.now + delay, txn})
		return nil, platform.ErrUnavailable
	}
	h.advance(h.latency())
	versions, err := h.apply(txn)
	h.advance(h.latency())
	return versions, err
}

// latency is mostly small and now and then long, as in a pause between the call
// and its reply.
func (h *history) latency() time.Duration {
	if rapid.IntRange(0, 9).Draw(h.T, "slow") == 0 {
		return time.Duration(rapid.IntRange(0, 12000).Draw(h.T, "latency")) * time.Millisecond
	}
	return time.Millisecond
}

func (h *history) get(keys []string) ([]platform.Row, error) {
	if rapid.IntRange(0, 9).Draw(h.T, "read") == 0 {
		return nil, platform.ErrUnavailable
	}
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		row := h.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	h.advance(h.latency())
	return rows, nil
}

// renew makes one renewal as the Manager does.
func (h *history) renew(n *node) {
	if n.renewAt.Mono > n.reading(h.now).Mono {
		return
	}
	r := n.beat.renew(n.reading(h.now))
	versions, err := h.commit(r.Txn)
	step := n.renewed(n.reading(h.now), r, versions, err)
	if step == nextReadBack {
		step = nextWait
		if rows, err := h.get([]string{n.beat.holder.aliveKey()}); err == nil {
			step = n.readBack(n.reading(h.now), rows[0])
		}
	}
	if step == nextReborn {
		h.reborn++
		n.core.reborn(Holder{n.instance, fmt.Sprint(h.reborn)})
	}
	n.renewAt = n.reading(h.now)
	n.renewAt.Mono += n.timing.Heartbeat
	if err != nil {
		n.renewAt.Mono -= n.timing.Heartbeat - n.timing.Retry
	}
}

// claim reads and claims as the Manager does.
func (h *history) claim(n *node) {
	rows, err := h.get(n.watchKeys())
	if err == nil {
		err = n.observe(n.reading(h.now), rows)
		if err != nil {
			h.Fatal(err)
		}
	}
	due, _ := n.claims(n.reading(h.now))
	for _, cl := range due {
		versions, err := h.commit(cl.Txn)
		n.claimed(n.reading(h.now), cl, versions, err)
		token, ok := n.holds(cl.Duty, n.reading(h.now), 0)
		if err == nil && ok {
			h.acquired(n, cl.Duty, token)
		}
	}
}

// acquired demands that fencing tokens rise.
func (h *history) acquired(n *node, duty string, token Token) {
	if token <= h.tokens[duty] {
		h.Fatalf("%s acquired %q under token %d after token %d", n.instance, duty, token, h.tokens[duty])
	}
	h.tokens[duty] = token
}

// checkExclusive demands that at most one instance believes to hold a duty,
// paused ones included.
func (h *history) checkExclusive() {
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

// step runs one instance, or pauses it, or has it release.
func (h *history) step(n *node) {
	if n.awake > h.now {
		return
	}
	switch rapid.IntRange(0, 19).Draw(h.T, "step") {
	case 0:
		n.awake = h.now + time.Duration(rapid.IntRange(1, 20000).Draw(h.T, "pause"))*time.Millisecond
	case 1:
		for _, txn := range n.release(n.heldDuties()) {
			_, _ = h.commit(txn)
		}
	default:
		n.expire(n.reading(h.now))
		h.renew(n)
		h.checkExclusive()
		h.claim(n)
	}
}

func TestAtMostOneInstanceBelievesToHoldADuty(t *testing.T) {
	acquired := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range 60 {
			h.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "advance")) * time.Millisecond)
			for _, n := range h.nodes {
				h.step(n)
				h.checkExclusive()
			}
		}
		for _, token := range h.tokens {
			acquired += int(token)
		}
	})
	if acquired == 0 {
		t.Fatal("no duty was ever acquired")
	}
}

func TestLateCreationDoesNotReviveAnIncarnation(t *testing.T) {
	h := newHeartbeat(Timing{}.withDefaults(), Holder{"a", "0"})
	r := h.renew(Reading{})
	if step := h.renewed(r, nil, platform.ErrUnavailable); step != nextReborn {
		t.Fatalf("creation of unknown outcome is followed by %d, not by a new incarnation", step)
	}
}

func TestLeaseLastsFromBeforeTheRenewalWasSent(t *testing.T) {
	timing := Timing{}.withDefaults()
	h := newHeartbeat(timing, Holder{"a", "0"})
	r := h.renew(Reading{})
	h.renewed(r, []uint64{1}, nil)
	end := timing.Lease - timing.Drift
	before, after := end-time.Millisecond, end
	if !h.alive(Reading{Mono: before, Wall: before}, 0) || h.alive(Reading{Mono: after, Wall: before}, 0) {
		t.Fatalf("lease does not end after %v", end)
	}
	if h.alive(Reading{Mono: before, Wall: after}, 0) {
		t.Fatal("lease outlives a suspension that only the wall clock shows")
	}
}

func TestLostRenewalIsFoundByReadingBack(t *testing.T) {
	h := newHeartbeat(Timing{}.withDefaults(), Holder{"a", "0"})
	h.renewed(h.renew(Reading{}), []uint64{1}, nil)
	at := Reading{Mono: 4 * time.Second}
	lost := h.renew(at)
	if step := h.renewed(lost, nil, platform.ErrUnavailable); step != nextReadBack {
		t.Fatalf("unknown outcome is followed by %d", step)
	}
	h.readBack(platform.Row{Version: 2, Value: lost.Txn.Writes[0].Value})
	if h.from != at || h.version != 2 {
		t.Fatalf("lease lasts from %v at version %d", h.from, h.version)
	}
}

func TestAssignmentSpreadsDutiesAndMovesFew(t *testing.T) {
	var duties, members []string
	for i := range 64 {
		duties = append(duties, fmt.Sprintf("duty-%02d", i))
	}
	for i := range 8 {
		members = append(members, fmt.Sprintf("instance-%d", i))
	}
	before := assign(duties, members)
	load := make(map[string]int)
	for _, list := range before {
		load[list[0]]++
	}
	for member, n := range load {
		if n > loadLimit(len(duties), len(members)) {
			t.Errorf("%s is the first candidate of %d duties", member, n)
		}
	}
	after := assign(duties, slices.Delete(slices.Clone(members), 3, 4))
	moved := 0
	for duty, list := range before {
		if list[0] != after[duty][0] && list[0] != "instance-3" {
			moved++
		}
	}
	if moved > len(duties)/4 {
		t.Errorf("%d of %d duties moved between instances that stayed", moved, len(duties))
	}
}

func TestWrongRowIsReported(t *testing.T) {
	c := newCore(Timing{}, Holder{"a", "0"}, []string{"orders"})
	err := c.observe(Reading{}, []platform.Row{{Key: dutyKey("orders"), Version: 1, Value: []byte("{")}})
	if err == nil || errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("row that is no JSON gave %v", err)
	}
}
