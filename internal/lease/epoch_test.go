package lease

import (
	"errors"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
)

// epochTable is a table whose numbers a test sets, and the cores that use it.
type epochTable struct {
	*testing.T
	h *history
}

func newEpochTable(t *testing.T) *epochTable {
	return &epochTable{T: t, h: &history{rows: map[string]platform.Row{}, epoch: 1}}
}

// join returns a core that learns of the table's epoch at the given time and is alive then.
func (e *epochTable) join(instance string, at time.Duration) *core {
	c := newCore(Timing{}, Holder{instance, "0"}, []string{"orders"})
	c.setMembers([]string{"a", "b"})
	e.learn(c, at)
	return c
}

// learn lets a core learn of the table's epoch, and renews its heartbeat.
func (e *epochTable) learn(c *core, at time.Duration) {
	epoch := storeepoch.Epoch{Number: e.h.epoch, SeenAt: 1, Stated: true}
	c.setEpoch(Reading{Mono: at}, epoch, func() Holder { return Holder{c.instance, "later"} })
	e.renew(c, at)
}

func (e *epochTable) renew(c *core, at time.Duration) {
	e.Helper()
	r := c.beat.renew(Reading{Mono: at})
	versions, err := e.h.commit(r.Txn)
	if err != nil {
		e.Fatal(err)
	}
	c.applyRenewal(Reading{Mono: at}, r, versions, nil)
}

// rankDelay is more than the delay of any candidate's claim by its rank.
const rankDelay = 2 * DefaultRankDelay

// claims returns the claims that a core makes within rankDelay after it has read the rows.
func (e *epochTable) claims(c *core, at time.Duration) []claim {
	e.Helper()
	for range 2 { // the second read includes the holder's heartbeat row
		read := &call{keys: c.watchKeys()}
		e.h.effect(read)
		if err := c.observe(Reading{Mono: at}, read.rows); err != nil {
			e.Fatal(err)
		}
	}
	due, _ := c.dueClaims(Reading{Mono: at + rankDelay})
	return due
}

// claim makes the claim that is due and returns the token.
func (e *epochTable) claim(c *core, at time.Duration) Token {
	e.Helper()
	due := e.claims(c, at)
	if len(due) != 1 {
		e.Fatalf("%d claims are due", len(due))
	}
	versions, err := e.h.commit(due[0].Txn)
	if err != nil {
		e.Fatal(err)
	}
	c.applyClaim(Reading{Mono: at}, due[0], versions, nil)
	return due[0].Duties[0].Token
}

// restoreWithoutHeartbeats restores the table from a copy of before the present heartbeat rows.
func (e *epochTable) restoreWithoutHeartbeats() {
	e.h.epoch++
	maps.DeleteFunc(e.h.rows, func(key string, _ platform.Row) bool { return strings.HasPrefix(key, heartbeatPrefix) })
}

// setNumber gives the duty's row the number that a check expects, as if it had been given out
// again.
func (e *epochTable) setNumber(check platform.Check) {
	row := e.h.rows[check.Key]
	row.Version = platform.NumberOf(check.Version)
	e.h.rows[check.Key] = row
}

// afterWait is a time at which nothing of before zero matters any more.
const afterWait = DefaultLease + DefaultMargin + time.Second

// checkLate fails the test unless a transaction that is performed now changes nothing.
func (e *epochTable) checkLate(txn platform.Txn) {
	e.Helper()
	for _, check := range txn.Checks {
		if check.Version != 0 && check.Key == dutyKey("orders") {
			e.setNumber(check)
		}
	}
	var conflict *platform.ConflictError
	if _, err := e.h.commit(txn); !errors.As(err, &conflict) {
		e.Fatalf("a transaction of an earlier epoch that was performed late gave %v", err)
	}
}

// TestLateClaimAfterRestores guards against a claim of an earlier epoch that is performed late and
// takes a duty from its present holder, since the row has the number again that the claim
// expects.
func TestLateClaimAfterRestores(t *testing.T) {
	for restores := range fencedEpochs {
		e := newEpochTable(t)
		a := e.join("a", 0)
		e.renew(a, afterWait)
		e.claim(a, afterWait)
		for _, txn := range a.release([]string{"orders"}, eventReleased) {
			if _, err := e.h.commit(txn); err != nil {
				t.Fatal(err)
			}
		}
		late := e.claims(e.join("b", 2*afterWait), 2*afterWait)
		if len(late) != 1 {
			t.Fatal("a released duty is not claimed at once in the same epoch")
		}
		e.h.epoch += uint64(restores) + 1
		e.learn(a, 2*afterWait)
		e.renew(a, 3*afterWait)
		e.claim(a, 3*afterWait)
		e.checkLate(late[0].Txn)
	}
}

// TestLateReleaseAfterRestores guards against the same by a release, which frees the duty.
func TestLateReleaseAfterRestores(t *testing.T) {
	for restores := range fencedEpochs {
		e := newEpochTable(t)
		a, b := e.join("a", 0), e.join("b", 0)
		e.renew(a, afterWait)
		e.claim(a, afterWait)
		late := a.release([]string{"orders"}, eventReleased)
		delete(e.h.rows, a.beat.holder.heartbeatKey())
		e.h.epoch += uint64(restores) + 1
		e.learn(b, afterWait)
		e.renew(b, 2*afterWait)
		e.claim(b, 2*afterWait)
		e.checkLate(late[0])
	}
}

// TestDutyOfEarlierEpochIsWaitedFor guards against a claim while a holder of before a restore may
// still act, and against a wait that no restore asks for.
func TestDutyOfEarlierEpochIsWaitedFor(t *testing.T) {
	e := newEpochTable(t)
	a := e.join("a", time.Second) // knows of no other epoch
	if due := e.claims(a, time.Second); len(due) != 0 {
		t.Fatal("a duty is claimed although the store may just have lost its holder")
	}
	e.renew(a, time.Second+afterWait)
	before := e.claim(a, time.Second+afterWait)
	for range 3 {
		e.restoreWithoutHeartbeats()
		at := 10 * afterWait * time.Duration(e.h.epoch)
		e.learn(a, at)
		if _, ok := a.holds("orders", Reading{Mono: at}, 0); ok {
			t.Fatal("a duty of the epoch before is still held")
		}
		early := at + DefaultLease - rankDelay
		e.renew(a, early)
		if due := e.claims(a, early); len(due) != 0 {
			t.Fatal("a duty is claimed although its holder may still act")
		}
		e.renew(a, at+afterWait)
		after := e.claim(a, at+afterWait)
		if after <= before {
			t.Fatalf("token %d follows token %d", after, before)
		}
		before = after
	}
}

// TestUnstatedEpochChangesNothing checks that a store that states no epoch is used as one that is
// never restored.
func TestUnstatedEpochChangesNothing(t *testing.T) {
	e := newEpochTable(t)
	e.h.epoch = 0
	c := newCore(Timing{}, Holder{"a", "0"}, []string{"orders"})
	c.setEpoch(Reading{Mono: time.Second}, storeepoch.Epoch{SeenAt: 1}, nil)
	e.renew(c, time.Second)
	due := e.claims(c, time.Second)
	if len(due) != 1 || len(due[0].Txn.Checks) != 1 || len(due[0].Txn.Writes) != 1 || due[0].Duties[0].Token != 1 {
		t.Fatalf("claims %+v", due)
	}
}

// TestRenewalOfFormerIncarnation guards against an outcome of before a restore that extends the
// lease of after it.
func TestRenewalOfFormerIncarnation(t *testing.T) {
	e := newEpochTable(t)
	c := e.join("a", 0)
	r := c.beat.renew(Reading{Mono: time.Second})
	e.h.epoch++
	c.setEpoch(Reading{Mono: time.Second}, storeepoch.Epoch{Number: 2, SeenAt: 1, Stated: true}, func() Holder { return Holder{"a", "1"} })
	c.applyRenewal(Reading{Mono: time.Second}, r, []uint64{9}, nil)
	if c.beat.valid || c.beat.version != 0 {
		t.Fatalf("the renewal of another incarnation gave version %d", c.beat.version)
	}
}
