package entry

import (
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// classChoice is what decides a request's class.
type classChoice struct {
	snap         *config.Snapshot
	organisation *config.Organisation // nil on an open route
	pool         string               // model or plain service
	poolClass    string               // its class
	asked        string               // class named by the caller; empty: none
}

// choose returns the class that the caller names, else the organisation's, else
// the pool's. A caller may name any class up to the ceiling.
func (c classChoice) choose(gate *result.Gate) (*config.Class, *result.Error) {
	name := c.poolClass
	if c.organisation != nil && c.organisation.Class != "" {
		name = c.organisation.Class
	}
	if c.asked != "" {
		name = c.asked
	}
	class := c.snap.Class(name)
	if class == nil {
		return nil, gate.Refuse(result.UnknownClass, "the configuration has no class %q", name)
	}
	if ceiling := c.ceiling(); c.asked != "" && class.Tier < ceiling {
		return nil, gate.Refuse(result.NotPermitted,
			"class %q has tier %d; the highest that the caller may ask for on %q is tier %d", name, class.Tier, c.pool, ceiling)
	}
	return class, nil
}

// ceiling is the highest tier that the caller may ask for: the best of the
// organisation's class, the pool's class, and the classes of the services that
// send requests to the pool and that the organisation may use.
func (c classChoice) ceiling() int {
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

func (c classChoice) tierOf(class string) int {
	if found := c.snap.Class(class); found != nil {
		return found.Tier
	}
	return config.Tiers
}

// nonIdempotent reports whether requests to the pool must run at most once:
// because of the class chosen, or of the class that the pool or the
// organisation has. Naming another class does not lift the rule.
func (c classChoice) nonIdempotent(chosen *config.Class) bool {
	names := []string{chosen.Name, c.poolClass}
	if c.organisation != nil {
		names = append(names, c.organisation.Class)
	}
	return slices.ContainsFunc(names, func(name string) bool {
		class := c.snap.Class(name)
		return class != nil && class.NonIdempotent
	})
}
