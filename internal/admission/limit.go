package admission

import "time"

const (
	// decreaseFactor is the factor of a multiplicative decrease.
	decreaseFactor = 0.8
	// minDecreaseInterval is the minimum time between two decreases, so that one
	// period of high latency counts once.
	minDecreaseInterval = 2 * time.Second
	// minIncreaseUtilisation is the share of the limit that must be in use for an
	// increase.
	minIncreaseUtilisation = 0.75
)

// Limit adapts the concurrency limit of a backend server by additive increase and
// multiplicative decrease (AIMD), depending on whether answers meet the latency
// targets of their class. The zero value is not usable; use NewLimit. It is not
// safe for concurrent use.
type Limit struct {
	value     float64
	ceiling   float64
	loweredAt time.Time
}

// NewLimit returns a limit that starts at its ceiling. A ceiling below 1 counts as
// 1.
func NewLimit(ceiling int) Limit {
	c := float64(max(ceiling, 1))
	return Limit{value: c, ceiling: c}
}

// SetCeiling changes the upper bound. If the limit was at the old ceiling, it moves
// to the new one immediately.
func (l *Limit) SetCeiling(ceiling int) {
	c := float64(max(ceiling, 1))
	if l.value >= l.ceiling || l.value > c {
		l.value = c
	}
	l.ceiling = c
}

// Observe records one answer. slow is true when it missed its latency target, and
// inFlight is the number of concurrent requests.
func (l *Limit) Observe(now time.Time, slow bool, inFlight int) {
	if slow {
		l.decrease(now)
		return
	}
	if float64(inFlight) >= minIncreaseUtilisation*l.value {
		l.value = min(l.value+1/l.value, l.ceiling)
	}
}

func (l *Limit) decrease(now time.Time) {
	if now.Sub(l.loweredAt) < minDecreaseInterval {
		return
	}
	l.value = max(l.value*decreaseFactor, 1)
	l.loweredAt = now
}

// Value returns the limit in whole requests, at least 1.
func (l *Limit) Value() int { return int(l.value) }
