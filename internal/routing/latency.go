package routing

import "time"

const (
	latencyFast = 0.3  // weight of a new sample in the short average
	latencySlow = 0.02 // weight of a new sample in the long average
	promptShare = 0.1  // weight of a new sample in the average per prompt token
	// jumpFactor is the ratio of the averages that tells of a cold cache.
	jumpFactor = 5
	// jumpLeast is the smallest short average that counts as a jump.
	jumpLeast = 300 * time.Millisecond
	// bestWindow is the time over which the best time between tokens is kept, at
	// most twice.
	bestWindow = 30 * time.Second
	// loadedFactor is the ratio to the best time between tokens from which a
	// server counts as slowed by its load rather than by itself.
	loadedFactor = 1.3
	// jumpSamples is the number of samples before a jump is looked for.
	jumpSamples = 20
)

// latency averages a server's times over a short and a long span.
type latency struct {
	first   float64 // short average until the first token, in nanoseconds
	usual   float64 // long average until the first token
	between float64 // short average between tokens
	prompt  float64 // long average until the first token per prompt token
	samples int
	best    [2]float64 // shortest time between tokens of this and the last window
	since   time.Time  // start of this window
}

// loaded reports whether the time between tokens is longer than the server needs
// when it has little to do.
func (l *latency) loaded(between time.Duration) bool {
	best := min(l.best[0], l.best[1])
	return best == 0 || float64(between) > loadedFactor*best
}

// keepBest takes a time between tokens into the window's shortest.
func (l *latency) keepBest(now time.Time, between float64) {
	if now.Sub(l.since) >= bestWindow {
		l.best[1] = l.best[0]
		l.best[0] = between
		l.since = now
		if l.best[1] == 0 {
			l.best[1] = between
		}
	}
	l.best[0] = min(l.best[0], between)
}

// take adds an answer and reports whether the time to the first token jumped.
func (l *latency) take(now time.Time, s Shown) (jumped bool) {
	if s.Between > 0 {
		l.keepBest(now, float64(s.Between))
		l.between = average(l.between, float64(s.Between), latencyFast)
	}
	if s.FirstToken <= 0 {
		return false
	}
	l.samples++
	if s.Input > 0 {
		l.prompt = average(l.prompt, float64(s.FirstToken)/float64(s.Input), promptShare)
	}
	l.first = average(l.first, float64(s.FirstToken), latencyFast)
	l.usual = average(l.usual, float64(s.FirstToken), latencySlow)
	if l.samples < jumpSamples {
		l.usual = l.first
		return false
	}
	return l.first > jumpFactor*l.usual && l.first > float64(jumpLeast)
}

func average(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
