package admission

const (
	// reservePerTier is the share of a pool's slots that each higher tier keeps
	// free from all lower ones.
	reservePerTier = 0.04
	// reserveMost bounds the share kept free from the lowest tier.
	reserveMost = 0.2
	// reserveFrom is the number of slots from which at least one is kept free.
	reserveFrom = 4
)

// Reserve returns the number of slots that a start must leave free for higher
// tiers, given the pool's slots and the number of configured tiers above the
// request's own. It is always below slots, so that an idle pool serves every tier.
func Reserve(slots, tiersAbove int) int {
	if tiersAbove <= 0 || slots < reserveFrom {
		return 0
	}
	share := min(reservePerTier*float64(tiersAbove), reserveMost)
	return min(max(1, int(share*float64(slots))), slots-1)
}
