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
	// start is the instant at which a run begins; instants must not be zero.
	start = boottime.Instant(time.Hour)
	// hop is the way from an instance to a server.
	hop = time.Millisecond
	// pump is how often waiting requests are tried without an event.
	pump = 20 * time.Millisecond
	// lostNotice is the time until instances hear that a server is gone.
	lostNotice = time.Second
	// cheapEvery makes each n-th server a cheap one.
	cheapEvery = 3
)

var zones = []string{"a", "b", "c"}

// world runs one experiment.
type world struct {
	experiment Experiment
	random     *rand.Rand
	now        time.Duration
	queue      eventqueue.Queue
	servers    []*server
	byID       map[string]*server
	balancers  []*balance.Balancer
	result     *Result
	// placed are the places that balancers gave during a call; they are used once
	// it has returned.
	placed []func()
}

// server is an emulated engine with its state on the day.
type server struct {
	entry   directory.Server
	engine  *enginesim.Engine
	version int // rises with each change of the engine's next event
	grey    bool
	gone    bool
	calls   map[*enginesim.Request]*call
}

// Run plays the experiment to its end.
func (x Experiment) Run() *Result {
	x = x.withDefaults()
	w := &world{experiment: x, random: rand.New(rand.NewPCG(x.Seed, 7)), byID: map[string]*server{}, result: newResult(x)}
	w.addServers()
	w.addBalancers()
	w.schedule()
	w.play()
	for _, s := range w.servers {
		w.result.Read += s.engine.Read
		w.result.Preempted += s.engine.Preempted
	}
	return w.result
}

// play runs all events.
func (w *world) play() {
	for {
		if _, ok := w.queue.Next(); !ok {
			return
		}
		var run func()
		w.now, run = w.queue.Pop()
		run()
		w.settle()
	}
}

func (w *world) clock() boottime.Instant { return start.Add(w.now) }

// settle uses the places that were given.
func (w *world) settle() {
	for len(w.placed) > 0 {
		next := w.placed[0]
		w.placed = w.placed[1:]
		next()
	}
}

func (w *world) after(at time.Duration, run func()) {
	w.queue.Add(max(at, w.now), run)
}

func (w *world) addServers() {
	spec := engine
	spec.Memory = int(float64(spec.Memory) * w.experiment.Day.Memory)
	for i := range w.experiment.Servers {
		s := &server{engine: enginesim.New(spec), calls: map[*enginesim.Request]*call{}}
		s.entry = directory.Server{Entry: directory.Entry{
			ID: fmt.Sprintf("s%03d", i), Service: service, Address: fmt.Sprintf("s%03d:1", i), Zone: zones[i%len(zones)],
			Capacity: spec.Batch, Preemptible: i%cheapEvery == 0, Born: 1,
		}}
		w.servers = append(w.servers, s)
		w.byID[s.entry.ID] = s
	}
}

func (w *world) addBalancers() {
	table, err := routes.Compile(routes.Config{Version: 1, Services: []routes.Service{
		{Name: service, Engine: &routes.Engine{Slots: engine.Batch}, ColdTime: 3 * time.Second, ColdRate: 6.7},
	}})
	if err != nil {
		panic(err) // the text is fixed
	}
	var names []string
	for i := range w.experiment.Instances {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	for i, name := range names {
		b := balance.New(balance.Options{
			Instance: name, Zone: zones[i%len(zones)], ColdOvershoot: 1.5, ColdTolerance: 5, Now: w.clock,
			Retries:       balance.RetryBound{Span: 10 * time.Second, Ratio: 0.2, Slack: 56},
			Scorer:        w.experiment.Policy.scorer(w.random),
			HoldThreshold: w.experiment.Policy.hold(),
		})
		b.SetTable(table)
		b.SetMembers(names)
		w.balancers = append(w.balancers, b)
	}
	w.listServers()
}

// listServers tells the balancers which servers there are.
func (w *world) listServers() {
	var listed []directory.Server
	for _, s := range w.servers {
		if !s.gone {
			listed = append(listed, s.entry)
		}
	}
	for _, b := range w.balancers {
		b.SetServers(listed)
	}
}

// schedule draws the arrivals and sets the day's events.
func (w *world) schedule() {
	x := w.experiment
	kinds := Mix()
	serial := uint64(0)
	last := x.Length + 15*time.Second
	for at := time.Duration(0); at < x.Length; {
		rate := x.Rate
		if x.Day.during(at) {
			rate *= x.Day.Burst
		}
		at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		serial++
		w.addArrival(draw(w.random, kinds, x.Day, at, x.Instances, serial))
	}
	w.addHotOrganisation(kinds, serial)
	for at := pump; at < last; at += pump {
		w.after(at, w.pumpAll)
	}
	if !x.Isolated {
		for at := x.ShareEvery; at < last; at += x.ShareEvery {
			w.after(at, w.share)
		}
	}
	w.after(x.Day.from, w.disturb)
	w.after(x.Day.to, w.mend)
}

func (w *world) addArrival(a arrival) { w.after(a.at, func() { w.arrive(&a) }) }

// smallOrganisation is the one that grows on the day of a hot organisation.
const smallOrganisation = organisations - 2

// addHotOrganisation adds the further requests of the organisation that grows.
func (w *world) addHotOrganisation(kinds []Kind, serial uint64) {
	x := w.experiment
	if x.Day.HotOrganisation == 0 {
		return
	}
	const usual = 0.1 // share of an organisation of middle size
	rate := x.Rate * usual * (x.Day.HotOrganisation - 1)
	for at := x.Day.from; at < x.Day.to; {
		at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		serial++
		a := draw(w.random, kinds, x.Day, at, x.Instances, serial)
		a.organisation = organisationName(smallOrganisation)
		w.addArrival(a)
	}
}

func (w *world) pumpAll() {
	for _, b := range w.balancers {
		b.Dispatch()
	}
}

// some returns the first servers of a share, at least one if it is not zero.
func (w *world) some(share float64) []*server {
	n := int(share*float64(len(w.servers)) + 0.5)
	if share > 0 {
		n = max(n, 1)
	}
	return w.servers[:n]
}

// disturb begins the day's trouble.
func (w *world) disturb() {
	d := w.experiment.Day
	for _, s := range w.some(d.Slow) {
		s.engine.SetSlow(d.SlowFactor)
	}
	for _, s := range w.some(d.Grey) {
		s.grey = true
	}
	lost := w.some(d.Lost)
	for _, s := range lost {
		w.lose(s)
	}
	if len(lost) > 0 {
		w.after(w.now+lostNotice, w.listServers)
	}
}

// mend ends the day's trouble. Lost servers stay away.
func (w *world) mend() {
	for _, s := range w.servers {
		s.engine.SetSlow(1)
		s.grey = false
	}
}

// lose crashes a server.
func (w *world) lose(s *server) {
	s.gone = true
	s.version++
	for _, r := range s.engine.Drop() {
		c := s.calls[r]
		delete(s.calls, r)
		c.broken(balance.Unreached)
	}
}

// watch follows the engine's next event.
func (w *world) watch(s *server) {
	s.version++
	version := s.version
	at, ok := s.engine.Next()
	if !ok {
		return
	}
	w.after(at, func() {
		if s.version != version {
			return
		}
		s.engine.Advance(w.now)
		w.watch(s)
	})
}
