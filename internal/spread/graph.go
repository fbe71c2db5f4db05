package spread

import (
	"math"
	"slices"
)

// Degrees of the graph, in neighbours per instance.
const (
	DefaultDegree    = 4
	SmallFleetDegree = 6
	// MaxSmallFleetSize is the largest number of members of a small fleet.
	MaxSmallFleetSize = 16
)

// Graph places the members on a ring and connects each to those at fixed
// offsets. Every member computes its neighbours from its own view. Removing
// fewer members than the degree leaves the rest connected.
type Graph struct {
	// Degree is the number of neighbours; an odd degree is rounded up. Zero
	// means SmallFleetDegree in a small fleet, else DefaultDegree.
	Degree int
	// Adjacent selects the offsets 1, 2, 3 and so on: the canonical Harary
	// graph. If false, offsets grow geometrically, which keeps paths short.
	Adjacent bool
}

// Offsets returns the ring distances, in both directions, to the neighbours of
// a member on a ring of n members.
func (g Graph) Offsets(n int) []int {
	half := (g.degree(n) + 1) / 2
	furthest := n / 2
	offsets := make([]int, 0, half)
	for i := range half {
		offset := i + 1
		if !g.Adjacent {
			geometric := int(math.Round(math.Pow(float64(n), float64(i)/float64(half))))
			offset = max(geometric, i+1)
		}
		if offset > furthest {
			break
		}
		if !slices.Contains(offsets, offset) {
			offsets = append(offsets, offset)
		}
	}
	return offsets
}

func (g Graph) degree(n int) int {
	switch {
	case g.Degree > 0:
		return g.Degree
	case n <= MaxSmallFleetSize:
		return SmallFleetDegree
	default:
		return DefaultDegree
	}
}

// Neighbours returns the neighbours of a member, or nil if it is not in the
// view.
func (g Graph) Neighbours(v View, self string) []string {
	at, ok := v.Index(self)
	if !ok {
		return nil
	}
	n := v.Len()
	offsets := g.Offsets(n)
	names := make([]string, 0, 2*len(offsets))
	for _, offset := range offsets {
		for _, i := range []int{(at + offset) % n, (at - offset + n) % n} {
			name := v.members[i].Name
			if name != self && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// Successors returns the neighbours ahead on the ring, or nil if the member is
// not in the view. For every edge, one end has the other as a successor.
func (g Graph) Successors(v View, self string) []string {
	at, ok := v.Index(self)
	if !ok {
		return nil
	}
	n := v.Len()
	var names []string
	for _, offset := range g.Offsets(n) {
		names = append(names, v.members[(at+offset)%n].Name)
	}
	return names
}
