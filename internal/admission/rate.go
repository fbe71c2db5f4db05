package admission

import (
	"math"
	"time"
)

// rateSpan is the time over which a Rate averages.
const rateSpan = 15 * time.Second

// Rate counts events per second, recent ones more. The zero Rate is 0.
type Rate struct {
	value float64
	at    time.Time
}

// Add counts one event.
func (r *Rate) Add(now time.Time) {
	r.value = r.Value(now) + 1/rateSpan.Seconds()
	r.at = now
}

// Value returns the events per second.
func (r *Rate) Value(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	age := max(now.Sub(r.at), 0)
	return r.value * math.Exp(-float64(age)/float64(rateSpan))
}
