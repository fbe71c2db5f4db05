package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidatesPerDuty is the number of instances that watch a duty in order to claim it.
const candidatesPerDuty = 3

// maxExtraDuties is the number of duties that an instance may hold above an even share.
const maxExtraDuties = 1

// maxDuties returns the number of duties above which an instance hands some off.
func maxDuties(duties, members int) int {
	members = max(1, members)
	return (duties+members-1)/members + maxExtraDuties
}

// rendezvousWeight returns the weight of an instance for a duty in rendezvous hashing.
func rendezvousWeight(duty, instance string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + instance)
}

// assign returns the candidates of each duty, most preferred first. The first candidate is
// the instance with the highest weight that has not reached maxDuties; the others follow
// by weight.
func assign(duties, members []string) map[string][]string {
	limit := maxDuties(len(duties), len(members))
	load := make(map[string]int, len(members))
	assigned := make(map[string][]string, len(duties))
	for _, duty := range duties {
		ranked := rank(duty, members)
		first := slices.IndexFunc(ranked, func(m string) bool { return load[m] < limit })
		if first > 0 {
			preferred := ranked[first]
			ranked = slices.Insert(slices.Delete(ranked, first, first+1), 0, preferred)
		}
		if len(ranked) > 0 {
			load[ranked[0]]++
		}
		assigned[duty] = ranked[:min(candidatesPerDuty, len(ranked))]
	}
	return assigned
}

// rank orders the instances by their weight for a duty, highest first.
func rank(duty string, members []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, 0, len(members))
	for _, m := range members {
		list = append(list, scored{m, rendezvousWeight(duty, m)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.name)
	}
	return ranked
}
