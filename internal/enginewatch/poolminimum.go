package enginewatch

import "slices"

// ensureMinimum assigns to each member at least minPoolServers servers of each
// pool.
func (b *planner) ensureMinimum() {
	for _, pool := range b.pools() {
		counts := make([]int, len(b.plan.members))
		for _, s := range pool {
			for _, m := range b.plan.watchers[s.index] {
				counts[m]++
			}
		}
		for m, n := range counts {
			missing := min(minPoolServers, len(pool)) - n
			if missing > 0 {
				b.extend(pool, uint16(m), missing)
			}
		}
	}
}

// pools returns the servers of each pool as a ring, in order of each pool's
// first server.
func (b *planner) pools() []ring {
	index := make(map[string]int)
	var pools []ring
	for i := range b.plan.servers {
		s := &b.plan.servers[i]
		at, ok := index[s.Pool]
		if !ok {
			at = len(pools)
			index[s.Pool] = at
			pools = append(pools, nil)
		}
		pools[at] = append(pools[at], ringPoint{position: position(s.Name), index: i})
	}
	for _, pool := range pools {
		pool.sort()
	}
	return pools
}

// extend assigns to the member the servers that precede it on the ring, those
// of its region first.
func (b *planner) extend(pool ring, member uint16, missing int) {
	region := b.plan.members[member].Region
	for _, near := range []bool{true, false} {
		pool.walkBackward(b.positions[member], func(p ringPoint) bool {
			if missing == 0 {
				return false
			}
			list := b.plan.watchers[p.index]
			if near == (b.plan.servers[p.index].Region == region) && !slices.Contains(list, member) {
				b.plan.watchers[p.index] = append(list, member)
				missing--
			}
			return true
		})
	}
}
