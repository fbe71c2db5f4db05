package fanout

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestSourcesHaveMostCores(t *testing.T) {
	is := is.New(t)
	members := membersOf("a", 10)
	members[3].Cores, members[7].Cores, members[8].Cores = 0.8, 0.8, 0.8
	members[7].Leaving = true
	sources := Sources(members, "a")
	is.Equal(len(sources), 2)
	for _, m := range sources {
		is.True(m.Name == "a-3" || m.Name == "a-8")
	}
}

func TestSourceCountByZoneSize(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Sources(membersOf("a", minZoneInstances-1), "a")), 0)
	is.Equal(len(Sources(append(membersOf("a", 3), membersOf("b", 9)...), "a")), 0)
	is.Equal(len(Sources(membersOf("a", 103), "a")), 7) // zone size of the capacity target
}

func TestStoreReaderCount(t *testing.T) {
	is := is.New(t)
	count := func(n int) int {
		var members []Member
		for zone := range 10 {
			members = append(members, membersOf(fmt.Sprint("z", zone), n/10)...)
		}
		return len(StoreReaders(members))
	}
	is.Equal(count(30), 30)   // zones too small for sources
	is.Equal(count(100), 20)  // two per zone
	is.True(count(410) <= 30) // at most three per zone
}

func TestRankForSpreadsInstances(t *testing.T) {
	is := is.New(t)
	sources := membersOf("a", 4)
	served := map[string]int{}
	for i := range 400 {
		served[rankFor(sources, fmt.Sprint("i-", i))[0].Name]++
	}
	for _, n := range served {
		is.True(n > 60 && n < 140)
	}
}
