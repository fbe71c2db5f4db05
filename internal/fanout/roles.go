package fanout

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// minZoneInstances is the number of instances from which a zone has sources.
	minZoneInstances = 6
	// minSources is the minimum number of sources of a zone. With two, a crash of one
	// sends no instance to the store for long.
	minSources = 2
	// instancesPerSource is the number of instances of the zone per source.
	instancesPerSource = 16
)

// Member describes an instance to the others.
type Member struct {
	Name, Zone string
	// Address is the IP and port of its listener for other instances. Empty means that
	// it has none.
	Address string
	// Token authorizes calls to it. Empty means that it serves no calls.
	Token string
	// Cores is the number of processor cores available to it. Zero means unknown.
	Cores float64
	// Leaving is true once a graceful shutdown has begun.
	Leaving bool
}

// canServe reports whether the member may be a source or a proxy.
func (m Member) canServe() bool { return m.Address != "" && m.Token != "" && !m.Leaving }

// Sources returns the sources of a zone: the members with the most cores, ties broken by
// rendezvous hashing. The result depends only on the set of members. It is empty for a
// zone of fewer than minZoneInstances.
func Sources(members []Member, zone string) []Member {
	inZone := 0
	var eligible []Member
	for _, m := range members {
		if m.Zone != zone {
			continue
		}
		inZone++
		if m.canServe() {
			eligible = append(eligible, m)
		}
	}
	if inZone < minZoneInstances {
		return nil
	}
	slices.SortFunc(eligible, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rendezvousWeight(zone, b.Name), rendezvousWeight(zone, a.Name)), strings.Compare(a.Name, b.Name))
	})
	count := max(minSources, int(math.Ceil(float64(inZone)/instancesPerSource)))
	return eligible[:min(count, len(eligible))]
}

// rankFor orders the sources for one instance by rendezvous hashing, so that instances
// spread evenly over the sources.
func rankFor(sources []Member, instance string) []Member {
	ordered := slices.Clone(sources)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(instance, b.Name), rendezvousWeight(instance, a.Name)), strings.Compare(a.Name, b.Name))
	})
	return ordered
}

// proxyCandidates returns the members that may proxy for the store for one instance,
// those of its own zone first.
func proxyCandidates(members []Member, instance, zone string) []Member {
	var near, far []Member
	for _, m := range members {
		switch {
		case m.Name == instance || !m.canServe():
		case m.Zone == zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return append(rankFor(near, instance), rankFor(far, instance)...)
}

// StoreReaders returns the members that read the store directly: the sources, and all
// members of zones without sources.
func StoreReaders(members []Member) []Member {
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

// rendezvousWeight returns the weight of name for key in rendezvous hashing.
func rendezvousWeight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
