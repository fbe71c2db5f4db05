package enginewatch

import "time"

const (
	// maxLevel keeps one prefix of 64.
	maxLevel = 6
	// cachePause is how long cache events stay off after they passed a budget.
	cachePause = time.Minute
	// calmFlushes is the number of flushes far below the budget before the sample
	// grows.
	calmFlushes = 8
)

// sample keeps every 2^level-th prefix by its value. All instances keep the same
// ones, so the longest sampled prefix of a prompt still tells how much is held.
type sample struct{ level int }

func (s sample) keeps(prefix uint64) bool { return prefix&(1<<s.level-1) == 0 }

// cacheControl keeps cache events within their budgets.
type cacheControl struct {
	sample sample
	calm   int       // flushes in a row far below the budget
	paused time.Time // no cache events before
	bytes  int       // read from engines since the last flush
}

// on reports whether cache events are read.
func (c *cacheControl) on(now time.Time) bool { return !now.Before(c.paused) }

// fit chooses the sample for a flush. count gives the prefixes that would be
// sent with a sample. finer is true when the sample keeps less than before.
func (c *cacheControl) fit(now time.Time, p pace, count func(sample) int) (finer bool) {
	read := float64(c.bytes) / p.flush.Seconds()
	c.bytes = 0
	if p.cacheRead > 0 && read > float64(p.cacheRead) {
		c.paused = now.Add(cachePause)
	}
	if p.cacheSend == 0 {
		c.sample = sample{}
		return false
	}
	limit := int(float64(p.cacheSend) * p.flush.Seconds() / prefixBytes)
	before := c.sample
	for c.sample.level < maxLevel && count(c.sample) > limit {
		c.sample.level++
	}
	if c.sample.level == maxLevel && count(c.sample) > limit {
		c.paused = now.Add(cachePause)
	}
	c.relax(limit, count)
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
