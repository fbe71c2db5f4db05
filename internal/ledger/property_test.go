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

// flakyTable delays calls, loses replies, refuses, and lets effects come late.
type flakyTable struct {
	platform.Table
	mu     sync.Mutex
	random *rand.Rand
	severe bool // also refuse and let effects come late
}

func (f *flakyTable) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *flakyTable) delay(most time.Duration) {
	time.Sleep(time.Duration(f.draw(int(most))))
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

// run is one random history: claims of one key through two instances.
type run struct {
	seed   uint64
	severe bool

	mu         sync.Mutex
	random     *rand.Rand
	started    time.Time
	dispatched []string // attempts that were sent
	faults     []string
	operations []porcupine.Operation
}

func (r *run) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *run) note(client int, in operation, call time.Time, out string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: int64(call.Sub(r.started)), Return: int64(time.Since(r.started)),
	})
}

// play runs the claims to their end and then asks once more.
func (r *run) play(t *testing.T, claims int) {
	r.started = time.Now()
	defer time.Sleep(time.Minute) // for effects that come late
	p := standin.New(standin.Options{})
	defer p.Close()
	var ledgers []*Ledger
	for i, name := range []string{"a", "b"} {
		table := &flakyTable{
			Table: p.Caller(name).Table(), severe: r.severe,
			random: rand.New(rand.NewPCG(r.seed, uint64(i))),
		}
		l := New(table, p.Caller(name).Objects(), Options{WaitLimit: 5 * time.Second})
		defer l.Close(context.Background())
		ledgers = append(ledgers, l)
	}
	var wg sync.WaitGroup
	for i := range claims {
		wg.Go(func() { r.claim(t, ledgers[i%len(ledgers)], i) })
	}
	wg.Wait()
	time.Sleep(5 * time.Minute) // forgotten inserts are gone
	r.claim(t, ledgers[0], claims)
	if len(r.dispatched) > 1 {
		r.fault("dispatched by %v", r.dispatched)
	}
}

// claim is one caller's request: it begins after a random delay and, if it owns
// the record, is released, lost, answered, or dies with its instance.
func (r *run) claim(t *testing.T, l *Ledger, client int) {
	time.Sleep(time.Duration(r.draw(int(3 * time.Second))))
	c := claim(fmt.Sprintf("attempt-%d", client))
	c.Deadline = time.Now().Add(20 * time.Second)
	call := time.Now()
	d, refusal := l.Begin(t.Context(), c)
	r.note(client, operation{kind: "begin", attempt: c.Attempt}, call, outcomeText(c, d, refusal))
	if refusal != nil && refusal.NotRun() && c.Gate.Open() {
		r.fault("%s was refused as not run and may still be sent", c.Attempt)
	}
	if refusal != nil && refusal.NotRun() && refusal.Code != result.LedgerUnavailable {
		r.fault("%s: duplicate refused as not run: %v", c.Attempt, refusal)
	}
	if d.Owned != nil {
		r.own(t, d.Owned, c, client)
	}
}

func (r *run) own(t *testing.T, o *Owned, c Claim, client int) {
	time.Sleep(time.Duration(r.draw(int(40 * time.Second)))) // paused before it sends
	call := time.Now()
	choice := r.draw(5)
	if time.Now().After(o.SendBefore) || choice == 0 {
		proof, ok := c.Gate.Seal()
		if !ok {
			r.fault("%s: gate open before dispatch", c.Attempt)
		}
		o.Release(t.Context(), proof)
		r.note(client, operation{kind: "release", attempt: c.Attempt}, call, "")
		return
	}
	c.Gate.Open()
	r.mu.Lock()
	r.dispatched = append(r.dispatched, c.Attempt)
	r.mu.Unlock()
	switch choice {
	case 1: // the instance dies
	case 2:
		o.Lost(t.Context())
		r.note(client, operation{kind: "lost", attempt: c.Attempt}, call, "")
	default:
		o.Complete(t.Context(), Answer{Status: 200, Body: []byte(c.Attempt)})
		r.note(client, operation{kind: "complete", attempt: c.Attempt}, call, "")
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

func TestAtMostOneDispatchUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		claims := rapid.IntRange(2, 5).Draw(rt, "claims")
		r := &run{seed: seed, severe: true, random: rand.New(rand.NewPCG(seed, 99))}
		synctest.Test(t, func(t *testing.T) { r.play(t, claims) })
		if len(r.faults) > 0 {
			rt.Fatalf("%v", r.faults)
		}
	})
}

// operation is one call on a record.
type operation struct{ kind, attempt string }

// recordModel is the record as one place: absent "", owned, answered or lost.
var recordModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(s, in, out any) (bool, any) {
		state, op, text := s.(string), in.(operation), out.(string)
		mine := "owned " + op.attempt
		switch op.kind {
		case "begin":
			return stepBegin(state, mine, text)
		case "release":
			return state == mine, ""
		case "lost":
			return state == mine, "lost"
		}
		return state == mine, "answer " + op.attempt
	},
}

func stepBegin(state, mine, text string) (bool, any) {
	switch text {
	case "owned":
		return state == "", mine
	case result.AlreadyRunning.String():
		return state != "", state
	case result.WillNotRunAgain.String():
		return state != "" && state[0] != 'a', state
	}
	return state == text, state
}

func TestRecordHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(200) {
		r := &run{seed: seed, random: rand.New(rand.NewPCG(seed, 99))}
		synctest.Test(t, func(t *testing.T) { r.play(t, 4) })
		if !porcupine.CheckOperations(recordModel, r.operations) {
			t.Fatalf("seed %d: history is not linearizable: %+v", seed, r.operations)
		}
	}
}
