package routing

import (
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Filter drops candidates that are not eligible for an attempt.
type Filter interface {
	Keep(q *Query, c *Candidate) bool
}

// Filters returns the filters of the request path, cheapest to evaluate first.
// There is no filter by model because a pool contains only servers of its
// model.
func Filters() []Filter {
	return []Filter{zoneActive{}, running{}, wanted{}, preemptibleAllowed{}, untried{}, freeSlot{}}
}

// zoneActive drops servers in drained availability zones.
type zoneActive struct{}

// Keep implements Filter.
func (zoneActive) Keep(_ *Query, c *Candidate) bool { return !c.ZoneDrained }

// running drops servers that are starting, leaving or removed.
type running struct{}

// Keep implements Filter.
func (running) Keep(_ *Query, c *Candidate) bool { return c.State == platform.ServerRunning }

// wanted drops servers that have stated that they stop soon, or that they want no requests
// now.
type wanted struct{}

// Keep implements Filter.
func (wanted) Keep(q *Query, c *Candidate) bool { return c.Live.Wanted(q.Now) }

// preemptibleAllowed drops preemptible servers for requests that may not use
// them, and in zones whose loss the other servers could not absorb. It drops
// on-demand servers while their last free slots are reserved for higher tiers.
type preemptibleAllowed struct{}

// Keep implements Filter.
func (preemptibleAllowed) Keep(q *Query, c *Candidate) bool {
	if !c.Preemptible {
		return !q.OnDemandReserved
	}
	if !q.PreemptibleAllowed {
		return false
	}
	return c.ZoneIndex >= len(q.PreemptibleFull) || !q.PreemptibleFull[c.ZoneIndex]
}

// untried drops servers on which this request was already attempted.
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
