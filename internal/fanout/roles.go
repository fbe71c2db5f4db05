package fanout

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastZone is the number of instances of a zone from which it has sources.
	leastZone = 6
	// leastSources is the number of sources of a zone, so that the loss of one
	// sends nobody to the store for long.
	leastSources = 2
	// instancesPerSource is the number of instances that one source may serve.
	instancesPerSource = 16
)

// Member is an instance as the others know it.
type Member struct {
	Name, Zone string
	// Address is the IP and port of its listener for instances. Empty: none.
	Address string
	// Token authorises calls to it.
	Token string
	// Cores is its share of processors. Zero: unknown.
	Cores float64
	// Leaving is true once a planned stop has begun.
	Leaving bool
}

// mayServe reports whether the member can be a source.
func (m Member) mayServe() bool { return m.Address != "" && m.Token != "" && !m.Leaving }

// Sources returns the sources of a zone, the same ones for equal members: those
// with most processor. It returns none for a zone with few instances.
func Sources(members []Member, zone string) []Member {
	inZone := 0
	var able []Member
	for _, m := range members {
		if m.Zone != zone {
			continue
		}
		inZone++
		if m.mayServe() {
			able = append(able, m)
		}
	}
	if inZone < leastZone {
		return nil
	}
	slices.SortFunc(able, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(weight(zone, b.Name), weight(zone, a.Name)), strings.Compare(a.Name, b.Name))
	})
	count := max(leastSources, int(math.Ceil(float64(inZone)/instancesPerSource)))
	return able[:min(count, len(able))]
}

// preferred orders the sources for one instance, so that all sources serve about
// equally many.
func preferred(sources []Member, instance string) []Member {
	ordered := slices.Clone(sources)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(instance, b.Name), weight(instance, a.Name)), strings.Compare(a.Name, b.Name))
	})
	return ordered
}

// standIns returns the instances that may stand in for the store for one instance,
// those of its zone first.
func standIns(members []Member, instance, zone string) []Member {
	var near, far []Member
	for _, m := range members {
		switch {
		case m.Name == instance || !m.mayServe():
		case m.Zone == zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return append(preferred(near, instance), preferred(far, instance)...)
}

// Readers returns the instances that read the store themselves.
func Readers(members []Member) []Member {
	zones := map[string][]Member{}
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	var found []Member
	for zone, inZone := range zones {
		if sources := Sources(inZone, zone); len(sources) > 0 {
			inZone = sources
		}
		found = append(found, inZone...)
	}
	return found
}

// weight is the random weight of a name for a key.
func weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
