package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
)

// flakyTable delays calls and drops replies. If severe is set, it also rejects
// writes and applies writes late.
type flakyTable struct {
	platform.Table
	mu     sync.Mutex
	random *rand.Rand
	severe bool // also reject writes and apply writes late
}

func (f *flakyTable) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *flakyTable) delay(maxDelay time.Duration) {
	time.Sleep(time.Duration(f.draw(int(maxDelay))))
}

func (f *flakyTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	f.delay(100 * time.Millisecond)
	if f.draw(5) == 0 {
		return nil, platform.ErrUnavailable
	}
	return f.Table.Get(context.WithoutCancel(ctx), keys...)
}

func (f *flakyTable) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	f.delay(200 * time.Millisecond)
	ctx = context.WithoutCancel(ctx)
	switch kind := f.draw(10); {
	case kind < 2:
		_, _ = f.Table.Commit(ctx, txn)
		return nil, platform.ErrUnavailable
	case kind < 4 && f.severe:
		return nil, platform.ErrUnavailable
	case kind < 6 && f.severe:
		late := time.Duration(f.draw(int(5 * time.Second)))
		go func() {
			time.Sleep(late)
			_, _ = f.Table.Commit(ctx, txn)
		}()
		return nil, platform.ErrUnavailable
	}
	return f.Table.Commit(ctx, txn)
}

// history is one random history of claims of one key through two instances.
type history struct {
	seed   uint64
	severe bool

	mu         sync.Mutex
	random     *rand.Rand
	started    time.Time
	dispatched []string // ids of the attempts that were sent
	violations []string
	operations []porcupine.Operation
}

func (h *history) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) recordOperation(client int, in operation, call time.Time, out string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: int64(call.Sub(h.started)), Return: int64(time.Since(h.started)),
	})
}

// run runs the claims concurrently to their end and then makes one more claim.
func (h *history) run(t *testing.T, claims int) {
	h.started = time.Now()
	defer time.Sleep(time.Minute) // for writes that are applied late
	p := standin.New(standin.Options{})
	defer p.Close()
	var ledgers []*Ledger
	for i, name := range []string{"a", "b"} {
		table := &flakyTable{
			Table: p.Caller(name).Table(), severe: h.severe,
			random: rand.New(rand.NewPCG(h.seed, uint64(i))),
		}
		l := New(table, p.Caller(name).Objects(), Options{MaxWait: 5 * time.Second})
		defer l.Close(context.Background())
		ledgers = append(ledgers, l)
	}
	var wg sync.WaitGroup
	for i := range claims {
		wg.Go(func() { h.runClaim(t, ledgers[i%len(ledgers)], i) })
	}
	wg.Wait()
	time.Sleep(5 * time.Minute) // late inserts have been removed
	h.runClaim(t, ledgers[0], claims)
	if len(h.dispatched) > 1 {
		h.addViolation("dispatched by %v", h.dispatched)
	}
}

// runClaim simulates one caller's request. It starts after a random delay. If
// it owns the record, it is released, lost or answered, or its instance
// crashes.
func (h *history) runClaim(t *testing.T, l *Ledger, client int) {
	time.Sleep(time.Duration(h.draw(int(3 * time.Second))))
	c := newClaim(fmt.Sprintf("attempt-%d", client))
	c.Deadline = time.Now().Add(20 * time.Second)
	call := time.Now()
	d, refusal := l.Begin(t.Context(), c)
	h.recordOperation(client, operation{kind: "begin", attempt: c.Attempt}, call, outcomeText(c, d, refusal))
	if refusal != nil && refusal.NotRun() && c.Gate.Open() {
		h.addViolation("%s was refused as not run but may still be sent", c.Attempt)
	}
	if refusal != nil && refusal.NotRun() && refusal.Code != result.LedgerUnavailable {
		h.addViolation("%s: duplicate refused as not run: %v", c.Attempt, refusal)
	}
	if d.Owned != nil {
		h.finishClaim(t, d.Owned, c, client)
	}
}

func (h *history) finishClaim(t *testing.T, o *Owned, c Claim, client int) {
	time.Sleep(time.Duration(h.draw(int(40 * time.Second)))) // the instance is paused before it sends
	call := time.Now()
	choice := h.draw(5)
	if time.Now().After(o.SendBefore) || choice == 0 {
		proof, ok := c.Gate.Seal()
		if !ok {
			h.addViolation("%s: gate open before dispatch", c.Attempt)
		}
		o.Release(t.Context(), proof)
		h.recordOperation(client, operation{kind: "release", attempt: c.Attempt}, call, "")
		return
	}
	c.Gate.Open()
	h.mu.Lock()
	h.dispatched = append(h.dispatched, c.Attempt)
	h.mu.Unlock()
	switch choice {
	case 1: // the instance crashes
	case 2:
		o.Lost(t.Context())
		h.recordOperation(client, operation{kind: "lost", attempt: c.Attempt}, call, "")
	default:
		o.Complete(t.Context(), Answer{Status: 200, Body: []byte(c.Attempt)})
		h.recordOperation(client, operation{kind: "complete", attempt: c.Attempt}, call, "")
	}
}

func outcomeText(c Claim, d Decision, refusal *result.Error) string {
	switch {
	case refusal != nil:
		return refusal.Code.String()
	case d.Owned != nil:
		return "owned"
	}
	return "answer " + string(d.Answer.Body)
}

// Under random delays, lost replies, rejected writes and late writes, at most
// one attempt may be dispatched, and nothing that may have run may be reported
// as not run.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		claims := rapid.IntRange(2, 5).Draw(rt, "claims")
		h := &history{seed: seed, severe: true, random: rand.New(rand.NewPCG(seed, 99))}
		synctest.Test(t, func(t *testing.T) { h.run(t, claims) })
		if len(h.violations) > 0 {
			rt.Fatalf("%v", h.violations)
		}
	})
}

// operation is one call on a record.
type operation struct{ kind, attempt string }

// recordModel models the record as a register: absent "", "owned ID", "answer
// ID" or "lost".
var recordModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(s, in, out any) (bool, any) {
		state, op, text := s.(string), in.(operation), out.(string)
		ownedState := "owned " + op.attempt
		switch op.kind {
		case "begin":
			return stepBegin(state, ownedState, text)
		case "release":
			return state == ownedState, ""
		case "lost":
			return state == ownedState, "lost"
		}
		return state == ownedState, "answer " + op.attempt
	},
}

func stepBegin(state, ownedState, text string) (bool, any) {
	switch text {
	case "owned":
		return state == "", ownedState
	case result.AlreadyRunning.String():
		return state != "", state
	case result.WillNotRunAgain.String():
		return state != "" && state[0] != 'a', state
	}
	return state == text, state
}

// The calls on one record must be linearizable under delays and lost replies.
func TestRecordLinearizability(t *testing.T) {
	for seed := range uint64(200) {
		h := &history{seed: seed, random: rand.New(rand.NewPCG(seed, 99))}
		synctest.Test(t, func(t *testing.T) { h.run(t, 4) })
		if !porcupine.CheckOperations(recordModel, h.operations) {
			t.Fatalf("seed %d: history is not linearizable: %+v", seed, h.operations)
		}
	}
}
