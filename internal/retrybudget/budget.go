// Package retrybudget limits retries to a share of first attempts, so that retries
// cannot multiply the load on a failing backend.
package retrybudget

import "time"

const (
	// maxTokens is the largest number of retries that a budget accumulates.
	maxTokens = 10
	// initialTokens is the number of retries in a new budget.
	initialTokens = 3
	// refillInterval is the time in which a budget gains one retry without any
	// first attempt, so that a class with little traffic can retry at all.
	refillInterval = 30 * time.Second
)

// Budget is a token bucket: first attempts add tokens and retries remove them. It
// is pure: callers pass the time. It is not safe for concurrent use.
type Budget struct {
	ratio      float64 // tokens per first attempt; zero forbids retries
	tokens     float64
	refilledAt time.Time
}

// New returns a budget that allows ratio retries per first attempt. Zero or less
// means that no retries are allowed.
func New(ratio float64, now time.Time) *Budget {
	b := &Budget{ratio: max(ratio, 0), refilledAt: now}
	if b.ratio > 0 {
		b.tokens = initialTokens
	}
	return b
}

// SetRatio changes the ratio. Accumulated tokens are kept unless the ratio is zero
// or less.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = max(ratio, 0)
	if b.ratio == 0 {
		b.tokens = 0
	}
}

// CountAttempt adds the tokens of one first attempt.
func (b *Budget) CountAttempt() { b.tokens = min(b.tokens+b.ratio, maxTokens) }

// Take removes one token for a retry. It returns false and removes nothing when
// less than one token is left.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.ratio == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining returns the number of retries left in the budget.
func (b *Budget) Remaining() float64 { return b.tokens }

func (b *Budget) refill(now time.Time) {
	if now.Before(b.refilledAt) || b.ratio == 0 {
		return
	}
	gained := float64(now.Sub(b.refilledAt)) / float64(refillInterval)
	b.tokens = min(b.tokens+gained, maxTokens)
	b.refilledAt = now
}
