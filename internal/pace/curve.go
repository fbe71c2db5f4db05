package pace

import (
	"math"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const (
	// curveRequests is the number of requests in flight from which they affect event times
	// noticeably.
	curveRequests = 8.0
	// priorSlope and slopeWeight are the assumed slope of a curve, and the variance of the
	// load at which observations count as much as the assumption.
	priorSlope  = 0.5
	slopeWeight = 0.05
	maxSlope    = 1.5
	// minCurveWeight is the number of observations that a curve needs.
	minCurveWeight = 16.0
)

// curve is the logarithm of a time as a linear function of the logarithm of the load, over
// all servers of a service. Each instance learns its own from its observations, by least
// squares with decayed sums.
type curve struct {
	weight, u, uu, x, ux float64
	at                   boottime.Instant
}

func loadOf(inFlight int) float64 { return math.Log1p(float64(max(inFlight, 0)) / curveRequests) }

func (c *curve) add(now boottime.Instant, inFlight int, x float64) {
	if c.weight > 0 {
		f := decay(now.Sub(c.at), speedDecayTime)
		c.weight, c.u, c.uu, c.x, c.ux = f*c.weight, f*c.u, f*c.uu, f*c.x, f*c.ux
	}
	c.at = now
	u := loadOf(inFlight)
	c.weight++
	c.u += u
	c.uu += u * u
	c.x += x
	c.ux += u * x
}

// predict returns the usual logarithm of the time at a load. It is false while too little
// is known.
func (c *curve) predict(inFlight int) (float64, bool) {
	if c.weight < minCurveWeight {
		return 0, false
	}
	u, x := c.u/c.weight, c.x/c.weight
	variance := max(c.uu/c.weight-u*u, 0)
	slope := (c.ux/c.weight - u*x + slopeWeight*priorSlope) / (variance + slopeWeight)
	return x + min(max(slope, 0), maxSlope)*(loadOf(inFlight)-u), true
}

const (
	// minMillis and maxMillis bound observed times.
	minMillis = 0.5
	maxMillis = 30_000.0
)

func logMillis(d time.Duration) float64 {
	return math.Log(min(max(millis(d), minMillis), maxMillis))
}
