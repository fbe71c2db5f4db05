// Package truetime provides a time of day that tolerates wrong wall clocks on some
// machines. The platform's store returns its monotonic clock with each answer. Each
// instance publishes the offset of its own wall clock from the store's clock, and
// all instances use the median of the published offsets, so that a minority of wrong
// wall clocks has no effect.
package truetime

import (
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// maxSampleAge is the age from which a sample of the store's clock is replaced by
// the next one, even if that one had a longer delay.
const maxSampleAge = 20 * time.Second

// Options configure a Clock. If Boot is nil, boottime.Now is used. If Wall is nil,
// time.Now is used.
type Options struct {
	Boot func() boottime.Instant
	Wall func() time.Time
}

// Clock estimates the time of day. It is safe for concurrent use.
type Clock struct {
	options Options

	mu          sync.Mutex
	synced      bool             // a sample of the store's clock was taken
	storeAhead  time.Duration    // store's clock minus the local boot clock, from the best sample
	sampledAt   boottime.Instant // when the best sample was taken
	offsetKnown bool
	offset      time.Duration // agreed Unix time minus the store's clock
}

// New returns a clock that returns the machine's wall clock until it has received a
// sample of the store's clock and the offsets of the instances.
func New(o Options) *Clock {
	if o.Boot == nil {
		o.Boot = boottime.Now
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	return &Clock{options: o}
}

// Observe records a sample of the store's monotonic clock from an answer that
// arrived at the given instant. It returns the latest instant at which the answer can
// have been sent, or zero for the first sample, whose delay is unknown. The sample
// with the shortest delay is the most accurate, so the delay of an answer is measured
// against it. The first sample cannot date its own answer: an answer that was
// read only after the machine had been suspended would appear to have been sent when
// it was read.
func (c *Clock) Observe(store time.Duration, at boottime.Instant) boottime.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := store - time.Duration(at)
	if !c.synced {
		c.synced, c.storeAhead, c.sampledAt = true, ahead, at
		return 0
	}
	best := max(ahead, c.storeAhead)
	if ahead >= c.storeAhead || at.Sub(c.sampledAt) >= maxSampleAge {
		c.storeAhead, c.sampledAt = ahead, at
	}
	return boottime.Instant(store - best)
}

// storeNow returns the current reading of the store's clock. The caller must hold
// c.mu.
func (c *Clock) storeNow() time.Duration { return time.Duration(c.options.Boot()) + c.storeAhead }

// Store returns the current reading of the store's monotonic clock. The result is
// false before the first sample.
func (c *Clock) Store() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeNow(), c.synced
}

// Offset returns this machine's wall clock, as Unix time, minus the store's clock. The
// result is false before the first sample.
func (c *Clock) Offset() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced {
		return 0, false
	}
	return time.Duration(c.options.Wall().UnixNano()) - c.storeNow(), true
}

// SetOffsets sets the offsets published by all instances, including this one. Their
// median applies. An empty list is ignored.
func (c *Clock) SetOffsets(offsets []time.Duration) {
	if len(offsets) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(offsets))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsetKnown = true
	c.offset = sorted[(len(sorted)-1)/2]
}

// Agreed reports whether Now returns the time of day that the instances agree on, rather than the
// machine's wall clock.
func (c *Clock) Agreed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agreed()
}

// agreed is Agreed. The caller must hold c.mu.
func (c *Clock) agreed() bool { return c.synced && c.offsetKnown }

// Now returns the estimated time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.agreed() {
		return c.options.Wall()
	}
	return time.Unix(0, int64(c.storeNow()+c.offset))
}
