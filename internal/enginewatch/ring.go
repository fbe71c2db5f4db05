package enginewatch

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Member is one instance that may route to servers.
type Member struct {
	Name   string
	Zone   string
	Region string // availability zones of one region are close to each other
}

// position is the place of a name on the ring.
func position(name string) uint64 { return xxhash.Sum64String(name) }

// affinity ranks the members for one server, given their positions.
func affinity(server, member uint64) uint64 {
	x := server ^ (member * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// place is a member or server on the ring.
type place struct {
	at    uint64
	index int
}

// ring is a list of places in order of position.
type ring []place

// points is the number of places that each member has on a ring. More spread the
// servers more evenly, and make each member exchange digests with more others.
const points = 2

// newRing places members by the hash of their names.
func newRing(members []Member, indexes []int) ring {
	r := make(ring, 0, points*len(indexes))
	for _, index := range indexes {
		at := position(members[index].Name)
		for n := range uint64(points) {
			r = append(r, place{at: affinity(at, n), index: index})
		}
	}
	r.sort()
	return r
}

func (r ring) sort() {
	slices.SortFunc(r, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.index, b.index))
	})
}

// from returns the index into the ring of the first place at or after a position.
func (r ring) from(at uint64) int {
	i := sort.Search(len(r), func(i int) bool { return r[i].at >= at })
	if i == len(r) {
		return 0
	}
	return i
}

// walk calls f for the places from a position on, once around, until f returns
// false.
func (r ring) walk(at uint64, f func(place) bool) {
	start := r.from(at)
	for i := range r {
		if !f(r[(start+i)%len(r)]) {
			return
		}
	}
}

// walkBack calls f for the places before a position, once around, until f
// returns false.
func (r ring) walkBack(at uint64, f func(place) bool) {
	start := r.from(at)
	n := len(r)
	for i := range r {
		if !f(r[(start+n-1-i)%n]) {
			return
		}
	}
}
