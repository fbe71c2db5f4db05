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
	members := testMembers(smallFleet, 4)
	for _, m := range members {
		is.Equal(len(Subset(members, m.Name, servers)), len(servers))
	}
}

func TestPlanCoversEveryServerThroughLossOfAZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(2, testZones).Draw(t, "zones")
		members := testMembers(rapid.IntRange(max(covers*zones, smallFleet+1), 120).Draw(t, "members"), zones)
		servers := testServers(rapid.IntRange(1, 200).Draw(t, "servers"), zones, 5)
		p := NewPlan(members, servers)
		for i, s := range servers {
			perZone := make(map[string]int)
			watchers := p.watchers[p.byName[s.Name]]
			for _, m := range watchers[:covers] {
				perZone[p.members[m].Zone]++
			}
			for zone, n := range perZone {
				if n > zoneCovers {
					t.Fatalf("%d of the covers of server %d are in %s", n, i, zone)
				}
			}
			owner, backup := p.members[watchers[0]], p.members[watchers[1]]
			if owner.Region != s.Region {
				t.Fatalf("owner of a server in %s is in %s", s.Region, owner.Region)
			}
			if backup.Zone == owner.Zone {
				t.Fatalf("owner and backup of a server are in %s", owner.Zone)
			}
		}
	})
}

func TestPlanGivesEveryInstanceServersOfEveryPool(t *testing.T) {
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
				if held[pool] < min(n, poolMinimum) {
					t.Fatalf("%s routes to %d of %d servers of %s", m.Name, held[pool], n, pool)
				}
			}
		}
	})
}

// moved counts the pairs of server and cover that only one of two plans has.
func moved(a, b *Plan) int {
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

func TestPlanMovesFewServersWhenAnInstanceGoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := testMembers(rapid.IntRange(3*covers, 150).Draw(t, "members"), 3)
		servers := testServers(200, 3, 2)
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		before := NewPlan(members, servers)
		after := NewPlan(slices.Delete(slices.Clone(members), gone, gone+1), servers)
		own := len(before.Subset(members[gone].Name))
		// The servers of the one that went are taken by one other each; the quota
		// per zone and the minimum per pool move a few more.
		if n := moved(before, after); n > 3*own+poolMinimum*covers {
			t.Fatalf("%d moves for an instance with %d servers", n, own)
		}
	})
}

func TestPlanDoesNotDependOnTheOrderOfTheLists(t *testing.T) {
	is := is.New(t)
	members, servers := testMembers(50, testZones), testServers(300, testZones, 7)
	a := NewPlan(members, servers)
	slices.Reverse(members)
	slices.Reverse(servers)
	is.Equal(a.watchers, NewPlan(members, servers).watchers)
}
