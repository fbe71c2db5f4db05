package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/retrybudget"
)

const (
	// costWeight is the weight of a new answer in the expected number of output
	// tokens.
	costWeight = 0.05
	// inputTokenCost is the cost of an input token in output tokens.
	inputTokenCost = 0.1
	// typicalQuantile and tailQuantile are the quantiles of recent answers on
	// which predictions are based.
	typicalQuantile = 0.5
	tailQuantile    = 0.95
	// predictionTTL is how long a prediction is reused.
	predictionTTL = 200 * time.Millisecond
)

// class is the state of one class in one pool.
type class struct {
	spec           *config.Class
	budget         *retrybudget.Budget
	running        int               // admitted requests
	firstTokens    admission.History // time to first token
	durations      admission.History // time from start to complete answer
	expectedOutput float64           // expected output tokens per answer; 0 if unknown

	predictedAt       time.Time     // when the following fields were computed
	typicalFirstToken time.Duration // typical time to first token; 0 if unknown
	tailDuration      time.Duration // tail of the time to a complete answer; 0 if unknown
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
		return config.DefaultFloor
	}
	return spec.Floor
}

// expectedCost returns the expected cost of a request in output tokens, at
// least 1.
func (c *class) expectedCost(inputTokens int) float64 {
	return max(c.expectedOutput+inputTokenCost*float64(inputTokens), 1)
}

// recordOutput records the output tokens of a complete answer.
func (c *class) recordOutput(output int64) {
	if c.expectedOutput == 0 {
		c.expectedOutput = float64(output)
		return
	}
	c.expectedOutput += costWeight * (float64(output) - c.expectedOutput)
}

// truncatedFactor estimates the full duration of a truncated answer as a
// multiple of the time it ran.
const truncatedFactor = 2

// recordTruncated records an answer that was cut off at its deadline. Without
// these, the tail of the durations would look shorter the more long answers are
// cut off.
func (c *class) recordTruncated(now, deadline time.Time, run time.Duration) {
	if !deadline.IsZero() && !now.Before(deadline) {
		c.durations.Observe(now, truncatedFactor*run)
	}
}

// missesTarget reports whether a request that starts startDelay after its
// arrival will probably miss a target of the class. For the time to first token
// the median of recent answers is used. For the deadline their tail is used,
// because an answer that is cut off at its deadline wastes the servers' work.
// The predicted duration counts for at most half of the target, so that a slow
// period cannot cause the class to be refused forever.
func (c *class) missesTarget(now time.Time, startDelay time.Duration) bool {
	c.predict(now)
	if target := time.Duration(c.spec.FirstToken); target > 0 && startDelay+min(c.typicalFirstToken, target/2) > target {
		return true
	}
	deadline := c.deadline()
	return startDelay+min(c.tailDuration, deadline/2) > deadline
}

// predict recomputes the predictions if they have expired.
func (c *class) predict(now time.Time) {
	if !c.predictedAt.IsZero() && now.Sub(c.predictedAt) < predictionTTL {
		return
	}
	c.predictedAt = now
	c.typicalFirstToken, _ = c.firstTokens.Quantile(now, typicalQuantile)
	c.tailDuration, _ = c.durations.Quantile(now, tailQuantile)
}

func (c *class) deadline() time.Duration {
	if c.spec.Deadline > 0 {
		return time.Duration(c.spec.Deadline)
	}
	return config.DefaultDeadline
}

// queueLimit bounds the time that a request of the class waits for admission.
func (c *class) queueLimit() time.Duration {
	if c.spec.QueueTimeout > 0 {
		return time.Duration(c.spec.QueueTimeout)
	}
	return c.deadline()
}
