package entry

import (
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// classSelection holds the inputs that determine a request's class.
type classSelection struct {
	snap         *config.Snapshot
	organisation *config.Organisation // nil on an open route
	pool         string               // model or plain service
	poolClass    string               // class of the pool
	requested    string               // class named by the caller; empty means none
}

// choose returns the class named by the caller, else the organisation's, else
// the pool's. A caller may name any class up to highestTier.
func (c classSelection) choose(gate *result.Gate) (*config.Class, *result.Error) {
	name := c.poolClass
	if c.organisation != nil && c.organisation.Class != "" {
		name = c.organisation.Class
	}
	if c.requested != "" {
		name = c.requested
	}
	class := c.snap.Class(name)
	if class == nil {
		return nil, gate.Refuse(result.UnknownClass, "the configuration has no class %q", name)
	}
	if highest := c.highestTier(); c.requested != "" && class.Tier < highest {
		return nil, gate.Refuse(result.NotPermitted,
			"class %q has tier %d; the highest that the caller may ask for on %q is tier %d", name, class.Tier, c.pool, highest)
	}
	return class, nil
}

// highestTier returns the highest tier (the lowest number) that the caller may
// request: the highest among the organisation's class, the pool's class, and the
// classes of those services that depend on the pool and that the organisation may use.
func (c classSelection) highestTier() int {
	tier := c.tierOf(c.poolClass)
	if c.organisation == nil {
		return tier
	}
	if c.organisation.Class != "" {
		tier = min(tier, c.tierOf(c.organisation.Class))
	}
	for i := range c.snap.Config.Services {
		s := &c.snap.Config.Services[i]
		if slices.Contains(s.DependsOn, c.pool) && permitted(s, c.organisation.Name) {
			tier = min(tier, c.tierOf(s.Class))
		}
	}
	return tier
}

func (c classSelection) tierOf(class string) int {
	if found := c.snap.Class(class); found != nil {
		return found.Tier
	}
	return config.TierCount
}

// nonIdempotent reports whether requests to the pool must run at most once. They
// must if the chosen class, the pool's class or the organisation's class is
// non-idempotent, so naming another class cannot bypass the rule.
func (c classSelection) nonIdempotent(chosen *config.Class) bool {
	names := []string{chosen.Name, c.poolClass}
	if c.organisation != nil {
		names = append(names, c.organisation.Class)
	}
	return slices.ContainsFunc(names, func(name string) bool {
		class := c.snap.Class(name)
		return class != nil && class.NonIdempotent
	})
}
