package advisory

import (
	"math"
	"time"
)

const (
	// After a limit has ended, the rate doubles each recoveryStep from the last limit on,
	// for recoveryTime, so that the requests that waited do not arrive at once.
	recoveryStep = time.Second
	recoveryTime = 6 * recoveryStep
	// silentAfter is the time without an answer of the server after which its limit may
	// have ended unnoticed.
	silentAfter = 10 * time.Second
)

// rateLimit is the rate limit that a server named last, or that it names none.
type rateLimit[T Clock[T]] struct {
	rate float64 // requests per second; 0 if the server names no limit
	// from and to bound the time at which the server stated it.
	from, to T
	// endedRate is the limit that has ended at to or later; 0 if there was none.
	endedRate float64
	endedAt   T
}

// observe applies a statement made between from and to, where rate is zero if the server
// named no limit. It reports whether the limit has changed. Answers may overtake each
// other: of two statements whose order is unknown the lower limit holds.
func (l *rateLimit[T]) observe(rate float64, from, to T) (changed bool) {
	switch {
	case l.to.Before(from):
		changed = rate != l.rate
		if changed && rate == 0 {
			l.endedRate, l.endedAt = l.rate, to
		}
		l.rate, l.from, l.to = rate, from, to
		return changed
	case to.Before(l.from):
		return false
	}
	if rate > 0 && (l.rate == 0 || rate < l.rate) {
		l.rate, changed = rate, true
	}
	if l.from.Before(from) {
		l.from = from
	}
	if l.to.Before(to) {
		l.to = to
	}
	return changed
}

// inForce returns the rate that the server should get at most, in requests per second. Zero
// means that it is not limited.
func (l *rateLimit[T]) inForce(now T) float64 {
	if l.rate > 0 || l.endedRate == 0 {
		return l.rate
	}
	since := now.Sub(l.endedAt)
	if since >= recoveryTime {
		return 0
	}
	return l.endedRate * math.Exp2(since.Seconds()/recoveryStep.Seconds())
}
