package order

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testStep = 5 * time.Second

// simulation is a fleet that executes the scaler's actions.
type simulation struct {
	now      time.Time
	scaler   *Scaler
	model    Model
	zones    []Zone
	servers  map[string]platform.Server
	startAt  map[string]time.Time
	draining map[string]time.Time
	busy     map[string]int
	started  int
	actions  []Action // of the last step
}

func newSimulation() *simulation {
	w := &simulation{
		now: time.Date(2031, 5, 4, 10, 0, 0, 0, time.UTC), scaler: NewScaler(Policy{}),
		model:    Model{Name: "m", MinServers: 1, MaxServers: 40, Slots: 10, StartTime: time.Minute},
		servers:  make(map[string]platform.Server),
		startAt:  make(map[string]time.Time),
		draining: make(map[string]time.Time),
		busy:     make(map[string]int),
	}
	for i := range 4 {
		w.zones = append(w.zones, Zone{Name: fmt.Sprintf("z%d", i), Price: 10, PreemptiblePrice: 3})
	}
	return w
}

// demand sets the load of three classes. The two lower tiers may run on preemptible
// servers.
func (w *simulation) demand(high, middle, low int) {
	w.model.Demands = []Demand{
		{Class: "status", Tier: 1, Running: high, Attainment: 1},
		{Class: "draft", Tier: 3, Running: middle, Preemptible: true, Attainment: 1},
		{Class: "batch", Tier: 6, Running: low, Preemptible: true, Attainment: 1},
	}
}

// step makes one decision and executes its actions.
func (w *simulation) step() {
	w.now = w.now.Add(testStep)
	o := Observation{Models: []Model{w.model}, Zones: w.zones, Busy: w.busy, Draining: w.draining}
	for name, s := range w.servers {
		if s.State == platform.ServerStarting && w.now.Sub(w.startAt[name]) >= w.model.StartTime {
			s.State = platform.ServerRunning
			w.servers[name] = s
		}
		o.Servers = append(o.Servers, w.servers[name])
	}
	w.actions = w.scaler.Decide(w.now, o)
	for _, a := range w.actions {
		w.act(a)
	}
}

func (w *simulation) act(a Action) {
	switch a.Kind {
	case Start:
		w.started++
		name := fmt.Sprintf("s%03d", w.started)
		w.servers[name] = platform.Server{Name: name, Model: a.Model, Zone: a.Zone, Preemptible: a.Preemptible, State: platform.ServerStarting}
		w.startAt[name] = w.now
		w.busy[name] = 0
	case Drain:
		w.draining[a.Server] = w.now
	case Undrain:
		delete(w.draining, a.Server)
	case Return:
		delete(w.servers, a.Server)
		delete(w.draining, a.Server)
	}
}

func (w *simulation) run(d time.Duration) {
	for range int(d / testStep) {
		w.step()
	}
}

// capacity counts the servers that accept work, without the preemptible ones of a zone.
func (w *simulation) capacity(exceptPreemptibleIn string) int {
	n := 0
	for name, s := range w.servers {
		_, draining := w.draining[name]
		usable := s.State == platform.ServerRunning && !draining && !w.drained(s.Zone)
		if usable && (!s.Preemptible || s.Zone != exceptPreemptibleIn) {
			n++
		}
	}
	return n
}

func (w *simulation) drained(zone string) bool {
	for _, z := range w.zones {
		if z.Name == zone {
			return z.Drained
		}
	}
	return false
}

func (w *simulation) preemptible() int {
	n := 0
	for _, s := range w.servers {
		if s.Preemptible {
			n++
		}
	}
	return n
}

// fataler is a *testing.T or a *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// checkSteady runs with a constant demand until the fleet has settled. It then checks
// that the capacity suffices, that no excess servers remain, and that the scaler takes
// no further action.
func (w *simulation) checkSteady(t fataler) {
	w.run(2 * time.Hour)
	total, protected := 0, 0
	for _, d := range w.model.Demands {
		total += d.Running
		if d.Tier < 6 {
			protected += d.Running
		}
	}
	if w.capacity("")*w.model.Slots < total {
		t.Fatalf("%d servers for %d requests", w.capacity(""), total)
	}
	for _, z := range w.zones {
		if left := w.capacity(z.Name) * w.model.Slots; left < protected {
			t.Fatalf("without the preemptible servers of %q %d slots are left for %d requests", z.Name, left, protected)
		}
	}
	if limit := serversFor(float64(total), w.model.Slots, 0.5) + 1; len(w.servers) > max(limit, 1) {
		t.Fatalf("%d servers are kept for %d requests", len(w.servers), total)
	}
	for range 100 {
		w.step()
		if len(w.actions) > 0 {
			t.Fatalf("steady demand causes %v", w.actions)
		}
	}
}

func TestScalerSteadyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		for range rapid.IntRange(1, 3).Draw(t, "phases") {
			w.demand(rapid.IntRange(0, 60).Draw(t, "high"), rapid.IntRange(0, 60).Draw(t, "middle"), rapid.IntRange(0, 60).Draw(t, "low"))
			w.checkSteady(t)
		}
	})
}

func TestScalerReplacesPreemptibleServers(t *testing.T) {
	w := newSimulation()
	w.demand(0, 0, 57)
	w.checkSteady(t)
	w.demand(3, 27, 1) // almost all of it must survive the loss of a zone
	w.checkSteady(t)
}

func TestScalerReturnsIdleDrainedServers(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.demand(100, 0, 0)
	w.run(10 * time.Minute)
	for name := range w.servers {
		w.busy[name] = 1
	}
	w.demand(10, 0, 0)
	before := len(w.servers)
	w.run(30 * time.Minute)
	is.True(len(w.draining) > 0)
	is.Equal(len(w.servers), before) // all servers are busy
	var drained string
	for name := range w.draining {
		drained = name
	}
	delete(w.busy, drained)
	w.run(time.Minute)
	is.Equal(len(w.servers), before) // the load of the drained server is unknown
	w.busy[drained] = 0
	w.draining[drained] = w.now
	w.step()
	is.Equal(len(w.servers), before) // some instances may not know of the drain yet
	w.run(time.Minute)
	is.Equal(len(w.servers), before-1)
}

func TestScalerUndrainsBeforeStarting(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.demand(100, 0, 0)
	w.run(10 * time.Minute)
	for name := range w.servers {
		w.busy[name] = 1
	}
	w.demand(10, 0, 0)
	w.run(30 * time.Minute)
	drained := len(w.draining)
	is.True(drained > 0)
	w.demand(100, 0, 0)
	w.step()
	for i, a := range w.actions {
		is.Equal(a.Kind == Undrain, i < drained)
	}
	is.Equal(len(w.draining), 0)
}

func TestScalerReplacesReclaimedServers(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.demand(20, 40, 60)
	w.run(time.Hour)
	is.True(w.preemptible() > 0)
	for name, s := range w.servers {
		if s.Preemptible && s.Zone == "z0" {
			s.State = platform.ServerDraining
			w.servers[name] = s
		}
	}
	w.step()
	for _, a := range w.actions {
		is.Equal(a.Kind, Start)
		is.True(!a.Preemptible || a.Zone != "z0")
	}
	is.True(len(w.actions) > 0)
	w.run(5 * time.Minute)
	is.True(w.capacity("")*w.model.Slots >= 120)
}

func TestScalerDrainedZone(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.demand(100, 0, 0)
	w.run(time.Hour)
	before := len(w.servers)
	w.zones[0].Drained = true
	w.run(5 * time.Minute)
	is.True(w.capacity("")*w.model.Slots >= 100)
	is.True(len(w.servers) > before) // servers of the drained zone are kept at first
	for _, s := range w.servers {
		is.True(w.startAt[s.Name].Before(w.now.Add(-5*time.Minute)) || s.Zone != "z0")
	}
	w.zones[0].Drained = false
	w.run(2 * time.Hour)
	is.True(w.capacity("")*w.model.Slots >= 100)
	zones := make(map[string]int)
	for _, s := range w.servers {
		zones[s.Zone]++
	}
	is.True(zones["z0"] > 0)
	w.zones[0].Drained = true
	w.run(time.Hour)
	for _, s := range w.servers {
		is.True(s.Zone != "z0") // returned once the zone stays drained
	}
}

func TestScalerLimitsConcurrentStarts(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.demand(200, 0, 0)
	for range 60 {
		w.step()
		starting := 0
		for _, s := range w.servers {
			if s.State == platform.ServerStarting {
				starting++
			}
		}
		is.True(starting <= w.scaler.policy.MaxConcurrentStarts)
	}
}

func TestScalerAnticipatesGrowth(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.scaler = NewScaler(Policy{MaxConcurrentStarts: 16})
	w.model.StartTime, w.model.MaxServers = 3*time.Minute, 80
	w.demand(60, 0, 0)
	w.run(20 * time.Minute)
	short := 0
	for half := range 40 {
		load := 60 + 8*half
		w.demand(load, 0, 0)
		w.run(30 * time.Second)
		if w.capacity("")*w.model.Slots < load {
			short++
		}
	}
	t.Logf("short for %d of 40 half minutes", short)
	is.True(short <= 4)
}

func TestScalerIgnoresNoise(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	noise := rand.New(rand.NewPCG(1, 2))
	moves := 0
	for range int(4 * time.Hour / testStep) {
		w.demand(90+noise.IntN(21), 0, 0)
		w.step()
		if w.now.Minute() >= 20 || w.now.Hour() > 10 {
			moves += len(w.actions)
		}
	}
	is.True(moves <= 4)
}

func TestScalerIgnoresShortDip(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.demand(100, 0, 0)
	w.run(time.Hour)
	w.demand(10, 0, 0)
	before := len(w.servers)
	w.run(3 * time.Minute)
	is.Equal(len(w.draining), 0)
	is.Equal(len(w.servers), before)
}

func TestNeedSurvivesPreemptibleZoneLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Model{MinServers: 1, MaxServers: 60, Slots: 10}
		standard := float64(rapid.IntRange(0, 100).Draw(t, "firm"))
		protected := standard + float64(rapid.IntRange(0, 100).Draw(t, "protected"))
		d := demand{standard: standard, protected: protected, total: protected + float64(rapid.IntRange(0, 100).Draw(t, "low"))}
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		n := needFor(m, d, 0.7, zones)
		left := n.total() - ceilDiv(n.preemptible, zones)
		if want := min(serversFor(protected, m.Slots, 0.7), n.total()); left < want {
			t.Fatalf("%+v over %d zones leaves %d of %d servers", n, zones, left, want)
		}
	})
}

func TestScalerAvoidsRefusingZone(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.scaler.RecordRefusal(w.now.Add(testStep), "z0")
	w.demand(100, 0, 0)
	w.step()
	is.True(len(w.actions) > 0)
	for _, a := range w.actions {
		is.True(a.Zone != "z0")
	}
}

func TestDemandBoostForMissedTarget(t *testing.T) {
	is := is.New(t)
	m := Model{MaxServers: 10, Slots: 10, Demands: []Demand{{Tier: 1, Running: 40, Queued: 5, Attainment: 0.5}}}
	missed := demandOf(m, 0.95)
	m.Demands[0].Attainment = 1
	is.True(missed.total > demandOf(m, 0.95).total)
}
