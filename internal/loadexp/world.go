package loadexp

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/eventqueue"
	"github.com/hawthornwick/hawthornwick/internal/placement"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const (
	// warmUp is the time before the first arrival in which servers warm up.
	warmUp = 10 * time.Second
	// tickInterval is the interval at which engines retry waiting requests without
	// another event.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the interval at which servers are polled for load reports
	// and cache events, and reportLag the age of these when they arrive.
	reportInterval = time.Second
	reportLag      = time.Second
	// One in lossOneIn batches of cache events is lost.
	lossOneIn = 20
)

var origin = time.Unix(1_000_000, 0)

// world runs one experiment.
type world struct {
	experiment Experiment
	random     *rand.Rand
	now        time.Duration
	queue      eventqueue.Queue
	servers    []*server
	byName     map[string]*server
	engines    []*placement.Engine
	callers    []*caller
	pending    []func() // deferred by listeners until the engine's call has returned
	result     *Result
}

// caller is one request as its caller sees it. It implements placement.Listener.
type caller struct {
	arrival
	world    *world
	engine   *placement.Engine
	job      *placement.Job
	request  *traffic.Request
	attempt  *attempt
	attempts int
	done     bool
}

// Run runs an experiment until all its requests have ended.
func (x Experiment) Run() *Result {
	x = x.withDefaults()
	loads := classLoads()
	w := &world{
		experiment: x,
		random:     rand.New(rand.NewPCG(x.Seed, 1)),
		servers:    x.servers(),
		byName:     map[string]*server{},
		result:     newResult(x, loads),
	}
	w.setUp(loads)
	rate := x.Load * capacity(w.servers) / meanWork(loads)
	for _, a := range arrivals(w.random, loads, rate, x.Length, x.Instances) {
		a.at += warmUp
		w.after(a.at, func() { w.arrive(a) })
	}
	for {
		if _, ok := w.queue.Next(); !ok {
			return w.result
		}
		var run func()
		w.now, run = w.queue.Pop()
		run()
		w.runPending()
	}
}

func (w *world) setUp(loads []classLoad) {
	var listed []platform.Server
	for _, s := range w.servers {
		w.byName[s.Name] = s
		listed = append(listed, s.Server)
	}
	var names []string
	for i := range w.experiment.Instances {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	for i, name := range names {
		e := w.experiment.engine(name, w.experiment.Seed+uint64(i))
		e.SetConfig(w.clock(), w.experiment.config(loads))
		e.SetMembers(w.clock(), names, w.clock())
		e.SetServers(w.clock(), listed)
		w.engines = append(w.engines, e)
	}
	last := warmUp + w.experiment.Length + time.Duration(loads[len(loads)-1].spec.Deadline)
	for at := reportInterval; at < last; at += reportInterval {
		w.after(at, w.pollServers)
	}
	for at := tickInterval; at < last; at += tickInterval {
		w.after(at, func() {
			for _, e := range w.engines {
				e.Tick(w.clock())
			}
		})
	}
}

func (w *world) clock() time.Time { return origin.Add(w.now) }

func (w *world) after(at time.Duration, run func()) {
	w.queue.Add(at, run)
}

// runPending runs the functions that listeners deferred.
func (w *world) runPending() {
	for len(w.pending) > 0 {
		run := w.pending[0]
		w.pending = w.pending[1:]
		run()
	}
}

// pollServers sends the servers' load reports and cache events to the engines,
// where they arrive after reportLag.
func (w *world) pollServers() {
	measured := w.clock()
	for _, s := range w.servers {
		s.advance(w.now)
		w.schedule(s)
		report := s.report(measured)
		events := s.events
		s.events = nil
		for _, e := range w.engines {
			lost := w.random.IntN(lossOneIn) == 0
			w.after(w.now+reportLag, func() {
				e.LoadReport(w.clock(), s.Name, report)
				if !lost {
					e.CacheEvents(w.clock(), s.Name, cacheBatch(s, events))
				}
			})
		}
	}
}

func (w *world) arrive(a arrival) {
	c := &caller{arrival: a, world: w, engine: w.engines[a.instance]}
	spec := a.load.spec
	c.request = &traffic.Request{
		ID: fmt.Sprint(len(w.callers)), Organisation: a.organisation, Class: &spec, Pool: modelName,
		Idempotent: true, Stream: true, Prefixes: a.prefixes, InputTokens: a.input,
		Arrived: w.clock(), Deadline: w.clock().Add(time.Duration(spec.Deadline)), Gate: &result.Gate{},
	}
	w.callers = append(w.callers, c)
	w.result.offered(c)
	c.job = c.engine.Submit(w.clock(), c.request, c)
	w.after(w.now+time.Duration(spec.Deadline), func() { c.expire() })
}

// schedule schedules the server's next first or last token. Events that were
// scheduled for an earlier version of the server are ignored.
func (w *world) schedule(s *server) {
	at, ok := s.nextToken()
	if !ok {
		return
	}
	version := s.version
	w.after(max(at, w.now), func() {
		if s.version == version {
			w.progress(s)
		}
	})
}

// progress handles the tokens that are due on a server.
func (w *world) progress(s *server) {
	s.advance(w.now)
	var ended []*attempt
	for _, a := range s.running {
		if a.first == 0 && s.clock >= a.firstAt {
			a.first = w.now
		}
		if a.first != 0 && s.clock >= a.lastAt {
			ended = append(ended, a)
		}
	}
	for _, a := range ended {
		s.remove(w.now, a)
		a.caller.answered(a)
	}
	w.schedule(s)
}
