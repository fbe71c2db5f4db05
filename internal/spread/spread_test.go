package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	zones          = 10
	zonesPerRegion = 3
	messageBytes   = 180 // a key change with packet headers
	sameZone       = 300 * time.Microsecond
	sameRegion     = time.Millisecond
	otherRegion    = 40 * time.Millisecond
	processing     = time.Millisecond
)

// delivery is one message in flight.
type delivery struct {
	at       time.Duration
	from, to int
	hops     int
}

type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)        { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// outcome is the result and the cost of one broadcast.
type outcome struct {
	messages, crossRegion, missed, hops int
	last                                time.Duration
}

func fleet(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Name: fmt.Sprintf("i%03d", i), Zone: fmt.Sprintf("z%02d", i%min(zones, n))}
	}
	return members
}

func zoneNumber(m Member) int {
	return int(m.Zone[1]-'0')*10 + int(m.Zone[2]-'0')
}

func latency(a, b Member) time.Duration {
	za, zb := zoneNumber(a), zoneNumber(b)
	switch {
	case za == zb:
		return sameZone + processing
	case za/zonesPerRegion == zb/zonesPerRegion:
		return sameRegion + processing
	default:
		return otherRegion + processing
	}
}

// broadcast simulates one message from origin. views returns the view of each
// member; crashed members receive nothing.
func broadcast(s Strategy, members []Member, views func(int) View, crashed map[int]bool, origin int, rng *rand.Rand) outcome {
	var out outcome
	byName := make(map[string]int, len(members))
	for i, m := range members {
		byName[m.Name] = i
	}
	copies := make([]int, len(members))
	var queue deliveries
	send := func(d delivery) {
		r := Receipt{Copies: copies[d.to]}
		if d.from >= 0 {
			r.From = members[d.from].Name
		}
		copies[d.to]++
		for _, name := range s.Targets(views(d.to), members[d.to].Name, r, rng) {
			to := byName[name]
			out.messages++
			if zoneNumber(members[to])/zonesPerRegion != zoneNumber(members[d.to])/zonesPerRegion {
				out.crossRegion++
			}
			if !crashed[to] {
				heap.Push(&queue, delivery{at: d.at + latency(members[d.to], members[to]), from: d.to, to: to, hops: d.hops + 1})
			}
		}
	}
	send(delivery{from: -1, to: origin})
	for queue.Len() > 0 {
		d := heap.Pop(&queue).(delivery)
		if copies[d.to] == 0 {
			out.hops = max(out.hops, d.hops)
			out.last = max(out.last, d.at)
		}
		send(d)
	}
	for i, c := range copies {
		if c == 0 && !crashed[i] {
			out.missed++
		}
	}
	return out
}

// scenario describes the faults during a broadcast.
type scenario struct {
	name    string
	crashed int  // members at random
	zone    bool // a whole availability zone
	views   int  // members that each view lacks at random
}

var scenarios = []scenario{
	{name: "none"}, {name: "1 crashed", crashed: 1}, {name: "2 crashed", crashed: 2},
	{name: "3 crashed", crashed: 3}, {name: "4 crashed", crashed: 4},
	{name: "zone crashed", zone: true}, {name: "views differ", views: 2},
}

var strategies = []struct {
	name     string
	strategy Strategy
}{
	{"flood harary 4", Flood{Graph{Degree: 4, Adjacent: true}}},
	{"flood harary 6", Flood{Graph{Degree: 6, Adjacent: true}}},
	{"flood geometric 4", Flood{Graph{Degree: 4}}},
	{"flood geometric 6", Flood{Graph{Degree: 6}}},
	{"flood default", Flood{}},
	{"all to all", AllToAll{}},
	{"gossip 3x2", Gossip{Fanout: 3, Rounds: 2}},
	{"gossip 4x3", Gossip{Fanout: 4, Rounds: 3}},
}

// summary is the sum of the outcomes of one strategy, fleet size and scenario.
type summary struct {
	runs, messages, crossRegion, missed, incomplete, hops int
	last                                                  time.Duration
}

func measure(s Strategy, n int, sc scenario, runs int) summary {
	rng := rand.New(rand.NewPCG(uint64(n), uint64(len(sc.name))))
	members := fleet(n)
	whole := NewView(members)
	views := func(int) View { return whole }
	if sc.views > 0 {
		views = differingViews(members, sc.views, rng)
	}
	var sum summary
	for range runs {
		crashed := make(map[int]bool)
		for len(crashed) < sc.crashed {
			crashed[rng.IntN(n)] = true
		}
		if sc.zone {
			z := rng.IntN(min(zones, n))
			for i, m := range members {
				crashed[i] = zoneNumber(m) == z
			}
		}
		origin := rng.IntN(n)
		for crashed[origin] {
			origin = rng.IntN(n)
		}
		o := broadcast(s, members, views, crashed, origin, rng)
		sum.runs++
		sum.messages += o.messages
		sum.crossRegion += o.crossRegion
		sum.missed += o.missed
		if o.missed > 0 {
			sum.incomplete++
		}
		sum.hops = max(sum.hops, o.hops)
		sum.last = max(sum.last, o.last)
	}
	return sum
}

// differingViews returns a view for each member in which some others are
// missing.
func differingViews(members []Member, lacking int, rng *rand.Rand) func(int) View {
	views := make([]View, len(members))
	for i := range members {
		var seen []Member
		drop := rng.Perm(len(members))[:lacking]
		for j, m := range members {
			if j == i || (j != drop[0] && j != drop[1]) {
				seen = append(seen, m)
			}
		}
		views[i] = NewView(seen)
	}
	return func(i int) View { return views[i] }
}

func (s summary) String() string {
	return fmt.Sprintf("%9.1f %9.1f %10.1f %6d %9s %7d %10d",
		float64(s.messages)/float64(s.runs), float64(s.crossRegion)/float64(s.runs),
		float64(s.messages*messageBytes)/float64(s.runs)/1024, s.hops,
		s.last.Round(time.Millisecond), s.missed, s.incomplete)
}

func TestStrategies(t *testing.T) {
	const runs = 20
	chosen := Strategy(Flood{})
	is := is.New(t)
	for _, n := range []int{8, 410} {
		for _, sc := range scenarios {
			for _, st := range strategies {
				sum := measure(st.strategy, n, sc, runs)
				t.Logf("%3d %-12s %-17s %s", n, sc.name, st.name, sum)
				if st.strategy != chosen {
					continue
				}
				if sc.crashed < len(Graph{}.Neighbours(NewView(fleet(n)), fleet(n)[0].Name)) {
					is.Equal(sum.missed, 0)
				}
				is.True(sum.messages <= runs*(n*SmallFleetDegree)) // linear in the fleet
				is.True(sum.hops <= 30)
				is.True(sum.last <= 500*time.Millisecond)
			}
		}
	}
}

func TestGraphConnectivity(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{2, 3, 4, 5, 7, 8, 9, 16, 50, 100, 409, 410, 411} {
		members := fleet(n)
		view := NewView(members)
		g := Graph{}
		degree := len(g.Neighbours(view, members[0].Name))
		for range 200 {
			crashed := make(map[int]bool)
			for len(crashed) < min(degree-1, n-1) {
				crashed[rng.IntN(n)] = true
			}
			origin := 0
			for crashed[origin] {
				origin++
			}
			o := broadcast(Flood{g}, members, func(int) View { return view }, crashed, origin, rng)
			is.Equal(o.missed, 0)
		}
	}
}

func TestNeighboursAreSymmetric(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 3, 8, 50, 410} {
		view := NewView(fleet(n))
		for i := range n {
			name := view.At(i).Name
			for _, other := range (Graph{}).Neighbours(view, name) {
				is.True(other != name)
				found := false
				for _, back := range (Graph{}).Neighbours(view, other) {
					found = found || back == name
				}
				is.True(found)
			}
		}
	}
}

func BenchmarkBroadcast(b *testing.B) {
	for _, n := range []int{8, 410} {
		for _, st := range strategies {
			b.Run(fmt.Sprintf("%d/%s", n, st.name), func(b *testing.B) {
				sum := measure(st.strategy, n, scenarios[0], b.N)
				b.ReportMetric(float64(sum.messages)/float64(b.N), "messages/op")
				b.ReportMetric(float64(sum.crossRegion)/float64(b.N), "crossregion/op")
			})
		}
	}
}
