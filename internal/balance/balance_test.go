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
)

// bench is a balancer with a clock that tests move.
type bench struct {
	*Balancer
	t       *testing.T
	clock   boottime.Instant
	servers []directory.Server
}

func newBench(t *testing.T, instance string, members ...string) *bench {
	t.Helper()
	b := &bench{t: t, clock: boottime.Instant(time.Hour)}
	b.Balancer = New(Options{
		Instance: instance, Zone: "z", ColdOvershoot: 1.5, ColdTolerance: 5,
		Retries: RetryBound{Span: 10 * time.Second, Ratio: 0.2, Slack: 50},
		Now:     func() boottime.Instant { return b.clock },
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

func (b *bench) add(service, id string, change func(*directory.Server)) {
	s := directory.Server{Entry: directory.Entry{ID: id, Service: service, Address: id + ":1", Zone: "z", Capacity: 6}}
	if change != nil {
		change(&s)
	}
	b.servers = append(b.servers, s)
	b.SetServers(b.servers)
}

// take acquires a place or fails the test.
func (b *bench) take(q *Query) *Assignment {
	b.t.Helper()
	a, err := b.Acquire(context.Background(), q)
	if err != nil {
		b.t.Fatal(err)
	}
	return a
}

func prompt(shared uint64) *Query { return promptOf(shared, 1<<40) }

// promptOf is a prompt with a shared part and one of its own.
func promptOf(shared, own uint64) *Query {
	return &Query{
		Service: "engine", PromptTokens: 17000, Patience: time.Millisecond,
		Parts: []Part{{ID: shared, Tokens: 13000}, {ID: own, Tokens: 4000}},
	}
}

func TestEqualPrefixesGoToOneServerFromAllInstances(t *testing.T) {
	is := is.New(t)
	homes := map[uint64]string{}
	used := map[string]bool{}
	for _, instance := range []string{"a", "b", "c"} {
		b := newBench(t, instance, "a", "b", "c")
		for i := range 12 {
			b.add("engine", fmt.Sprint("server-", i), nil)
		}
		for prefix := range uint64(40) {
			a := b.take(prompt(prefix))
			a.ReadPrompt()
			a.End(Answered)
			if homes[prefix] == "" {
				homes[prefix] = a.Server
			}
			is.Equal(a.Server, homes[prefix])
			used[a.Server] = true
		}
	}
	is.True(len(used) >= 10) // and the prefixes spread over the servers
}

func TestWorkSpillsOnlyWhenWaitingCostsMoreThanReadingAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "a")
	for i := range 4 {
		b.add("engine", fmt.Sprint("server-", i), nil)
	}
	first := b.take(promptOf(7, 1000))
	second := b.take(promptOf(7, 1001)) // only its own part of the prompt is to be read
	is.Equal(second.Server, first.Server)
	spilled := false
	for own := range uint64(8) {
		spilled = spilled || b.take(promptOf(7, 1002+own)).Server != first.Server
	}
	is.True(spilled)
}

func TestYoungServerLeavesPrefixesToTheOlderHome(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "a")
	for i := range 8 {
		b.add("engine", fmt.Sprint("old-", i), func(s *directory.Server) { s.Born = 1_000_000 })
	}
	const prefixes = 600
	before := map[uint64]string{}
	for prefix := range uint64(prefixes) {
		before[prefix] = b.home(b.clock, b.pools["engine"], prompt(prefix)).ID
	}
	for i := range 4 {
		b.add("engine", fmt.Sprint("young-", i), func(s *directory.Server) { s.Born = 1_030_000 })
	}
	moved := 0.0
	for prefix := range uint64(prefixes) {
		if b.home(b.clock, b.pools["engine"], prompt(prefix)).ID != before[prefix] {
			moved++
		}
	}
	// A home moves only when both of the highest weights are young servers'.
	const share = 4.0 / 12 * 3 / 11
	const mean = share * prefixes
	is.True(moved > 0)
	is.True(moved <= mean+3*math.Sqrt(mean*(1-share)))
}

func TestColdServerGetsNoMoreThanItsBoundFromAllInstances(t *testing.T) {
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
				b := newBench(t, name, members...)
				b.add("engine", "cold", func(s *directory.Server) { s.ColdUntil = b.clock.Add(time.Minute) })
				for range 40 { // all within one second
					if a, err := b.Acquire(context.Background(), prompt(1)); err == nil {
						a.ReadPrompt()
						a.End(Answered)
						total++
					}
				}
			}
			is.True(float64(total) <= bound)
			is.True(total >= 1) // and yet it gets some
		})
	}
}

func TestColdServerGetsNothingBeforeTheMembersAreKnown(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	b.add("engine", "cold", func(s *directory.Server) { s.ColdUntil = b.clock.Add(time.Minute) })
	_, err := b.Acquire(context.Background(), prompt(1))
	var none *NoServerError
	is.True(errors.As(err, &none))
}

func TestZoneThatComesBackCountsAsCold(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "a")
	b.add("engine", "s", nil)
	b.SetZonesOut([]string{"z"})
	_, err := b.Acquire(context.Background(), prompt(1))
	var none *NoServerError
	is.True(errors.As(err, &none) && none.Down)
	b.SetZonesOut(nil)
	is.True(b.take(prompt(1)).Cold)
	b.clock = b.clock.Add(time.Minute)
	is.True(!b.take(prompt(1)).Cold)
}

func TestLeavingServerGetsNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "a")
	b.add("plain", "leaving", func(s *directory.Server) { s.Draining = true })
	b.add("plain", "staying", nil)
	for range 4 {
		a := b.take(&Query{Service: "plain", Patience: time.Millisecond})
		is.Equal(a.Server, "staying")
		a.End(Answered)
	}
}

func TestServersThatFailAreAvoidedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "a")
	b.add("plain", "bad", nil)
	b.add("plain", "good", nil)
	q := &Query{Service: "plain", Patience: time.Millisecond, Tried: []string{"good"}}
	a := b.take(q)
	a.End(Unreached)
	for range 5 {
		a = b.take(&Query{Service: "plain", Patience: time.Millisecond})
		is.Equal(a.Server, "good")
		a.End(Answered)
	}
	b.clock = b.clock.Add(suspectMost)
	is.Equal(b.take(q).Server, "bad") // one request tries it
}

func TestUrgentRequestsLeaveTheQueueFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "a")
	b.add("plain", "s", func(s *directory.Server) { s.Capacity = 1 })
	var held []*Assignment
	for range 2 { // the whole limit
		held = append(held, b.take(&Query{Service: "plain", Patience: time.Millisecond}))
	}
	order := make(chan int, 2)
	for i, priority := range []int{2, 0} {
		go func() {
			a, err := b.Acquire(context.Background(), &Query{Service: "plain", Priority: priority, Patience: time.Minute})
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
	held[0].End(Answered)
	is.Equal(<-order, 0)
	is.Equal(<-order, 2)
}

func TestRequestWhoseCallerLeavesFreesItsPlace(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "a")
	b.add("plain", "s", func(s *directory.Server) { s.Capacity = 1 })
	first, second := b.take(&Query{Service: "plain"}), b.take(&Query{Service: "plain"})
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := b.Acquire(ctx, &Query{Service: "plain", Patience: time.Minute})
		done <- err
	}()
	leave()
	is.Equal(<-done, context.Canceled)
	first.End(Answered)
	second.End(Answered)
	b.take(&Query{Service: "plain", Patience: time.Millisecond})
	b.take(&Query{Service: "plain", Patience: time.Millisecond})
}

func TestDemandIsSinceItWasLastTaken(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "i", "i")
	b.add("engine", "a", nil)
	b.TakeDemand()
	b.take(prompt(1))
	b.clock = b.clock.Add(time.Second)
	is.Equal(b.Demand()["engine"].PromptRate, 17000.0)
	is.Equal(b.Demand()["engine"].PromptRate, 17000.0) // looking changes nothing
	is.Equal(b.TakeDemand()["engine"].PromptRate, 17000.0)
	b.clock = b.clock.Add(time.Second)
	is.Equal(b.Demand()["engine"].PromptRate, 0.0)
	is.Equal(b.Demand()["engine"].InFlight, 1)
}
