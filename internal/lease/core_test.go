package lease

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

func TestHeartbeatUnknownCreation(t *testing.T) {
	h := newHeartbeat(Timing{}.withDefaults(), Holder{"a", "0"})
	r := h.renew(Reading{})
	if step := h.renewed(r, nil, platform.ErrUnavailable); step != nextNewIncarnation {
		t.Fatalf("creation of unknown outcome is followed by %d, not by a new incarnation", step)
	}
}

func TestLeaseStartsAtRenewalSend(t *testing.T) {
	timing := Timing{}.withDefaults()
	h := newHeartbeat(timing, Holder{"a", "0"})
	r := h.renew(Reading{})
	h.renewed(r, []uint64{1}, nil)
	end := timing.Lease - timing.Drift
	before, after := end-time.Millisecond, end
	if !h.alive(Reading{Mono: before, Wall: before}, 0) || h.alive(Reading{Mono: after, Wall: before}, 0) {
		t.Fatalf("lease does not end %v after the renewal was sent", end)
	}
	if h.alive(Reading{Mono: before, Wall: after}, 0) {
		t.Fatal("lease outlives a suspension that only the wall clock shows")
	}
}

func TestHeartbeatReadBack(t *testing.T) {
	h := newHeartbeat(Timing{}.withDefaults(), Holder{"a", "0"})
	h.renewed(h.renew(Reading{}), []uint64{1}, nil)
	at := Reading{Mono: 4 * time.Second}
	lost := h.renew(at)
	if step := h.renewed(lost, nil, platform.ErrUnavailable); step != nextReadBack {
		t.Fatalf("unknown outcome is followed by %d", step)
	}
	h.readBack(platform.Row{Version: 2, Value: lost.Txn.Writes[0].Value})
	if h.validFrom != at || h.version != 2 {
		t.Fatalf("lease lasts from %v at version %d", h.validFrom, h.version)
	}
}

func TestAssignBalancesDuties(t *testing.T) {
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
		if n > maxDuties(len(duties), len(members)) {
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

func TestObserveRejectsInvalidRow(t *testing.T) {
	c := newCore(Timing{}, Holder{"a", "0"}, []string{"orders"})
	err := c.observe(Reading{}, []platform.Row{{Key: dutyKey("orders"), Version: 1, Value: []byte("{")}})
	if err == nil || errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("invalid JSON in a row gave %v", err)
	}
}

// dueClaim returns the claim of an instance that last saw a change of the holder's
// heartbeat row a lease ago, and the table that it read.
func dueClaim(t *testing.T, c *core) (*history, claim) {
	t.Helper()
	holder := Holder{"b", "0"}
	h := &history{rows: make(map[string]platform.Row)}
	_, err := h.commit(platform.Txn{Writes: []platform.Write{
		{Key: dutyKey("orders"), Value: encode(dutyRow{Holder: holder, Token: 1})},
		{Key: holder.heartbeatKey(), Value: encode(heartbeatRow{Sequence: 1})},
	}})
	if err != nil {
		t.Fatal(err)
	}
	c.beat.confirm(c.beat.renew(Reading{Mono: 8 * time.Second}).Sequence, 1)
	for range 2 { // the second read includes the holder's heartbeat row
		read := &call{keys: c.watchKeys()}
		h.effect(read)
		if err := c.observe(Reading{}, read.rows); err != nil {
			t.Fatal(err)
		}
	}
	due, _ := c.dueClaims(Reading{Mono: 10 * time.Second})
	if len(due) != 1 {
		t.Fatalf("%d claims are due", len(due))
	}
	return h, due[0]
}

func TestClaimConflictsWithRenewal(t *testing.T) {
	c := newCore(Timing{}, Holder{"a", "0"}, []string{"orders"})
	h, cl := dueClaim(t, c)
	renewed := platform.Txn{Writes: []platform.Write{{Key: Holder{"b", "0"}.heartbeatKey()}}}
	if _, err := h.commit(renewed); err != nil {
		t.Fatal(err)
	}
	var conflict *platform.ConflictError
	if _, err := h.commit(cl.Txn); !errors.As(err, &conflict) {
		t.Fatalf("claim against a renewed heartbeat row gave %v", err)
	}
}

func TestClaimOfFormerIncarnation(t *testing.T) {
	c := newCore(Timing{}, Holder{"a", "0"}, []string{"orders"})
	h, cl := dueClaim(t, c)
	versions, err := h.commit(cl.Txn)
	if err != nil {
		t.Fatal(err)
	}
	now := Reading{Mono: 10 * time.Second}
	c.startIncarnation(Holder{"a", "1"})
	c.beat.confirm(c.beat.renew(now).Sequence, 9)
	c.applyClaim(now, cl, versions, nil)
	if _, ok := c.holds("orders", now, 0); ok {
		t.Fatal("new incarnation holds what the former one claimed")
	}
}
