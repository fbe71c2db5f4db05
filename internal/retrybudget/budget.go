// Package retrybudget limits retries to a share of first attempts, so that a
// failing backend cannot multiply its own load.
package retrybudget

import "time"

const (
	// burst is the largest number of retries that a budget saves up.
	burst = 10
	// initial is the number of retries that a new budget holds.
	initial = 3
	// trickleInterval is the time in which a budget regains one retry without
	// any first attempt, so that a class with little traffic can retry at all.
	trickleInterval = 30 * time.Second
)

// Budget is a token bucket that first attempts fill and retries empty. It is
// pure: callers pass the time. It is not safe for concurrent use.
type Budget struct {
	ratio  float64 // tokens per first attempt; zero forbids retries
	tokens float64
	filled time.Time
}

// New returns a budget that allows ratio retries per first attempt. A ratio of
// zero or less allows none.
func New(ratio float64, now time.Time) *Budget {
	b := &Budget{ratio: max(ratio, 0), filled: now}
	if b.ratio > 0 {
		b.tokens = initial
	}
	return b
}

// SetRatio changes the ratio and keeps what was saved up.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = max(ratio, 0)
	if b.ratio == 0 {
		b.tokens = 0
	}
}

// Attempt credits one first attempt.
func (b *Budget) Attempt() { b.tokens = min(b.tokens+b.ratio, burst) }

// Take spends one retry. It reports false, and spends nothing, when the budget
// does not hold a whole one.
func (b *Budget) Take(now time.Time) bool {
	b.trickle(now)
	if b.ratio == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of retries that the budget holds.
func (b *Budget) Left() float64 { return b.tokens }

func (b *Budget) trickle(now time.Time) {
	if now.Before(b.filled) || b.ratio == 0 {
		return
	}
	gained := float64(now.Sub(b.filled)) / float64(trickleInterval)
	b.tokens = min(b.tokens+gained, burst)
	b.filled = now
}
