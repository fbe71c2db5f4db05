package main

import "fmt"

// Bounds of the load experiment, from the project's targets.
const (
	minTopTierAttainment = 0.99 // of tier 1 at four times the capacity
	minGoodputKept       = 0.95 // of the goodput at 1x, at 2x and 4x
	maxWasted            = 0.02 // share of answer tokens
)

// figure is one measurement with its bound.
type figure struct {
	Name  string
	Value float64
	Bound float64
	// Most is true when the value must not exceed the bound, false when it must
	// reach it.
	Most bool
}

func (f figure) met() bool {
	if f.Most {
		return f.Value <= f.Bound
	}
	return f.Value >= f.Bound
}

// row formats the figure as a line of a Markdown table.
func (f figure) row() string {
	relation, verdict := "at least", "met"
	if f.Most {
		relation = "at most"
	}
	if !f.met() {
		verdict = fmt.Sprintf("**missed by %.3f**", abs(f.Value-f.Bound))
	}
	return fmt.Sprintf("| %s | %.3f | %s %.3g | %s |\n", f.Name, f.Value, relation, f.Bound, verdict)
}

func abs(x float64) float64 { return max(x, -x) }
