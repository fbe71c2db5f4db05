package placement

import (
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/routing"
)

// byTier counts requests in flight per tier.
type byTier [config.Tiers + 1]int

// upTo sums the tiers 1 to tier.
func (b *byTier) upTo(tier int) int {
	n := 0
	for t := 1; t <= tier; t++ {
		n += b[t]
	}
	return n
}

// below sums the tiers lower than tier.
func (b *byTier) below(tier int) int {
	n := 0
	for t := tier + 1; t < len(b); t++ {
		n += b[t]
	}
	return n
}

// usage counts this instance's requests in flight on steady and cheap servers.
type usage struct {
	steady      byTier
	steadySlots int
	steadyFree  int
	cheap       []byTier // by zone index
	cheapSlots  int
	cheapFree   []int // by zone index
}

func (u *usage) resize(zones int) {
	for len(u.cheap) < zones {
		u.cheap = append(u.cheap, byTier{})
		u.cheapFree = append(u.cheapFree, 0)
	}
}

func (u *usage) clearFree() {
	u.steadyFree, u.steadySlots, u.cheapSlots = 0, 0, 0
	clear(u.cheapFree)
}

// addSlots counts a server's slots.
func (u *usage) addSlots(c *routing.Candidate, slots int) {
	if c.Cheap {
		u.cheapSlots += slots
	} else {
		u.steadySlots += slots
	}
}

// allCheapFree sums the free slots of cheap servers.
func (u *usage) allCheapFree() int {
	n := 0
	for _, free := range u.cheapFree {
		n += free
	}
	return n
}

func (u *usage) addFree(c *routing.Candidate, free int) {
	if c.Cheap {
		u.cheapFree[c.ZoneIndex] += free
	} else {
		u.steadyFree += free
	}
}

// add counts a start (1) or an end (-1).
func (u *usage) add(c *routing.Candidate, tier, n int) {
	if c.Cheap {
		u.cheap[c.ZoneIndex][tier] += n
	} else {
		u.steady[tier] += n
	}
	u.addFree(c, -n)
}

// fillCheapFull marks the zones whose cheap servers must get no more work of the
// tier. What a zone runs for this tier and higher ones must find room elsewhere
// when the zone is lost: in free slots, or in those that lower tiers use.
func (u *usage) fillCheapFull(tier int, full []bool) {
	spare := u.steadyFree + u.steady.below(tier)
	for z := range u.cheap {
		spare += max(u.cheapFree[z], 0) + u.cheap[z].below(tier)
	}
	for z := range u.cheap {
		elsewhere := spare - max(u.cheapFree[z], 0) - u.cheap[z].below(tier)
		full[z] = u.cheap[z].upTo(tier)+1 > elsewhere
	}
}
