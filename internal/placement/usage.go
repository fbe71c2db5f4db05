package placement

import (
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/routing"
)

// tierCounts holds the number of requests in flight by tier.
type tierCounts [config.TierCount + 1]int

// upTo returns the sum over the tiers 1 to tier.
func (c *tierCounts) upTo(tier int) int {
	n := 0
	for t := 1; t <= tier; t++ {
		n += c[t]
	}
	return n
}

// below returns the sum over the tiers lower than tier, that is, of greater
// number.
func (c *tierCounts) below(tier int) int {
	n := 0
	for t := tier + 1; t < len(c); t++ {
		n += c[t]
	}
	return n
}

// usage counts this instance's requests in flight on on-demand and on
// preemptible servers.
type usage struct {
	onDemand         tierCounts
	onDemandSlots    int
	onDemandFree     int
	preemptible      []tierCounts // by zone index
	preemptibleSlots int
	preemptibleFree  []int // by zone index
}

func (u *usage) resize(zones int) {
	for len(u.preemptible) < zones {
		u.preemptible = append(u.preemptible, tierCounts{})
		u.preemptibleFree = append(u.preemptibleFree, 0)
	}
}

func (u *usage) resetSlots() {
	u.onDemandFree, u.onDemandSlots, u.preemptibleSlots = 0, 0, 0
	clear(u.preemptibleFree)
}

// addSlots adds a server's slots.
func (u *usage) addSlots(c *routing.Candidate, slots int) {
	if c.Preemptible {
		u.preemptibleSlots += slots
	} else {
		u.onDemandSlots += slots
	}
}

// totalPreemptibleFree returns the number of free slots on preemptible servers.
func (u *usage) totalPreemptibleFree() int {
	n := 0
	for _, free := range u.preemptibleFree {
		n += free
	}
	return n
}

func (u *usage) addFree(c *routing.Candidate, free int) {
	if c.Preemptible {
		u.preemptibleFree[c.ZoneIndex] += free
	} else {
		u.onDemandFree += free
	}
}

// add counts the start (n is 1) or the end (n is -1) of an attempt.
func (u *usage) add(c *routing.Candidate, tier, n int) {
	if c.Preemptible {
		u.preemptible[c.ZoneIndex][tier] += n
	} else {
		u.onDemand[tier] += n
	}
	u.addFree(c, -n)
}

// markPreemptibleFull marks the zones whose preemptible servers must get no
// more requests of the tier. If a zone is lost, its requests of this and higher
// tiers must fit on the other servers, in free slots or in those that lower
// tiers occupy.
func (u *usage) markPreemptibleFull(tier int, full []bool) {
	spare := u.onDemandFree + u.onDemand.below(tier)
	for z := range u.preemptible {
		spare += max(u.preemptibleFree[z], 0) + u.preemptible[z].below(tier)
	}
	for z := range u.preemptible {
		elsewhere := spare - max(u.preemptibleFree[z], 0) - u.preemptible[z].below(tier)
		full[z] = u.preemptible[z].upTo(tier)+1 > elsewhere
	}
}
