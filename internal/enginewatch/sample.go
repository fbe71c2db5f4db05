package enginewatch

import "time"

const (
	// maxLevel keeps one prefix of 64.
	maxLevel = 6
	// cachePause is how long cache events stay off after they passed their budget.
	cachePause = time.Minute
	// calmFlushes is the number of flushes far below the budget before the sample
	// grows.
	calmFlushes = 8
)

// sample keeps every 2^level-th prefix by its value. All instances keep the same
// ones, so the longest sampled prefix of a prompt still tells how much is held.
type sample struct{ level int }

func (s sample) keeps(prefix uint64) bool { return prefix&(1<<s.level-1) == 0 }

// cacheControl keeps the passing on of cache events within its budget.
type cacheControl struct {
	sample sample
	calm   int       // flushes in a row far below the budget
	paused time.Time // no cache events before
}

// on reports whether cache events are read.
func (c *cacheControl) on(now time.Time, p pace) bool { return p.cache && !now.Before(c.paused) }

// fit chooses the sample for a flush. count gives the prefixes that would be
// sent with a sample. It returns true when the sample keeps less than before.
func (c *cacheControl) fit(now time.Time, p pace, count func(sample) int) bool {
	if p.prefixes == 0 {
		c.sample = sample{}
		return false
	}
	before := c.sample
	for c.sample.level < maxLevel && count(c.sample) > p.prefixes {
		c.sample.level++
	}
	if count(c.sample) > p.prefixes {
		c.paused = now.Add(cachePause)
	}
	c.relax(p.prefixes, count)
	return c.sample.level > before.level
}

// relax keeps more again after a calm time.
func (c *cacheControl) relax(limit int, count func(sample) int) {
	if c.sample.level == 0 || count(c.sample) > limit/4 {
		c.calm = 0
		return
	}
	if c.calm++; c.calm >= calmFlushes {
		c.calm = 0
		c.sample.level--
	}
}
