package main

import "fmt"

// Bounds of the load experiment, derived from the project's targets.
const (
	minTopTierAttainment = 0.99 // of tier 1 at four times the capacity, share of requests
	minGoodputKept       = 0.95 // goodput at 2x and 4x relative to that at 1x
	maxWasted            = 0.02 // share of generated tokens
)

// figure is a measured value with its bound.
type figure struct {
	Name  string
	Value float64
	Bound float64
	// UpperBound is true if the value must be at most Bound, and false if it must be
	// at least Bound.
	UpperBound bool
}

func (f figure) met() bool {
	if f.UpperBound {
		return f.Value <= f.Bound
	}
	return f.Value >= f.Bound
}

// row formats the figure as a row of a Markdown table.
func (f figure) row() string {
	relation, verdict := "at least", "met"
	if f.UpperBound {
		relation = "at most"
	}
	if !f.met() {
		verdict = fmt.Sprintf("**missed by %.3f**", abs(f.Value-f.Bound))
	}
	return fmt.Sprintf("| %s | %.3f | %s %.3g | %s |\n", f.Name, f.Value, relation, f.Bound, verdict)
}

func abs(x float64) float64 { return max(x, -x) }
