package rollout

import "math"

const (
	// slowFactor is the multiple of the old version's usual time from which a response is
	// slow.
	slowFactor = 2.5
	// minBaseline is the number of responses of the old version on a route that must be
	// known before responses are judged by their times.
	minBaseline = 5
	// baselineMemory is the number of responses over which the usual time is averaged.
	baselineMemory = 64
)

// Baseline is the usual value of a time at the old version, as the mean of its logarithm.
// The zero value knows no times.
type Baseline struct {
	n    int
	mean float64
}

// Observe adds a time of the old version. Values that are not positive are ignored.
func (b *Baseline) Observe(t float64) {
	if t <= 0 {
		return
	}
	b.n = min(b.n+1, baselineMemory)
	b.mean += (math.Log(t) - b.mean) / float64(b.n)
}

// Slow reports whether a time is slow. judged is false while too few times of the old
// version are known.
func (b *Baseline) Slow(t float64) (slow, judged bool) {
	if b.n < minBaseline || t <= 0 {
		return false, false
	}
	return math.Log(t) > b.mean+math.Log(slowFactor), true
}
