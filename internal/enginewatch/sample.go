package enginewatch

import "time"

const (
	// maxSampleLevel is the coarsest level, which keeps one prefix in 64.
	maxSampleLevel = 6
	// cachePauseDuration is how long the reading of cache events pauses after
	// the budget was exceeded at the coarsest level.
	cachePauseDuration = time.Minute
	// relaxAfterFlushes is the number of consecutive flushes far below the
	// budget after which the sample is enlarged.
	relaxAfterFlushes = 8
)

// sample selects every 2^level-th prefix by its value. All instances select the
// same prefixes, so the longest sampled prefix of a prompt still indicates how
// much of the prompt is cached.
type sample struct{ level int }

func (s sample) includes(prefix uint64) bool { return prefix&(1<<s.level-1) == 0 }

// cacheControl keeps the forwarding of cache events within its budget.
type cacheControl struct {
	sample      sample
	lowFlushes  int       // consecutive flushes far below the budget
	pausedUntil time.Time // cache events are not read before this time
}

// enabled reports whether cache events are read.
func (c *cacheControl) enabled(now time.Time, iv intervals) bool {
	return iv.cacheEvents && !now.Before(c.pausedUntil)
}

// adapt chooses the sample for a flush. count returns the number of prefixes
// that would be sent with a sample. adapt returns true if the new sample is
// smaller than the previous one.
func (c *cacheControl) adapt(now time.Time, iv intervals, count func(sample) int) bool {
	if iv.flushPrefixes == 0 {
		c.sample = sample{}
		return false
	}
	before := c.sample
	for c.sample.level < maxSampleLevel && count(c.sample) > iv.flushPrefixes {
		c.sample.level++
	}
	if count(c.sample) > iv.flushPrefixes {
		c.pausedUntil = now.Add(cachePauseDuration)
	}
	c.relax(iv.flushPrefixes, count)
	return c.sample.level > before.level
}

// relax enlarges the sample after enough flushes far below the limit.
func (c *cacheControl) relax(limit int, count func(sample) int) {
	if c.sample.level == 0 || count(c.sample) > limit/4 {
		c.lowFlushes = 0
		return
	}
	if c.lowFlushes++; c.lowFlushes >= relaxAfterFlushes {
		c.lowFlushes = 0
		c.sample.level--
	}
}
