package balance

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// testBalancer is a balancer whose clock the test advances.
type testBalancer struct {
	*Balancer
	t       *testing.T
	clock   boottime.Instant
	servers []directory.Server
	events  *timeline.Ring
}

func newTestBalancer(t *testing.T, instance string, members ...string) *testBalancer {
	t.Helper()
	b := &testBalancer{t: t, clock: boottime.Instant(time.Hour), events: timeline.NewRing(instance, 64, nil)}
	b.Balancer = New(Options{
		Instance: instance, Zone: "z", ColdOvershoot: 1.5, ColdTolerance: 5,
		Retries:  RetryLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 50},
		Recorder: b.events, Now: func() boottime.Instant { return b.clock },
	})
	table, err := routes.Compile(routes.Config{Services: []routes.Service{
		{Name: "engine", Engine: &routes.Engine{Slots: 64}, ColdTime: 3 * time.Second, ColdRate: 6.7},
		{Name: "plain"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	b.SetTable(table)
	b.SetMembers(members)
	return b
}

func (b *testBalancer) add(service, id string, modify func(*directory.Server)) {
	s := directory.Server{Entry: directory.Entry{ID: id, Service: service, Address: id + ":1", Zone: "z", Capacity: 6}}
	if modify != nil {
		modify(&s)
	}
	b.servers = append(b.servers, s)
	b.SetServers(b.servers)
}

// mustAcquire acquires a slot or fails the test.
func (b *testBalancer) mustAcquire(q *Query) *Assignment {
	b.t.Helper()
	a, err := b.Acquire(context.Background(), q)
	if err != nil {
		b.t.Fatal(err)
	}
	return a
}

func prompt(shared uint64) *Query { return promptOf(shared, 1<<40) }

// promptOf returns a query with one shared part and one part of its own.
func promptOf(shared, own uint64) *Query {
	return &Query{
		Service: "engine", PromptTokens: 17000, MaxWait: time.Millisecond,
		Parts: []Part{{ID: shared, Tokens: 13000}, {ID: own, Tokens: 4000}},
	}
}

func TestInstancesAgreeOnAffinityServer(t *testing.T) {
	is := is.New(t)
	affinityServers := map[uint64]string{}
	usedServers := map[string]bool{}
	for _, instance := range []string{"a", "b", "c"} {
		b := newTestBalancer(t, instance, "a", "b", "c")
		for i := range 12 {
			b.add("engine", fmt.Sprint("server-", i), nil)
		}
		for prefix := range uint64(40) {
			a := b.mustAcquire(prompt(prefix))
			a.PrefillDone()
			a.End(Answered)
			if affinityServers[prefix] == "" {
				affinityServers[prefix] = a.Server
			}
			is.Equal(a.Server, affinityServers[prefix])
			usedServers[a.Server] = true
		}
	}
	is.True(len(usedServers) >= 10) // the prefixes spread over the servers
}

func TestSpillsWhenWaitExceedsRecompute(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	for i := range 4 {
		b.add("engine", fmt.Sprint("server-", i), nil)
	}
	first := b.mustAcquire(promptOf(7, 1000))
	second := b.mustAcquire(promptOf(7, 1001)) // only its own part needs prefill
	is.Equal(second.Server, first.Server)
	spilled := false
	for own := range uint64(8) {
		spilled = spilled || b.mustAcquire(promptOf(7, 1002+own)).Server != first.Server
	}
	is.True(spilled)
}

func TestAffinityStaysWithOlderServer(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	for i := range 8 {
		b.add("engine", fmt.Sprint("old-", i), func(s *directory.Server) { s.StartedMillis = 1_000_000 })
	}
	const prefixes = 600
	before := map[uint64]string{}
	for prefix := range uint64(prefixes) {
		before[prefix] = b.affinityServer(b.clock, b.pools["engine"], prompt(prefix)).ID
	}
	for i := range 4 {
		b.add("engine", fmt.Sprint("young-", i), func(s *directory.Server) { s.StartedMillis = 1_030_000 })
	}
	moved := 0.0
	for prefix := range uint64(prefixes) {
		if b.affinityServer(b.clock, b.pools["engine"], prompt(prefix)).ID != before[prefix] {
			moved++
		}
	}
	// An affinity server changes only if the two highest weights both belong to
	// young servers.
	const share = 4.0 / 12 * 3 / 11
	const mean = share * prefixes
	is.True(moved > 0)
	is.True(moved <= mean+3*math.Sqrt(mean*(1-share)))
}

func TestColdServerRateLimit(t *testing.T) {
	const bound = 6.7*1.5 + 5
	for _, instances := range []int{1, 8, 15, 91} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			var members []string
			for i := range instances {
				members = append(members, fmt.Sprint("instance-", i))
			}
			total := 0
			for _, name := range members {
				b := newTestBalancer(t, name, members...)
				b.add("engine", "cold", func(s *directory.Server) { s.ColdUntil = b.clock.Add(time.Minute) })
				for range 40 { // all within the same instant
					if a, err := b.Acquire(context.Background(), prompt(1)); err == nil {
						a.PrefillDone()
						a.End(Answered)
						total++
					}
				}
			}
			is.True(float64(total) <= bound)
			is.True(total >= 1) // the server is not starved
		})
	}
}

func TestColdServerIdleUntilMembersKnown(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a")
	b.add("engine", "cold", func(s *directory.Server) { s.ColdUntil = b.clock.Add(time.Minute) })
	_, err := b.Acquire(context.Background(), prompt(1))
	var noServer *NoServerError
	is.True(errors.As(err, &noServer))
}

func TestReturningZoneIsCold(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	b.add("engine", "s", nil)
	b.SetDrainedZones([]string{"z"})
	_, err := b.Acquire(context.Background(), prompt(1))
	var noServer *NoServerError
	is.True(errors.As(err, &noServer) && noServer.Down)
	b.SetDrainedZones(nil)
	is.True(b.mustAcquire(prompt(1)).Cold)
	b.clock = b.clock.Add(time.Minute)
	is.True(!b.mustAcquire(prompt(1)).Cold)
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	b.add("plain", "draining", func(s *directory.Server) { s.Draining = true })
	b.add("plain", "serving", nil)
	for range 4 {
		a := b.mustAcquire(&Query{Service: "plain", MaxWait: time.Millisecond})
		is.Equal(a.Server, "serving")
		a.End(Answered)
	}
}

func TestSuspectServerBackoff(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	b.add("plain", "bad", nil)
	b.add("plain", "good", nil)
	q := &Query{Service: "plain", MaxWait: time.Millisecond, Tried: []string{"good"}}
	a := b.mustAcquire(q)
	a.End(Unreached)
	for range 5 {
		a = b.mustAcquire(&Query{Service: "plain", MaxWait: time.Millisecond})
		is.Equal(a.Server, "good")
		a.End(Answered)
	}
	b.clock = b.clock.Add(maxSuspectBackoff)
	is.Equal(b.mustAcquire(q).Server, "bad") // one request probes it
}

func TestQueueOrderedByPriority(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	b.add("plain", "s", func(s *directory.Server) { s.Capacity = 1 })
	var assignments []*Assignment
	for range 2 { // all slots of the server
		assignments = append(assignments, b.mustAcquire(&Query{Service: "plain", MaxWait: time.Millisecond}))
	}
	order := make(chan int, 2)
	for i, priority := range []int{2, 0} {
		go func() {
			a, err := b.Acquire(context.Background(), &Query{Service: "plain", Priority: priority, MaxWait: time.Minute})
			if err == nil {
				order <- priority
				a.End(Answered)
			}
		}()
		for waiting := 0; waiting <= i; {
			b.mu.Lock()
			waiting = b.waitingRequests()
			b.mu.Unlock()
		}
	}
	assignments[0].End(Answered)
	is.Equal(<-order, 0)
	is.Equal(<-order, 2)
}

func TestCancelledWaitReleasesSlot(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "a", "a")
	b.add("plain", "s", func(s *directory.Server) { s.Capacity = 1 })
	first, second := b.mustAcquire(&Query{Service: "plain"}), b.mustAcquire(&Query{Service: "plain"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := b.Acquire(ctx, &Query{Service: "plain", MaxWait: time.Minute})
		done <- err
	}()
	cancel()
	is.Equal(<-done, context.Canceled)
	first.End(Answered)
	second.End(Answered)
	b.mustAcquire(&Query{Service: "plain", MaxWait: time.Millisecond})
	b.mustAcquire(&Query{Service: "plain", MaxWait: time.Millisecond})
}

func TestTakeDemandStartsNewPeriod(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "i", "i")
	b.add("engine", "a", nil)
	b.TakeDemand()
	b.mustAcquire(prompt(1))
	b.clock = b.clock.Add(time.Second)
	is.Equal(b.Demand()["engine"].PromptRate, 17000.0)
	is.Equal(b.Demand()["engine"].PromptRate, 17000.0) // Demand does not reset the period
	is.Equal(b.TakeDemand()["engine"].PromptRate, 17000.0)
	b.clock = b.clock.Add(time.Second)
	is.Equal(b.Demand()["engine"].PromptRate, 0.0)
	is.Equal(b.Demand()["engine"].InFlight, 1)
}
