package routing

import "math/rand/v2"

// Picker takes one of the eligible candidates; there is at least one. It returns
// the index.
type Picker interface {
	Pick(r *rand.Rand, eligible []Scored) int
}

// Cheapest takes the lowest price of all candidates.
type Cheapest struct{}

// Pick implements Picker.
func (Cheapest) Pick(_ *rand.Rand, eligible []Scored) int {
	best := 0
	for i := range eligible {
		if eligible[i].Price < eligible[best].Price {
			best = i
		}
	}
	return best
}

// DefaultChoices is the number of candidates that BestOf draws by default.
const DefaultChoices = 5

// BestOf takes the lowest price of N candidates drawn at random, so that
// instances with the same stale load reports do not all choose one server.
// Zero means DefaultChoices.
type BestOf struct{ N int }

// Pick implements Picker.
func (b BestOf) Pick(r *rand.Rand, eligible []Scored) int {
	n := b.N
	if n <= 0 {
		n = DefaultChoices
	}
	best := r.IntN(len(eligible))
	for range n - 1 {
		if i := r.IntN(len(eligible)); eligible[i].Price < eligible[best].Price {
			best = i
		}
	}
	return best
}

// RoundRobin takes the candidates in turn: a baseline of measurements.
type RoundRobin struct{ next int }

// Pick implements Picker.
func (p *RoundRobin) Pick(_ *rand.Rand, eligible []Scored) int {
	p.next++
	return p.next % len(eligible)
}

// LeastOutstanding takes the candidate with the fewest requests of this instance
// in flight: a baseline of measurements.
type LeastOutstanding struct{}

// Pick implements Picker.
func (LeastOutstanding) Pick(_ *rand.Rand, eligible []Scored) int {
	best := 0
	for i := range eligible {
		if eligible[i].Live.outstanding < eligible[best].Live.outstanding {
			best = i
		}
	}
	return best
}
