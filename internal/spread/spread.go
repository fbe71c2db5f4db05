// Package spread decides to which instances a broadcast message is passed on.
// It holds no state and does no I/O.
package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Member is one instance as the strategies see it.
type Member struct {
	Name string
	Zone string
}

// View is a list of instances in the order that all strategies use: by
// availability zone, then by name. The zero value is empty.
type View struct {
	members []Member
	index   map[string]int
}

// NewView returns the view of the members; the order of the argument and
// repeated names do not matter.
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

// At returns the member at a position of the order.
func (v View) At(i int) Member { return v.members[i] }

// Index returns the position of the named member, false when it is unknown.
func (v View) Index(name string) (int, bool) {
	i, ok := v.index[name]
	return i, ok
}

// Receipt describes one arrival of a message at an instance.
type Receipt struct {
	// From is the sender, "" at the instance that starts the broadcast.
	From string
	// Copies is how many copies arrived before this one.
	Copies int
}

// Strategy chooses the receivers of a message.
type Strategy interface {
	// Targets returns the names that self sends the message to after the receipt.
	Targets(v View, self string, r Receipt, rng *rand.Rand) []string
}

// AllToAll sends from the origin to every member; receivers pass nothing on.
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
// copies is passed on to Fanout members at random.
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
		return g.few(v, self, r, rng)
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

// few chooses among so few members that drawing one twice is likely.
func (g Gossip) few(v View, self string, r Receipt, rng *rand.Rand) []string {
	names := make([]string, 0, v.Len())
	for _, i := range rng.Perm(v.Len()) {
		if name := v.members[i].Name; name != self && name != r.From {
			names = append(names, name)
		}
	}
	return names[:min(g.Fanout, len(names))]
}

// Flood passes the first copy on to all neighbours of a regular graph but the
// sender.
type Flood struct {
	// Graph gives the neighbours.
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
