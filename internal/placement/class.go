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
	// typical and tail are the quantiles that predictions use.
	typical = 0.5
	tail    = 0.95
	// predictInterval is how long a prediction is used.
	predictInterval = 200 * time.Millisecond
)

// class is what one pool knows of one class.
type class struct {
	spec       *config.Class
	budget     *retrybudget.Budget
	running    int               // admitted requests
	firstToken admission.History // from start to first token
	whole      admission.History // from start to the end
	output     float64           // expected output tokens; 0 if unknown

	predicted  time.Time     // when the following were computed
	usualFirst time.Duration // typical time to the first token; 0 if unknown
	longestRun time.Duration // tail of whole answers; 0 if unknown
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

// cutFactor is how much longer an answer that was cut off is taken to have needed.
const cutFactor = 2

// cutOff takes an answer that ended at its deadline. Without these, the tail of
// whole answers would look shorter the more long ones are cut off.
func (c *class) cutOff(now, deadline time.Time, run time.Duration) {
	if !deadline.IsZero() && !now.Before(deadline) {
		c.whole.Add(now, cutFactor*run)
	}
}

// late reports whether a request that starts the given time after its arrival
// will probably miss the class's promise: its first token by the median of
// recent answers, or its deadline by their tail, because an answer that is cut
// off at its deadline wastes the servers' work. What a run takes never counts for
// more than half of the promise, so that a slow spell cannot refuse a class for good.
func (c *class) late(now time.Time, started time.Duration) bool {
	c.predict(now)
	if first := time.Duration(c.spec.FirstToken); first > 0 && started+min(c.usualFirst, first/2) > first {
		return true
	}
	deadline := c.deadline()
	return started+min(c.longestRun, deadline/2) > deadline
}

// predict brings the predictions up to date when they are old.
func (c *class) predict(now time.Time) {
	if !c.predicted.IsZero() && now.Sub(c.predicted) < predictInterval {
		return
	}
	c.predicted = now
	c.usualFirst, _ = c.firstToken.Quantile(now, typical)
	c.longestRun, _ = c.whole.Quantile(now, tail)
}

func (c *class) deadline() time.Duration {
	if c.spec.Deadline > 0 {
		return time.Duration(c.spec.Deadline)
	}
	return config.DefaultDeadline
}

// queueLimit bounds the wait for admission.
func (c *class) queueLimit() time.Duration {
	if c.spec.QueueLimit > 0 {
		return time.Duration(c.spec.QueueLimit)
	}
	return c.deadline()
}
