// Package truetime tells the time of day although the clocks of some machines
// jump. The platform's store has a steady clock that all instances hear. Each
// instance publishes how far its own time of day is from it, and all take the
// median of what the others say, so that a minority of wrong clocks has no say.
package truetime

import (
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// sampleLifetime is how long the best reading of the store's clock counts before
// a later one replaces it.
const sampleLifetime = 20 * time.Second

// Options configure a Clock. Nil fields mean the machine's clocks.
type Options struct {
	Boot func() boottime.Instant
	Wall func() time.Time
}

// Clock tells the time of day. It is safe for concurrent use.
type Clock struct {
	options Options

	mu      sync.Mutex
	heard   bool
	ahead   time.Duration // of the store's clock before the local steady one
	heardAt boottime.Instant
	agreed  bool
	offset  time.Duration // of the time of day before the store's clock, since 1970
}

// New returns a clock that tells the machine's time of day until it has heard
// the store and the other instances.
func New(o Options) *Clock {
	if o.Boot == nil {
		o.Boot = boottime.Now
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	return &Clock{options: o}
}

// Heard takes the store's steady clock from an answer that arrived at an instant,
// and returns when the answer was made; zero when nothing tells how long it was on
// its way. The answer that took least time is the most exact one. An answer is not
// its own measure: one that lay unread while the machine was suspended would seem to
// have been made when it was read.
func (c *Clock) Heard(store time.Duration, at boottime.Instant) boottime.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := store - time.Duration(at)
	if !c.heard {
		c.heard, c.ahead, c.heardAt = true, ahead, at
		return 0
	}
	best := max(ahead, c.ahead)
	if ahead >= c.ahead || at.Sub(c.heardAt) >= sampleLifetime {
		c.ahead, c.heardAt = ahead, at
	}
	return boottime.Instant(store - best)
}

// store is the store's clock now.
func (c *Clock) store() time.Duration { return time.Duration(c.options.Boot()) + c.ahead }

// Store returns the store's steady clock now; false when the store was not heard yet.
func (c *Clock) Store() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store(), c.heard
}

// Own returns how far this machine's time of day is before the store's clock;
// false when the store was not heard yet.
func (c *Clock) Own() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.heard {
		return 0, false
	}
	return time.Duration(c.options.Wall().UnixNano()) - c.store(), true
}

// Agree takes what the instances say, this one included.
func (c *Clock) Agree(offsets []time.Duration) {
	if len(offsets) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(offsets))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agreed = true
	c.offset = sorted[(len(sorted)-1)/2]
}

// Now tells the time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.heard || !c.agreed {
		return c.options.Wall()
	}
	return time.Unix(0, int64(c.store()+c.offset))
}
