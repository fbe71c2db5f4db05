package balanceexp

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/enginesim"
	"github.com/hawthornwick/hawthornwick/internal/eventqueue"
	"github.com/hawthornwick/hawthornwick/internal/routes"
)

const (
	service = "engines"
	// start is the boot time at which a run begins; it must not be zero.
	start = boottime.Instant(time.Hour)
	// networkDelay is the delay from an instance to a server.
	networkDelay = time.Millisecond
	// dispatchInterval is how often waiting requests are retried without an event.
	dispatchInterval = 20 * time.Millisecond
	// crashDetectionDelay is the time until instances learn that a server has
	// crashed.
	crashDetectionDelay = time.Second
	// preemptibleEvery makes each n-th server preemptible.
	preemptibleEvery = 3
)

var zones = []string{"a", "b", "c"}

// world is the state of one run.
type world struct {
	experiment Experiment
	random     *rand.Rand
	now        time.Duration
	queue      eventqueue.Queue
	servers    []*server
	byID       map[string]*server
	balancers  []*balance.Balancer
	away       map[int]bool // instances that restart now
	result     *Result
	// deferred are actions that call the balancers. They are queued while a
	// balancer or engine calls back, and run once the current event has been
	// handled.
	deferred []func()
}

// server is a simulated engine and its state in the run.
type server struct {
	entry   directory.Server
	engine  *enginesim.Engine
	version int // increases with each change of the engine's next event
	grey    bool
	crashed bool
	calls   map[*enginesim.Request]*call

	limit   float64               // requests per second that it names now; 0 if none
	toldAt  map[int]time.Duration // when an instance learned of the limit from an answer
	limited []limitedArrival
}

// Run simulates the experiment to its end.
func (x Experiment) Run() *Result {
	x = x.withDefaults()
	w := &world{experiment: x, random: rand.New(rand.NewPCG(x.Seed, 7)), byID: map[string]*server{}, away: map[int]bool{}, result: newResult(x)}
	w.addServers()
	w.addBalancers()
	w.schedule()
	w.runEvents()
	for _, s := range w.servers {
		w.result.PrefilledTokens += s.engine.PrefilledTokens
		w.result.Preempted += s.engine.Preempted
		w.result.recordLimits(s)
	}
	return w.result
}

// runEvents handles all events in order of time.
func (w *world) runEvents() {
	for {
		if _, ok := w.queue.Next(); !ok {
			return
		}
		var run func()
		w.now, run = w.queue.Pop()
		run()
		w.runDeferred()
	}
}

func (w *world) clock() boottime.Instant { return start.Add(w.now) }

// runDeferred runs the deferred actions.
func (w *world) runDeferred() {
	for len(w.deferred) > 0 {
		next := w.deferred[0]
		w.deferred = w.deferred[1:]
		next()
	}
}

func (w *world) runAt(at time.Duration, run func()) {
	w.queue.Add(max(at, w.now), run)
}

func (w *world) addServers() {
	spec := engine
	spec.MemoryTokens = int(float64(spec.MemoryTokens) * w.experiment.Day.MemoryFactor)
	for i := range w.experiment.Servers {
		s := &server{engine: enginesim.New(spec), calls: map[*enginesim.Request]*call{}, toldAt: map[int]time.Duration{}}
		s.entry = directory.Server{Entry: directory.Entry{
			ID: fmt.Sprintf("s%03d", i), Service: service, Address: fmt.Sprintf("s%03d:1", i), Zone: zones[i%len(zones)],
			Capacity: spec.MaxBatch, Preemptible: i%preemptibleEvery == 0, StartedMillis: 1,
		}}
		w.servers = append(w.servers, s)
		w.byID[s.entry.ID] = s
	}
}

func (w *world) addBalancers() {
	for i := range w.experiment.Instances {
		w.balancers = append(w.balancers, w.newBalancer(i))
	}
	for _, b := range w.balancers {
		b.SetMembers(w.liveNames())
	}
	w.listServers()
}

func instanceName(i int) string { return fmt.Sprintf("i%d", i) }

// newBalancer returns the balancer of an instance that has just started.
func (w *world) newBalancer(i int) *balance.Balancer {
	table, err := routes.Compile(routes.Config{Version: 1, Services: []routes.Service{
		{Name: service, Engine: &routes.Engine{Slots: engine.MaxBatch}, ColdTime: 3 * time.Second, ColdRate: 6.7},
	}})
	if err != nil {
		panic(err) // the configuration is constant
	}
	b := balance.New(balance.Options{
		Instance: instanceName(i), Zone: zones[i%len(zones)], ColdOvershoot: 1.5, ColdTolerance: 5, Now: w.clock,
		Wall:          func() time.Time { return time.Unix(0, int64(w.clock())) },
		Retries:       balance.RetryLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 56},
		Scorer:        w.experiment.Policy.scorer(w.random),
		HoldThreshold: w.experiment.Policy.holdThreshold(),
	})
	b.SetTable(table)
	return b
}

// listServers gives the balancers the list of running servers.
func (w *world) listServers() {
	var listed []directory.Server
	for _, s := range w.servers {
		if !s.crashed {
			listed = append(listed, s.entry)
		}
	}
	for _, b := range w.balancers {
		b.SetServers(listed)
	}
}

// schedule draws the arrivals and schedules the day's events.
func (w *world) schedule() {
	x := w.experiment
	kinds := Mix()
	serial := uint64(0)
	last := x.Length + 15*time.Second
	for at := time.Duration(0); at < x.Length; {
		rate := x.Rate
		if x.Day.disturbed(at) {
			rate *= x.Day.BurstFactor
		}
		at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		serial++
		w.addArrival(draw(w.random, kinds, x.Day, at, x.Instances, serial))
	}
	w.addHotOrganisation(kinds, serial)
	for at := dispatchInterval; at < last; at += dispatchInterval {
		w.runAt(at, w.dispatchAll)
	}
	if !x.Isolated {
		for at := x.ShareEvery; at < last; at += x.ShareEvery {
			w.runAt(at, w.share)
		}
	}
	w.runAt(x.Day.from, w.startDisturbance)
	w.runAt(x.Day.to, w.endDisturbance)
	w.scheduleLimits()
	w.scheduleRestarts()
}

func (w *world) addArrival(a arrival) { w.runAt(a.at, func() { w.arrive(&a) }) }

// hotOrganisation is the second smallest organisation, which grows on the day of a
// hot organisation.
const hotOrganisation = organisations - 2

// addHotOrganisation adds the additional requests of the hot organisation.
func (w *world) addHotOrganisation(kinds []Kind, serial uint64) {
	x := w.experiment
	if x.Day.HotOrganisationFactor == 0 {
		return
	}
	const mediumShare = 0.1 // share of a medium-sized organisation
	rate := x.Rate * mediumShare * (x.Day.HotOrganisationFactor - 1)
	for at := x.Day.from; at < x.Day.to; {
		at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		serial++
		a := draw(w.random, kinds, x.Day, at, x.Instances, serial)
		a.organisation = organisationName(hotOrganisation)
		w.addArrival(a)
	}
}

func (w *world) dispatchAll() {
	for _, b := range w.balancers {
		b.Dispatch()
	}
}

// firstServers returns the given share of servers, at least one if it is not zero.
func (w *world) firstServers(share float64) []*server {
	n := int(share*float64(len(w.servers)) + 0.5)
	if share > 0 {
		n = max(n, 1)
	}
	return w.servers[:n]
}

// startDisturbance starts the day's disturbance.
func (w *world) startDisturbance() {
	d := w.experiment.Day
	for _, s := range w.firstServers(d.SlowShare) {
		s.engine.SetSlow(d.SlowFactor)
	}
	for _, s := range w.firstServers(d.GreyShare) {
		s.grey = true
	}
	crashed := w.firstServers(d.CrashedShare)
	for _, s := range crashed {
		w.crash(s)
	}
	if len(crashed) > 0 {
		w.runAt(w.now+crashDetectionDelay, w.listServers)
	}
}

// endDisturbance ends the day's disturbance. Crashed servers do not return.
func (w *world) endDisturbance() {
	for _, s := range w.servers {
		s.engine.SetSlow(1)
		s.grey = false
	}
}

// crash crashes a server and fails its calls.
func (w *world) crash(s *server) {
	s.crashed = true
	s.version++
	for _, r := range s.engine.Crash() {
		c := s.calls[r]
		delete(s.calls, r)
		c.attemptFailed(balance.Unreached)
	}
}

// scheduleEngine schedules the engine's next event. An earlier schedule becomes
// void.
func (w *world) scheduleEngine(s *server) {
	s.version++
	version := s.version
	at, ok := s.engine.Next()
	if !ok {
		return
	}
	w.runAt(at, func() {
		if s.version != version {
			return
		}
		s.engine.Advance(w.now)
		w.scheduleEngine(s)
	})
}
