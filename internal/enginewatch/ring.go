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
	Region string // network latency within a region is low
}

// position returns the position of a name on the ring.
func position(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousWeight returns the weight by which members are ranked for a server
// (rendezvous hashing), given their positions. It mixes them with the finalizer
// of splitmix64.
func rendezvousWeight(server, member uint64) uint64 {
	x := server ^ (member * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ringPoint is a point of a member or server on the ring.
type ringPoint struct {
	position uint64
	index    int
}

// ring is a list of points sorted by position.
type ring []ringPoint

// pointsPerMember is the number of points that each member has on a ring. With
// more points the servers are distributed more evenly, but each member
// exchanges digests with more others.
const pointsPerMember = 2

// newRing places members by the hash of their names.
func newRing(members []Member, indexes []int) ring {
	r := make(ring, 0, pointsPerMember*len(indexes))
	for _, index := range indexes {
		at := position(members[index].Name)
		for n := range uint64(pointsPerMember) {
			r = append(r, ringPoint{position: rendezvousWeight(at, n), index: index})
		}
	}
	r.sort()
	return r
}

func (r ring) sort() {
	slices.SortFunc(r, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.index, b.index))
	})
}

// search returns the index of the first point at or after a position, wrapping
// around at the end.
func (r ring) search(at uint64) int {
	i := sort.Search(len(r), func(i int) bool { return r[i].position >= at })
	if i == len(r) {
		return 0
	}
	return i
}

// walk calls f for each point once, starting at or after a position, until f
// returns false.
func (r ring) walk(at uint64, f func(ringPoint) bool) {
	start := r.search(at)
	for i := range r {
		if !f(r[(start+i)%len(r)]) {
			return
		}
	}
}

// walkBackward calls f for each point once, starting before a position and
// going backward, until f returns false.
func (r ring) walkBackward(at uint64, f func(ringPoint) bool) {
	start := r.search(at)
	n := len(r)
	for i := range r {
		if !f(r[(start+n-1-i)%n]) {
			return
		}
	}
}
