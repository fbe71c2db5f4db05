package enginewatch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testZones   = 10
	testRegions = 4
)

func testRegion(zone int) string { return fmt.Sprintf("region-%d", zone%testRegions) }

func testMembers(n, zones int) []Member {
	list := make([]Member, n)
	for i := range list {
		zone := i % zones
		list[i] = Member{Name: fmt.Sprintf("instance-%03d", i), Zone: fmt.Sprintf("zone-%d", zone), Region: testRegion(zone)}
	}
	return list
}

func testServers(n, zones, pools int) []Server {
	list := make([]Server, n)
	for i := range list {
		zone := i % zones
		list[i] = Server{
			Name: fmt.Sprintf("engine-%05d", i), Zone: fmt.Sprintf("zone-%d", zone),
			Region: testRegion(zone), Pool: fmt.Sprintf("model-%d", i/zones%pools),
		}
	}
	return list
}

func TestSmallFleetRoutesToEveryServer(t *testing.T) {
	is := is.New(t)
	servers := testServers(20, 4, 3)
	members := testMembers(maxSmallFleet, 4)
	for _, m := range members {
		is.Equal(len(Subset(members, m.Name, servers)), len(servers))
	}
}

// If all watchers or both first readers of a server were in one availability
// zone, the loss of that zone would leave the server without requests or
// reports.
func TestPlanSpreadsWatchersOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(2, testZones).Draw(t, "zones")
		members := testMembers(rapid.IntRange(max(watchersPerServer*zones, maxSmallFleet+1), 120).Draw(t, "members"), zones)
		servers := testServers(rapid.IntRange(1, 200).Draw(t, "servers"), zones, 5)
		p := NewPlan(members, servers)
		for i, s := range servers {
			perZone := make(map[string]int)
			watchers := p.watchers[p.byName[s.Name]]
			for _, m := range watchers[:watchersPerServer] {
				perZone[p.members[m].Zone]++
			}
			for zone, n := range perZone {
				if n > watchersPerZone {
					t.Fatalf("%d of the watchers of server %d are in %s", n, i, zone)
				}
			}
			first, second := p.members[watchers[0]], p.members[watchers[1]]
			if first.Region != s.Region {
				t.Fatalf("first reader of a server in %s is in %s", s.Region, first.Region)
			}
			if second.Zone == first.Zone {
				t.Fatalf("first and second reader of a server are in %s", first.Zone)
			}
		}
	})
}

func TestPlanFillsPoolMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := testMembers(rapid.IntRange(1, 100).Draw(t, "members"), testZones)
		servers := testServers(rapid.IntRange(1, 400).Draw(t, "servers"), testZones, 7)
		size := make(map[string]int)
		for _, s := range servers {
			size[s.Pool]++
		}
		p := NewPlan(members, servers)
		for _, m := range members {
			held := make(map[string]int)
			for _, name := range p.Subset(m.Name) {
				held[p.servers[p.byName[name]].Pool]++
			}
			for pool, n := range size {
				if held[pool] < min(n, minPoolServers) {
					t.Fatalf("%s routes to %d of %d servers of %s", m.Name, held[pool], n, pool)
				}
			}
		}
	})
}

// countMoves counts the pairs of server and watcher that only one of two plans
// contains.
func countMoves(a, b *Plan) int {
	n := 0
	for _, s := range a.servers {
		before := a.Watchers(s.Name)
		after := b.Watchers(s.Name)
		for _, m := range before {
			if !slices.Contains(after, m) {
				n++
			}
		}
		for _, m := range after {
			if !slices.Contains(before, m) {
				n++
			}
		}
	}
	return n
}

func TestPlanChangesLittleOnMemberLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := testMembers(rapid.IntRange(3*watchersPerServer, 150).Draw(t, "members"), 3)
		servers := testServers(200, 3, 2)
		removed := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		before := NewPlan(members, servers)
		after := NewPlan(slices.Delete(slices.Clone(members), removed, removed+1), servers)
		own := len(before.Subset(members[removed].Name))
		// Each server of the removed instance gets one new watcher. The limit per
		// zone and the minimum per pool cause a few more moves.
		if n := countMoves(before, after); n > 3*own+minPoolServers*watchersPerServer {
			t.Fatalf("%d moves after the removal of an instance with %d servers", n, own)
		}
	})
}

func TestPlanIgnoresListOrder(t *testing.T) {
	is := is.New(t)
	members, servers := testMembers(50, testZones), testServers(300, testZones, 7)
	a := NewPlan(members, servers)
	slices.Reverse(members)
	slices.Reverse(servers)
	is.Equal(a.watchers, NewPlan(members, servers).watchers)
}
