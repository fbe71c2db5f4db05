package advisory

// rateLimit is the rate limit that a server named last, or that it names none.
type rateLimit[T Clock[T]] struct {
	rate float64 // requests per second; 0 if the server names no limit
	// from and to bound the time at which the server stated it.
	from, to T
}

// observe applies a statement made between from and to, where rate is zero if the server
// named no limit. It reports whether the limit has changed. Answers may overtake each
// other: of two statements whose order is unknown the lower limit holds.
func (l *rateLimit[T]) observe(rate float64, from, to T) (changed bool) {
	switch {
	case l.to.Before(from):
		changed = rate != l.rate
		*l = rateLimit[T]{rate: rate, from: from, to: to}
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
