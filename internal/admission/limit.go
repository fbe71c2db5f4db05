package admission

import "time"

const (
	// limitBackoff is the factor of a decrease.
	limitBackoff = 0.8
	// limitPause is the shortest time between two decreases, so that one slow
	// spell counts once.
	limitPause = 2 * time.Second
	// limitBusy is the share of the limit that must be in use to raise it.
	limitBusy = 0.75
)

// Limit finds the number of requests in flight that a backend server bears, by
// additive increase and multiplicative decrease on latency against the class's
// targets. The zero Limit is not usable; see NewLimit.
type Limit struct {
	value   float64
	ceiling float64
	lowered time.Time
}

// NewLimit returns a limit that starts at the ceiling, which is at least 1.
func NewLimit(ceiling int) Limit {
	c := float64(max(ceiling, 1))
	return Limit{value: c, ceiling: c}
}

// SetCeiling changes the configured bound. A raised bound is used at once when
// the limit stood at the old one.
func (l *Limit) SetCeiling(ceiling int) {
	c := float64(max(ceiling, 1))
	if l.value >= l.ceiling || l.value > c {
		l.value = c
	}
	l.ceiling = c
}

// Sample takes one answer: slow tells that it missed what its target allows, and
// inFlight is the number that ran beside it.
func (l *Limit) Sample(now time.Time, slow bool, inFlight int) {
	if slow {
		l.lower(now)
		return
	}
	if float64(inFlight) >= limitBusy*l.value {
		l.value = min(l.value+1/l.value, l.ceiling)
	}
}

func (l *Limit) lower(now time.Time) {
	if now.Sub(l.lowered) < limitPause {
		return
	}
	l.value = max(l.value*limitBackoff, 1)
	l.lowered = now
}

// Value returns the limit in whole requests, at least 1.
func (l *Limit) Value() int { return int(l.value) }
