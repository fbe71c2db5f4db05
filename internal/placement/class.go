package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/retrybudget"
)

const (
	// costWeight is the weight of a new answer in the expected cost.
	costWeight = 0.05
	// inputCost is the cost of an input token in output tokens.
	inputCost = 0.1
	// typical is the quantile that predictions use.
	typical = 0.5
)

// class is what one pool knows of one class.
type class struct {
	spec       *config.Class
	budget     *retrybudget.Budget
	running    int               // admitted requests
	firstToken admission.History // from start to first token
	whole      admission.History // from start to the end
	output     float64           // expected output tokens; 0 if unknown
}

func newClass(now time.Time, spec *config.Class) *class {
	return &class{spec: spec, budget: retrybudget.New(retryRatio(spec), now)}
}

func retryRatio(spec *config.Class) float64 {
	if spec.RetryBudget == nil {
		return config.DefaultRetryBudget
	}
	return *spec.RetryBudget
}

func floorOf(spec *config.Class) float64 {
	if spec.Floor <= 0 {
		return config.MinimumFloor
	}
	return spec.Floor
}

// expectedCost is what a request will probably use, in output tokens.
func (c *class) expectedCost(inputTokens int) float64 {
	return max(c.output+inputCost*float64(inputTokens), 1)
}

// answered takes what a whole answer used.
func (c *class) answered(output int64) {
	if c.output == 0 {
		c.output = float64(output)
		return
	}
	c.output += costWeight * (float64(output) - c.output)
}

// target is the time after arrival by which the class's promise is missed, and
// how much of it the request's own run typically takes. The run never counts for
// more than half, so that a slow spell cannot refuse a class for good.
func (c *class) target(now time.Time) (limit, run time.Duration) {
	limit = time.Duration(c.spec.FirstToken)
	history := &c.firstToken
	if limit <= 0 {
		limit = time.Duration(c.spec.Deadline)
		history = &c.whole
	}
	if limit <= 0 {
		limit = config.DefaultDeadline
	}
	run, _ = history.Quantile(now, typical)
	return limit, min(run, limit/2)
}

// queueLimit bounds the wait for admission.
func (c *class) queueLimit() time.Duration {
	switch {
	case c.spec.QueueLimit > 0:
		return time.Duration(c.spec.QueueLimit)
	case c.spec.Deadline > 0:
		return time.Duration(c.spec.Deadline)
	}
	return config.DefaultDeadline
}
