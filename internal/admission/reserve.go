package admission

const (
	// reservePerTier is the share of a pool's slots that each higher tier reserves
	// against all lower ones.
	reservePerTier = 0.04
	// maxReserveShare bounds the share reserved against the lowest tier.
	maxReserveShare = 0.2
	// minReserveSlots is the number of slots from which at least one is reserved.
	minReserveSlots = 4
)

// Reserve returns the number of slots that a start must leave free for higher
// tiers. slots is the pool's size and tiersAbove the number of configured tiers
// above the request's own. The result is always below slots, so that an idle pool
// serves every tier.
func Reserve(slots, tiersAbove int) int {
	if tiersAbove <= 0 || slots < minReserveSlots {
		return 0
	}
	share := min(reservePerTier*float64(tiersAbove), maxReserveShare)
	return min(max(1, int(share*float64(slots))), slots-1)
}
