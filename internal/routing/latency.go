package routing

import "time"

const (
	shortAverageWeight = 0.3  // weight of a new sample in the short-term average
	longAverageWeight  = 0.02 // weight of a new sample in the long-term average
	perTokenWeight     = 0.1  // weight of a new sample in the average per prompt token
	// coldJumpRatio is the ratio of the short-term to the long-term average
	// above which the server's cache is considered cold.
	coldJumpRatio = 5
	// minColdJump is the smallest short-term average that counts as a jump.
	minColdJump = 300 * time.Millisecond
	// bestWindow is the length of a window over which the shortest time between
	// tokens is kept. The current and the previous window count.
	bestWindow = 30 * time.Second
	// loadedRatio is the ratio to the shortest recent time between tokens above
	// which a server counts as slowed by its load.
	loadedRatio = 1.3
	// minJumpSamples is the number of samples required before jumps are
	// detected.
	minJumpSamples = 20
)

// latency holds moving averages of a server's response times. All times are in
// nanoseconds.
type latency struct {
	ttft          float64 // short-term average of the time to first token
	ttftBaseline  float64 // long-term average of the time to first token
	tokenInterval float64 // short-term average of the time between tokens
	ttftPerToken  float64 // average of the time to first token per prompt token
	samples       int
	best          [2]float64 // shortest time between tokens in this and the previous window
	windowStart   time.Time  // start of the current window
}

// loaded reports whether the time between tokens is clearly longer than on the
// lightly loaded server. It is true if nothing has been measured yet.
func (l *latency) loaded(interval time.Duration) bool {
	best := min(l.best[0], l.best[1])
	return best == 0 || float64(interval) > loadedRatio*best
}

// updateBest adds a time between tokens to the minimum of the current window.
func (l *latency) updateBest(now time.Time, interval float64) {
	if now.Sub(l.windowStart) >= bestWindow {
		l.best[1] = l.best[0]
		l.best[0] = interval
		l.windowStart = now
		if l.best[1] == 0 {
			l.best[1] = interval
		}
	}
	l.best[0] = min(l.best[0], interval)
}

// observe adds an answer and reports whether the time to first token jumped.
func (l *latency) observe(now time.Time, o Outcome) (jumped bool) {
	if o.TokenInterval > 0 {
		l.updateBest(now, float64(o.TokenInterval))
		l.tokenInterval = average(l.tokenInterval, float64(o.TokenInterval), shortAverageWeight)
	}
	if o.FirstToken <= 0 {
		return false
	}
	l.samples++
	if o.InputTokens > 0 {
		l.ttftPerToken = average(l.ttftPerToken, float64(o.FirstToken)/float64(o.InputTokens), perTokenWeight)
	}
	l.ttft = average(l.ttft, float64(o.FirstToken), shortAverageWeight)
	l.ttftBaseline = average(l.ttftBaseline, float64(o.FirstToken), longAverageWeight)
	if l.samples < minJumpSamples {
		l.ttftBaseline = l.ttft
		return false
	}
	return l.ttft > coldJumpRatio*l.ttftBaseline && l.ttft > float64(minColdJump)
}

func average(previous, sample, weight float64) float64 {
	if previous == 0 {
		return sample
	}
	return previous + weight*(sample-previous)
}
