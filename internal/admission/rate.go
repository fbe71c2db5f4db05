package admission

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay.
const rateTimeConstant = 15 * time.Second

// Rate is an exponentially weighted rate of events. The zero value is a rate of 0.
// It is not safe for concurrent use.
type Rate struct {
	value     float64
	updatedAt time.Time
}

// Add counts one event.
func (r *Rate) Add(now time.Time) {
	r.value = r.Value(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// Value returns the rate in events per second.
func (r *Rate) Value(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	age := max(now.Sub(r.updatedAt), 0)
	return r.value * math.Exp(-float64(age)/float64(rateTimeConstant))
}
