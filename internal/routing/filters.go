package routing

import (
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Filter drops candidates that must not take an attempt.
type Filter interface {
	Keep(q *Query, c *Candidate) bool
}

// Filters returns the filters of the request path, cheapest first. The model is
// no filter: a pool contains only servers of its model.
func Filters() []Filter {
	return []Filter{zoneIn{}, running{}, cheapAllowed{}, untried{}, freeSlot{}}
}

// zoneIn drops servers of availability zones that operators took out.
type zoneIn struct{}

// Keep implements Filter.
func (zoneIn) Keep(_ *Query, c *Candidate) bool { return !c.ZoneOut }

// running drops servers that start, leave or are gone.
type running struct{}

// Keep implements Filter.
func (running) Keep(_ *Query, c *Candidate) bool { return c.State == platform.ServerRunning }

// cheapAllowed drops cheap servers for requests that may not use them, and in
// zones whose loss could not be borne. It drops the others while their last slots
// are kept for higher tiers.
type cheapAllowed struct{}

// Keep implements Filter.
func (cheapAllowed) Keep(q *Query, c *Candidate) bool {
	if !c.Cheap {
		return !q.SteadyKept
	}
	if !q.CheapAllowed {
		return false
	}
	return c.ZoneIndex >= len(q.CheapFull) || !q.CheapFull[c.ZoneIndex]
}

// untried drops servers that this request already used.
type untried struct{}

// Keep implements Filter.
func (untried) Keep(q *Query, c *Candidate) bool {
	return len(q.Tried) == 0 || !slices.Contains(q.Tried, c.Name)
}

// freeSlot drops servers on which this instance has no free slot. It covers the
// cold limit, the concurrency limit and suspect servers, which get probes only.
type freeSlot struct{}

// Keep implements Filter.
func (freeSlot) Keep(q *Query, c *Candidate) bool {
	return q.IgnoreSlots || c.Live.Free(q.Now, q.Members) > 0
}
