package reports

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// testFleet is a number of instances of one zone whose subscriptions are played without
// connections. Each instance takes the sources from a list of its own, which may be
// older than the newest one.
type testFleet struct {
	random    *rand.Rand
	clock     boottime.Instant
	sources   []string // the newest list
	names     []string
	instances map[string]*fleetInstance
	published map[publication]int // requests in flight by snapshot
}

// publication identifies a snapshot.
type publication struct {
	origin      string
	incarnation uint64
	sequence    uint64
}

// fleetInstance is one instance. It implements Roster.
type fleetInstance struct {
	name          string
	fleet         *testFleet
	sources       []string // the list that it knows
	balancer      *fakeBalancer
	hub           *Hub
	subscriptions map[Peer]*subscriber // at the hub of the peer
}

const (
	fleetSize    = 8
	fleetSources = 2
)

func newTestFleet(seed uint64) *testFleet {
	f := &testFleet{
		random: rand.New(rand.NewPCG(seed, 0)), clock: boottime.Instant(time.Hour),
		instances: map[string]*fleetInstance{}, published: map[publication]int{},
	}
	for n := range fleetSize {
		f.names = append(f.names, fmt.Sprint("i", n))
	}
	f.changeSources()
	for _, name := range f.names {
		f.instances[name] = &fleetInstance{name: name, fleet: f, sources: f.sources}
		f.instances[name].start()
	}
	return f
}

func (f *testFleet) changeSources() {
	f.sources = nil
	for _, n := range f.random.Perm(fleetSize)[:fleetSources] {
		f.sources = append(f.sources, f.names[n])
	}
}

// start starts the instance anew: it knows nothing and has no connections.
func (i *fleetInstance) start() {
	for p, s := range i.subscriptions {
		i.fleet.instances[p.Instance].hub.unsubscribe(s)
	}
	i.balancer = &fakeBalancer{}
	i.hub = NewHub(i.name, i.balancer, newTracker(i.name), func() boottime.Instant { return i.fleet.clock })
	i.subscriptions = map[Peer]*subscriber{}
	for _, other := range i.fleet.instances {
		for p := range other.subscriptions {
			if p.Instance == i.name {
				delete(other.subscriptions, p)
			}
		}
	}
}

// Upstream implements Roster.
func (i *fleetInstance) Upstream() []Peer {
	if !slices.Contains(i.sources, i.name) {
		nearest := slices.MinFunc(i.sources, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(i.name+a), xxhash.Sum64String(i.name+b))
		})
		return []Peer{{Instance: nearest, Relation: RelationSource}}
	}
	var peers []Peer
	for _, name := range i.sources {
		if name != i.name {
			peers = append(peers, Peer{Instance: name, Relation: RelationPeer})
		}
	}
	return peers
}

// Follower implements Roster.
func (i *fleetInstance) Follower(instance string) (Peer, bool) {
	return Peer{Instance: instance, Relation: RelationFollower}, true
}

// reconcile does to the subscriptions what a Mesh does.
func (i *fleetInstance) reconcile() {
	desired := desiredPeers(i, i.hub.followers())
	for p, s := range i.subscriptions {
		if !desired[p] {
			i.fleet.instances[p.Instance].hub.unsubscribe(s)
			delete(i.subscriptions, p)
		}
	}
	for p := range desired {
		if i.subscriptions[p] == nil {
			relation, _ := p.Relation.inverse()
			i.subscriptions[p] = i.fleet.instances[p.Instance].hub.subscribe(i.name, relation)
		}
	}
}

// publish publishes a report, and notes the instance's snapshot.
func (i *fleetInstance) publish() {
	i.hub.publish()
	i.fleet.published[publication{i.name, i.hub.incarnation, i.hub.own.Sequence}] = i.hub.own.Loads["s"].InFlight
}

// deliver receives the next report of each subscription.
func (i *fleetInstance) deliver() {
	for p, s := range i.subscriptions {
		if r, ok := i.fleet.instances[p.Instance].hub.nextReport(s); ok {
			i.hub.receive(p.Instance, p.Relation, r)
		}
	}
}

// step does one random thing to one instance.
func (f *testFleet) step() {
	i := f.instances[f.names[f.random.IntN(fleetSize)]]
	switch f.random.IntN(24) {
	case 0:
		f.changeSources()
	case 1:
		i.start()
	case 2, 3, 4:
		i.sources = f.sources
	case 5, 6, 7, 8:
		i.reconcile()
	case 9, 10, 11, 12:
		i.balancer.own = map[string]balance.Load{"s": {InFlight: 1 + f.random.IntN(10)}}
		i.publish()
	case 13, 14, 15:
		f.clock = f.clock.Add(time.Duration(f.random.IntN(200)) * time.Millisecond)
	default:
		i.deliver()
	}
}

// check reports a load that its origin did not publish, or an expired one that is used.
func (f *testFleet) check(t *testing.T) {
	t.Helper()
	for _, i := range f.instances {
		for name, o := range i.hub.origins.byName {
			s := o.snapshot
			inFlight, published := f.published[publication{name, s.Incarnation, s.Sequence}]
			if name == i.name || !published {
				t.Fatalf("%s knows a load of %s that %s did not publish", i.name, name, name)
			}
			if !o.expired && s.Loads["s"].InFlight != inFlight {
				t.Fatalf("%s knows %d requests of %s, which published %d", i.name, s.Loads["s"].InFlight, name, inFlight)
			}
		}
	}
}

// settle lets all instances know the newest sources, and waits for several reports.
func (f *testFleet) settle() {
	for _, i := range f.instances {
		i.sources = f.sources
	}
	for range 8 {
		f.clock = f.clock.Add(heartbeatInterval)
		for _, name := range f.names {
			i := f.instances[name]
			i.reconcile()
			i.publish()
			i.deliver()
		}
	}
}

// checkSettled checks that each instance knows the loads of all others and is connected
// to its source, its peer or its followers alone.
func (f *testFleet) checkSettled(t *testing.T) {
	t.Helper()
	total := 0
	for _, i := range f.instances {
		total += i.balancer.own["s"].InFlight
	}
	for _, i := range f.instances {
		if got, want := i.balancer.othersOn("s").InFlight, total-i.balancer.own["s"].InFlight; got != want {
			t.Fatalf("%s knows %d requests of the others, want %d", i.name, got, want)
		}
		for p := range i.subscriptions {
			up := slices.Contains(i.Upstream(), p)
			down := p.Relation == RelationFollower && slices.Contains(f.instances[p.Instance].Upstream(), Peer{Instance: i.name, Relation: RelationSource})
			if !up && !down {
				t.Fatalf("%s is still subscribed to %s as its %s", i.name, p.Instance, p.Relation)
			}
		}
	}
}

// TestLoadsWhileSourcesChange guards against loads that are counted more than once, or
// never again, when instances restart and disagree on who reads the store: each load that
// an instance knows must be one that its origin published, and once all agree, all loads
// must be known and no subscription of before may be left.
func TestLoadsWhileSourcesChange(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newTestFleet(seed)
			for range 600 {
				f.step()
				f.check(t)
			}
			f.settle()
			f.check(t)
			f.checkSettled(t)
		})
	}
}
