package balance

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newBackloggedBalancer returns a balancer with one engine that has a long prefill
// backlog.
func newBackloggedBalancer(t *testing.T) *testBalancer {
	b := newTestBalancer(t, "a", "a")
	b.add("engine", "server-0", nil)
	b.mustAcquire(&Query{Service: "engine", PromptTokens: 100_000, MaxWait: time.Millisecond, Parts: []Part{{ID: 1, Tokens: 100_000}}})
	return b
}

func query(priority int, maxWait time.Duration) *Query {
	return &Query{
		Service: "engine", Priority: priority, PromptTokens: 1000, MaxWait: maxWait,
		Parts: []Part{{ID: uint64(priority) + 10, Tokens: 1000}},
	}
}

func TestLessUrgentRequestIsHeld(t *testing.T) {
	is := is.New(t)
	b := newBackloggedBalancer(t)
	assigned := 0
	ready := func(*Assignment) { assigned++ }
	b.Submit(query(1, time.Second), ready)
	b.Dispatch()
	is.Equal(assigned, 0)
	b.Submit(query(0, time.Second), ready) // requests of the highest priority are never held
	is.Equal(assigned, 1)
}

func TestRetryIsNotHeld(t *testing.T) {
	is := is.New(t)
	b := newBackloggedBalancer(t)
	q := query(2, time.Second)
	q.Tried = []string{"another"}
	assigned := 0
	b.Submit(q, func(*Assignment) { assigned++ })
	is.Equal(assigned, 1)
}

func TestHeldRequestAssignedAfterPrefill(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	b.add("engine", "server-0", nil)
	first := b.mustAcquire(&Query{Service: "engine", PromptTokens: 100_000, MaxWait: time.Millisecond, Parts: []Part{{ID: 1, Tokens: 100_000}}})
	assigned := 0
	b.Submit(query(2, time.Second), func(*Assignment) { assigned++ })
	is.Equal(assigned, 0)
	first.PrefillDone()
	b.Dispatch()
	is.Equal(assigned, 1)
}

func TestHeldRequestAssignedAtMaxWait(t *testing.T) {
	is := is.New(t)
	b := newBackloggedBalancer(t)
	a, err := b.Acquire(context.Background(), query(1, 30*time.Millisecond))
	is.NoErr(err) // the server is still backlogged, but the request is sent
	is.Equal(a.Server, "server-0")
	is.Equal(b.waitingRequests(), 0)
}

func TestNoServerErrorAtMaxWait(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	_, err := b.Acquire(context.Background(), query(1, 10*time.Millisecond))
	var noServer *NoServerError
	is.True(errors.As(err, &noServer))
	is.True(noServer.Down)
}
