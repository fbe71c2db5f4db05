package routing

import "time"

const (
	latencyFast = 0.3  // weight of a new sample in the short average
	latencySlow = 0.02 // weight of a new sample in the long average
	// jumpFactor is the ratio of the averages that tells of a cold cache.
	jumpFactor = 5
	// jumpLeast is the smallest short average that counts as a jump.
	jumpLeast = 300 * time.Millisecond
	// jumpSamples is the number of samples before a jump is looked for.
	jumpSamples = 20
)

// latency averages a server's times over a short and a long span.
type latency struct {
	first   float64 // short average until the first token, in nanoseconds
	usual   float64 // long average until the first token
	between float64 // short average between tokens
	samples int
}

// take adds an answer and reports whether the time to the first token jumped.
func (l *latency) take(_ time.Time, s Shown) (jumped bool) {
	if s.Between > 0 {
		l.between = average(l.between, float64(s.Between), latencyFast)
	}
	if s.FirstToken <= 0 {
		return false
	}
	l.samples++
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
