package balance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/rollout"
)

func boundTo(version string) *Query {
	return &Query{Service: "engine", Bound: true, BoundVersion: version}
}

func (b *testBalancer) addVersion(id, version string) {
	b.add("engine", id, func(s *directory.Server) { s.Version, s.StartedMillis = version, 1 })
}

// boundRun submits random bound and other queries to servers that change at random.
type boundRun struct {
	*testBalancer
	random   *rand.Rand
	versions []string
	running  []*Assignment
	tickets  []*Ticket
	assigned int // to bound queries
	started  int64
}

func (r *boundRun) version() string { return r.versions[r.random.IntN(len(r.versions))] }

func (r *boundRun) chance(percent int) bool { return r.random.IntN(100) < percent }

func (r *boundRun) row(id int) directory.Server {
	r.started++
	s := directory.Server{Entry: directory.Entry{
		ID: fmt.Sprint("s", id), Service: "engine", Address: fmt.Sprint("a:", id+1), Zone: fmt.Sprint("z", id%2), Capacity: 1 + r.random.IntN(3),
		Version: r.version(), StartedMillis: r.started, Draining: r.chance(15),
	}}
	if r.chance(20) {
		s.StartedMillis = 0
	}
	if r.chance(20) {
		s.ColdUntil = r.clock.Add(time.Second)
	}
	return s
}

func (r *boundRun) changeServers() {
	for id := range 6 {
		if r.chance(25) {
			r.servers[id] = r.row(id)
		}
	}
	var listed []directory.Server
	for _, s := range r.servers {
		if r.chance(90) {
			listed = append(listed, s)
		}
	}
	r.SetServers(listed)
}

func (r *boundRun) changeRollout() {
	switch r.random.IntN(5) {
	case 0:
		r.ClearRollout("engine")
	case 1:
		r.SetDrainedZones([]string{"z0"})
	case 2:
		r.SetDrainedZones(nil)
	default:
		o := rollout.Order{Service: "engine", To: r.version(), Duration: time.Minute, Revision: uint64(r.random.IntN(4) + 1)}
		phase := []rollout.Phase{rollout.Progressing, rollout.Complete, rollout.Reverted}[r.random.IntN(3)]
		step := []rollout.Step{rollout.Observe, rollout.Half, rollout.All}[r.random.IntN(3)]
		r.SetRollout(rollout.RuleOf(o, rollout.State{Revision: o.Revision, To: o.To, Phase: phase, Step: step}, 0.3, r.chance(20), true, true), time.Second)
	}
}

func (r *boundRun) submit() {
	q := &Query{Service: "engine", Priority: r.random.IntN(3), MaxWait: time.Second}
	if r.chance(50) {
		q.Parts, q.PromptTokens = []Part{{ID: uint64(r.random.IntN(3)), Tokens: 10}, {ID: 99, Tokens: 1}}, 11
	}
	if r.chance(60) {
		q.Bound, q.BoundVersion = true, r.version()
	}
	if r.chance(30) {
		q.Tried = []string{fmt.Sprint("s", r.random.IntN(6))}
	}
	r.TryContinuation(q)
	ticket := r.Submit(q, func(a *Assignment) { r.take(q, a) })
	if r.chance(50) {
		r.tickets = append(r.tickets, ticket)
		return
	}
	a, err := ticket.AssignNow()
	if err == nil {
		r.take(q, a)
	}
}

func (r *boundRun) take(q *Query, a *Assignment) {
	r.running = append(r.running, a)
	if !q.Bound {
		return
	}
	r.assigned++
	if a.Version != q.BoundVersion || a.server.Version != q.BoundVersion {
		r.t.Fatalf("a query bound to %q was assigned to %q of version %q", q.BoundVersion, a.Server, a.Version)
	}
}

func (r *boundRun) answer() {
	if len(r.running) == 0 {
		return
	}
	n := r.random.IntN(len(r.running))
	a := r.running[n]
	r.running = append(r.running[:n], r.running[n+1:]...)
	if r.chance(20) {
		a.Observe(Answer{Status: 200, Advisory: advisory.Advisory{RateLimit: float64(1 + r.random.IntN(20))}})
	}
	a.End(Outcome(r.random.IntN(len(outcomeNames))))
}

func (r *boundRun) step() {
	switch r.random.IntN(10) {
	case 0:
		r.changeServers()
	case 1:
		r.changeRollout()
	case 2:
		r.clock = r.clock.Add(time.Duration(r.random.IntN(2000)) * time.Millisecond)
	case 3, 4:
		r.answer()
	case 5:
		if len(r.tickets) > 0 {
			r.tickets[0].Cancel()
			r.tickets = r.tickets[1:]
		}
	default:
		r.submit()
	}
	r.Dispatch()
}

// TestBoundQueryGetsItsVersionOnly guards against a run that goes on at another version because
// of some state of the servers, their limits or a rollout.
func TestBoundQueryGetsItsVersionOnly(t *testing.T) {
	assigned := 0
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &boundRun{testBalancer: newTestBalancer(t, "i", "i", "j"), random: rand.New(rand.NewPCG(seed, 57)), versions: []string{"", "v1", "v2", "v3"}}
			for id := range 6 {
				r.servers = append(r.servers, r.row(id))
			}
			r.SetServers(r.servers)
			for range 300 {
				r.step()
			}
			assigned += r.assigned
		})
	}
	t.Logf("%d bound queries were assigned", assigned)
	if assigned < 1000 {
		t.Error("too few for the test to mean anything")
	}
}

// TestBoundQueryWithoutServerIsRefusedAtOnce guards against a wait for a server that does not
// come, and against a caller that is asked to return in vain.
func TestBoundQueryWithoutServerIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		prepare      func(b *testBalancer)
		tried        []string
		down, listed bool
	}{
		"other version only": {func(b *testBalancer) { b.addVersion("b", "v2") }, nil, true, false},
		"leaves":             {func(b *testBalancer) { b.addVersion("a", "v1"); b.servers[0].Draining = true; b.SetServers(b.servers) }, nil, true, false},
		"drained":            {func(b *testBalancer) { b.addVersion("a", "v1"); b.SetDrainedZones([]string{"z"}) }, nil, true, true},
		"tried":              {func(b *testBalancer) { b.addVersion("a", "v1"); b.addVersion("b", "v2") }, []string{"a"}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestBalancer(t, "i", "i")
			c.prepare(b)
			q := boundTo("v1")
			q.Tried, q.MaxWait = c.tried, 10*time.Second
			began := time.Now()
			_, err := b.Acquire(context.Background(), q)
			is.True(time.Since(began) < q.MaxWait/2)
			var none *NoServerError
			is.True(errors.As(err, &none))
			is.True(none.Bound)
			is.Equal(none.Version, "v1")
			is.Equal(none.Down, c.down)
			is.Equal(none.Listed, c.listed)
		})
	}
}

// TestBoundQueryIgnoresSideOfRollout guards against streams that are lost at each rollout, and
// against one that goes on at a version that was found bad.
func TestBoundQueryIgnoresSideOfRollout(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(time.Hour)
	b, _ := newCanaryBalancer(&now)
	get := func(version string) string {
		a, err := b.Acquire(context.Background(), &Query{Service: "s", Bound: true, BoundVersion: version})
		if err != nil {
			return ""
		}
		defer a.End(Answered)
		if !a.MaySend() {
			return "not sent"
		}
		return a.Version
	}
	b.SetRollout(ruleFor(rollout.Progressing, rollout.Observe, false), ruleValid)
	is.Equal(get("v1"), "v1")
	is.Equal(get("v2"), "v2") // without credit
	b.SetRollout(ruleFor(rollout.Progressing, rollout.All, false), ruleValid)
	is.Equal(get("v1"), "v1")
	is.Equal(get("v2"), "v2")
	b.SetRollout(ruleFor(rollout.Complete, rollout.All, false), ruleValid)
	is.Equal(get("v1"), "v1")
	b.SetRollout(ruleFor(rollout.Progressing, rollout.All, true), ruleValid)
	is.Equal(get("v1"), "v1")
	is.Equal(get("v2"), "")
	later := ruleFor(rollout.Progressing, rollout.Observe, false)
	later.Order.To, later.Order.Revision = "v3", 8
	b.SetRollout(later, ruleValid)
	is.Equal(get("v2"), "") // the order for v3 does not bring v2 back
}

// TestBoundWaiterDoesNotBlockOthers guards against requests that wait although servers are
// free, because a request before them needs a version whose servers are full.
func TestBoundWaiterDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "i", "i")
	b.addVersion("a", "v1")
	b.addVersion("b", "v2")
	var full []*Assignment
	for {
		a, err := b.Submit(boundTo("v1"), func(a *Assignment) { full = append(full, a) }).AssignNow()
		if err != nil {
			break
		}
		full = append(full, a)
	}
	var got []string
	b.Submit(boundTo("v1"), func(*Assignment) { got = append(got, "first") })
	b.Submit(boundTo("v2"), func(*Assignment) { got = append(got, "other version") })
	b.Submit(&Query{Service: "engine"}, func(*Assignment) { got = append(got, "any version") })
	is.Equal(got, []string{"other version", "any version"})
	full[0].End(Answered)
	is.Equal(got, []string{"other version", "any version", "first"})
	is.Equal(len(b.pools["engine"].bound), 0)
}

// TestContinuationNeedsServerOfVersion guards against a run that is ended on a leaving server
// although only other versions could go on with it.
func TestContinuationNeedsServerOfVersion(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "i", "i")
	b.addVersion("a", "v1")
	b.servers[0].Draining = true
	b.addVersion("b", "v2")
	is.True(!b.TryContinuation(boundTo("v1")))
	b.addVersion("c", "v1")
	is.True(b.TryContinuation(boundTo("v1")))
}

// TestSuspectsOfOtherVersionsDoNotCount guards against a bound query that is refused although
// the only server of its version may recover, because those of other versions are fine.
func TestSuspectsOfOtherVersionsDoNotCount(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "i", "i")
	b.addVersion("a", "v1")
	b.addVersion("b", "v2")
	b.mustAcquire(boundTo("v1")).End(Unreached)
	is.Equal(b.mustAcquire(boundTo("v1")).Server, "a")
}

// TestRequestIsNotSentToSuccessor guards against a request that reaches another process, of
// another version, than the one that was chosen.
func TestRequestIsNotSentToSuccessor(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "i", "i")
	b.addVersion("a", "v1")
	a := b.mustAcquire(boundTo("v1"))
	is.True(a.MaySend())
	successor := func() (string, int64) {
		version, started, _ := a.Successor()
		return version, started
	}
	version, started := successor()
	is.Equal(version, "")
	is.Equal(started, int64(0))
	listed := b.servers[0]
	b.SetServers(nil)
	is.True(a.MaySend())
	listed.Version, listed.StartedMillis = "v2", 2
	b.SetServers([]directory.Server{listed})
	version, started = successor()
	is.Equal(version, "v2")
	is.Equal(started, int64(2))
	is.True(!a.MaySend())
}
