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

// world is a fleet that does what the scaler asks.
type world struct {
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

func newWorld() *world {
	w := &world{
		now: time.Date(2031, 5, 4, 10, 0, 0, 0, time.UTC), scaler: NewScaler(Policy{}),
		model:    Model{Name: "m", MinServers: 1, MaxServers: 40, Slots: 10, StartTime: time.Minute},
		servers:  make(map[string]platform.Server),
		startAt:  make(map[string]time.Time),
		draining: make(map[string]time.Time),
		busy:     make(map[string]int),
	}
	for i := range 4 {
		w.zones = append(w.zones, Zone{Name: fmt.Sprintf("z%d", i), Price: 10, CheapPrice: 3})
	}
	return w
}

// demand sets the load of three classes; the two lower tiers may run cheap.
func (w *world) demand(high, middle, low int) {
	w.model.Demands = []Demand{
		{Class: "status", Tier: 1, Running: high, Attainment: 1},
		{Class: "draft", Tier: 3, Running: middle, Cheap: true, Attainment: 1},
		{Class: "batch", Tier: 6, Running: low, Cheap: true, Attainment: 1},
	}
}

// step lets the scaler decide once and carries its actions out.
func (w *world) step() {
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

func (w *world) act(a Action) {
	switch a.Kind {
	case Start:
		w.started++
		name := fmt.Sprintf("s%03d", w.started)
		w.servers[name] = platform.Server{Name: name, Model: a.Model, Zone: a.Zone, Cheap: a.Cheap, State: platform.ServerStarting}
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

func (w *world) run(d time.Duration) {
	for range int(d / testStep) {
		w.step()
	}
}

// capacity counts the servers that take work, without the cheap ones of a zone.
func (w *world) capacity(withoutCheapOf string) int {
	n := 0
	for name, s := range w.servers {
		_, draining := w.draining[name]
		usable := s.State == platform.ServerRunning && !draining && !w.out(s.Zone)
		if usable && (!s.Cheap || s.Zone != withoutCheapOf) {
			n++
		}
	}
	return n
}

func (w *world) out(zone string) bool {
	for _, z := range w.zones {
		if z.Name == zone {
			return z.Out
		}
	}
	return false
}

func (w *world) cheap() int {
	n := 0
	for _, s := range w.servers {
		if s.Cheap {
			n++
		}
	}
	return n
}

// fataler is a *testing.T or a *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// checkSteady lets a steady demand settle and then demands that it is served,
// that no more is kept than it needs, and that nothing is changed any more.
func (w *world) checkSteady(t fataler) {
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
			t.Fatalf("without the cheap servers of %q %d slots are left for %d requests", z.Name, left, protected)
		}
	}
	if most := servers(float64(total), w.model.Slots, 0.5) + 1; len(w.servers) > max(most, 1) {
		t.Fatalf("%d servers are kept for %d requests", len(w.servers), total)
	}
	for range 100 {
		w.step()
		if len(w.actions) > 0 {
			t.Fatalf("steady demand causes %v", w.actions)
		}
	}
}

func TestSteadyDemandIsServedAndLeftAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 3).Draw(t, "phases") {
			w.demand(rapid.IntRange(0, 60).Draw(t, "high"), rapid.IntRange(0, 60).Draw(t, "middle"), rapid.IntRange(0, 60).Draw(t, "low"))
			w.checkSteady(t)
		}
	})
}

func TestFirmServersTakeThePlaceOfCheapOnes(t *testing.T) {
	w := newWorld()
	w.demand(0, 0, 57)
	w.checkSteady(t)
	w.demand(3, 27, 1) // almost all of it must survive the loss of a zone
	w.checkSteady(t)
}

func TestServerIsReturnedOnlyWhenDrainedAndIdle(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.demand(100, 0, 0)
	w.run(10 * time.Minute)
	for name := range w.servers {
		w.busy[name] = 1
	}
	w.demand(10, 0, 0)
	before := len(w.servers)
	w.run(30 * time.Minute)
	is.True(len(w.draining) > 0)
	is.Equal(len(w.servers), before) // all are busy
	var drained string
	for name := range w.draining {
		drained = name
	}
	delete(w.busy, drained)
	w.run(time.Minute)
	is.Equal(len(w.servers), before) // its load is unknown
	w.busy[drained] = 0
	w.draining[drained] = w.now
	w.step()
	is.Equal(len(w.servers), before) // not every instance may have heard of the drain
	w.run(time.Minute)
	is.Equal(len(w.servers), before-1)
}

func TestDrainingServerTakesWorkAgainBeforeAnotherIsStarted(t *testing.T) {
	is := is.New(t)
	w := newWorld()
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

func TestReclaimedZoneIsReplacedElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.demand(20, 40, 60)
	w.run(time.Hour)
	is.True(w.cheap() > 0)
	for name, s := range w.servers {
		if s.Cheap && s.Zone == "z0" {
			s.State = platform.ServerLeaving
			w.servers[name] = s
		}
	}
	w.step()
	for _, a := range w.actions {
		is.Equal(a.Kind, Start)
		is.True(!a.Cheap || a.Zone != "z0")
	}
	is.True(len(w.actions) > 0)
	w.run(5 * time.Minute)
	is.True(w.capacity("")*w.model.Slots >= 120)
}

func TestZoneOutIsReplacedAndComesBackWithItsServers(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.demand(100, 0, 0)
	w.run(time.Hour)
	before := len(w.servers)
	w.zones[0].Out = true
	w.run(5 * time.Minute)
	is.True(w.capacity("")*w.model.Slots >= 100)
	is.True(len(w.servers) > before) // those of the zone are kept for a while
	for _, s := range w.servers {
		is.True(w.startAt[s.Name].Before(w.now.Add(-5*time.Minute)) || s.Zone != "z0")
	}
	w.zones[0].Out = false
	w.run(2 * time.Hour)
	is.True(w.capacity("")*w.model.Slots >= 100)
	zones := make(map[string]int)
	for _, s := range w.servers {
		zones[s.Zone]++
	}
	is.True(zones["z0"] > 0)
	w.zones[0].Out = true
	w.run(time.Hour)
	for _, s := range w.servers {
		is.True(s.Zone != "z0") // given back when the zone stays out
	}
}

func TestStartsArePacedByTheWeightStore(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.demand(200, 0, 0)
	for range 60 {
		w.step()
		starting := 0
		for _, s := range w.servers {
			if s.State == platform.ServerStarting {
				starting++
			}
		}
		is.True(starting <= w.scaler.policy.StartsAtOnce)
	}
}

func TestGrowingDemandIsMetAheadOfTheStartTime(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.scaler = NewScaler(Policy{StartsAtOnce: 16})
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

func TestNoisyDemandMovesFewServers(t *testing.T) {
	is := is.New(t)
	w := newWorld()
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

func TestShortLowDemandDrainsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.demand(100, 0, 0)
	w.run(time.Hour)
	w.demand(10, 0, 0)
	before := len(w.servers)
	w.run(3 * time.Minute)
	is.Equal(len(w.draining), 0)
	is.Equal(len(w.servers), before)
}

func TestLossOfAnyCheapZoneLeavesTheProtectedDemandServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Model{MinServers: 1, MaxServers: 60, Slots: 10}
		firm := float64(rapid.IntRange(0, 100).Draw(t, "firm"))
		protected := firm + float64(rapid.IntRange(0, 100).Draw(t, "protected"))
		d := demand{firm: firm, protected: protected, total: protected + float64(rapid.IntRange(0, 100).Draw(t, "low"))}
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		n := needFor(m, d, 0.7, zones)
		left := n.total() - ceilDiv(n.cheap, zones)
		if want := min(servers(protected, m.Slots, 0.7), n.total()); left < want {
			t.Fatalf("%+v over %d zones leaves %d of %d servers", n, zones, left, want)
		}
	})
}

func TestRefusedZoneIsAvoided(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.scaler.Refused(w.now.Add(testStep), "z0")
	w.demand(100, 0, 0)
	w.step()
	is.True(len(w.actions) > 0)
	for _, a := range w.actions {
		is.True(a.Zone != "z0")
	}
}

func TestMissedTargetAddsCapacity(t *testing.T) {
	is := is.New(t)
	m := Model{MaxServers: 10, Slots: 10, Demands: []Demand{{Tier: 1, Running: 40, Queued: 5, Attainment: 0.5}}}
	missed := demandOf(m, 0.95)
	m.Demands[0].Attainment = 1
	is.True(missed.total > demandOf(m, 0.95).total)
}
