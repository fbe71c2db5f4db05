// Package spread selects the instances that a broadcast message is forwarded
// to. It holds no state and does no I/O.
package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Member is one instance.
type Member struct {
	Name string
	Zone string
}

// View is a list of instances in the order that all strategies use: by
// availability zone, then by name. The zero value is empty. A View is
// immutable.
type View struct {
	members []Member
	index   map[string]int
}

// NewView returns the view of the members, in any order. Duplicate names are
// dropped.
func NewView(members []Member) View {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	sorted = slices.CompactFunc(sorted, func(a, b Member) bool { return a.Name == b.Name })
	v := View{members: sorted, index: make(map[string]int, len(sorted))}
	for i, m := range sorted {
		v.index[m.Name] = i
	}
	return v
}

// Len returns the number of members.
func (v View) Len() int { return len(v.members) }

// At returns the member at a position.
func (v View) At(i int) Member { return v.members[i] }

// Index returns the position of the named member, or false if it is unknown.
func (v View) Index(name string) (int, bool) {
	i, ok := v.index[name]
	return i, ok
}

// Receipt describes one arrival of a message at an instance.
type Receipt struct {
	// From is the sender, or "" at the origin of the broadcast.
	From string
	// Copies is the number of copies that arrived before this one.
	Copies int
}

// Strategy selects the receivers of a message.
type Strategy interface {
	// Targets returns the names that self sends the message to after the
	// receipt.
	Targets(v View, self string, r Receipt, rng *rand.Rand) []string
}

// AllToAll sends from the origin to every member; receivers do not forward.
type AllToAll struct{}

// Targets implements Strategy.
func (AllToAll) Targets(v View, self string, r Receipt, _ *rand.Rand) []string {
	if r.From != "" || r.Copies > 0 {
		return nil
	}
	names := make([]string, 0, v.Len())
	for _, m := range v.members {
		if m.Name != self {
			names = append(names, m.Name)
		}
	}
	return names
}

// Gossip is rumour mongering with a blind counter: each of the first Rounds
// copies is forwarded to Fanout random members.
type Gossip struct {
	Fanout int
	Rounds int
}

// Targets implements Strategy.
func (g Gossip) Targets(v View, self string, r Receipt, rng *rand.Rand) []string {
	if r.Copies >= g.Rounds {
		return nil
	}
	if v.Len() <= 2*g.Fanout {
		return g.sampleSmall(v, self, r, rng)
	}
	names := make([]string, 0, g.Fanout)
	for len(names) < g.Fanout {
		name := v.members[rng.IntN(v.Len())].Name
		if name != self && name != r.From && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// sampleSmall selects from so few members that rejection sampling would draw
// many duplicates.
func (g Gossip) sampleSmall(v View, self string, r Receipt, rng *rand.Rand) []string {
	names := make([]string, 0, v.Len())
	for _, i := range rng.Perm(v.Len()) {
		if name := v.members[i].Name; name != self && name != r.From {
			names = append(names, name)
		}
	}
	return names[:min(g.Fanout, len(names))]
}

// Flood forwards the first copy to all neighbours in a regular graph except
// the sender.
type Flood struct {
	// Graph defines the neighbours.
	Graph Graph
}

// Targets implements Strategy.
func (f Flood) Targets(v View, self string, r Receipt, _ *rand.Rand) []string {
	if r.Copies > 0 {
		return nil
	}
	neighbours := f.Graph.Neighbours(v, self)
	return slices.DeleteFunc(neighbours, func(name string) bool { return name == r.From })
}
