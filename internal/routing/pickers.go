package routing

import "math/rand/v2"

// Picker chooses one of the eligible candidates, of which there is at least
// one, and returns its index.
type Picker interface {
	Pick(r *rand.Rand, eligible []Scored) int
}

// LowestPrice picks the candidate with the lowest price.
type LowestPrice struct{}

// Pick implements Picker.
func (LowestPrice) Pick(_ *rand.Rand, eligible []Scored) int {
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

// BestOf picks the lowest price of N candidates drawn at random with
// replacement. Instances with the same stale load reports therefore do not all
// choose the same server. Zero means DefaultChoices.
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

// RoundRobin picks the candidates in turn. It is a baseline for experiments.
type RoundRobin struct{ next int }

// Pick implements Picker.
func (p *RoundRobin) Pick(_ *rand.Rand, eligible []Scored) int {
	p.next++
	return p.next % len(eligible)
}

// LeastOutstanding picks the candidate with the fewest requests of this
// instance in flight. It is a baseline for experiments.
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
