package fanout

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestSourcesAreTheInstancesWithMostProcessor(t *testing.T) {
	is := is.New(t)
	members := zoneOf("a", 10)
	members[3].Cores, members[7].Cores, members[8].Cores = 0.8, 0.8, 0.8
	members[7].Leaving = true
	sources := Sources(members, "a")
	is.Equal(len(sources), 2)
	for _, m := range sources {
		is.True(m.Name == "a-3" || m.Name == "a-8")
	}
}

func TestSmallZonesHaveNoSources(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Sources(zoneOf("a", leastZone-1), "a")), 0)
	is.Equal(len(Sources(append(zoneOf("a", 3), zoneOf("b", 9)...), "a")), 0)
	is.Equal(len(Sources(zoneOf("a", 103), "a")), 7) // the target's zones
}

func TestReadersGrowFarLessThanInstances(t *testing.T) {
	is := is.New(t)
	count := func(n int) int {
		var members []Member
		for zone := range 10 {
			members = append(members, zoneOf(fmt.Sprint("z", zone), n/10)...)
		}
		return len(Readers(members))
	}
	is.Equal(count(30), 30)   // nobody follows
	is.Equal(count(100), 20)  // two a zone
	is.True(count(410) <= 30) // of 410
}

func TestInstancesSpreadOverTheSources(t *testing.T) {
	is := is.New(t)
	sources := zoneOf("a", 4)
	served := map[string]int{}
	for i := range 400 {
		served[preferred(sources, fmt.Sprint("i-", i))[0].Name]++
	}
	for _, n := range served {
		is.True(n > 60 && n < 140)
	}
}
