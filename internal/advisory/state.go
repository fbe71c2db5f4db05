package advisory

import "time"

// Clock is a reading of the clock by which a State measures time: boottime.Instant or
// time.Time.
type Clock[T any] interface {
	Add(d time.Duration) T
	Before(other T) bool
	Sub(other T) time.Duration
}

// Heard is an advisory with what is known of the time at which the server stated it.
type Heard[T Clock[T]] struct {
	Advisory
	// From is when the request was sent and To when the head of its answer arrived. The
	// server wrote the head in between.
	From, To T
	// Partial is true for a head that need not state everything, such as that of an
	// informational answer. The fields that it lacks state nothing.
	Partial bool
}

// State is what the answers of one incarnation of a server have stated. The zero value
// is that of a server that has stated nothing. It is not safe for concurrent use.
type State[T Clock[T]] struct {
	leaving     bool
	pausedUntil T
	trial       bool // no answer has come since the last pause
	malformed   bool // a malformed field was reported
	limit       rateLimit[T]
	ownLimit    rateLimit[T] // as stated to this instance
}

// Change says what an answer has changed in a State.
type Change struct {
	Leaving   bool // the server is now known to leave
	Paused    bool // the server is paused, or for longer than before
	RateLimit bool // the server's rate limit is another one, or has ended
	Malformed bool // a field is malformed, for the first time
}

// Observe applies the head of an answer. Of several pauses the longest holds.
func (s *State[T]) Observe(h Heard[T]) Change {
	c := Change{Leaving: h.Leaving && !s.leaving, Malformed: h.Err != nil && !s.malformed}
	s.leaving = s.leaving || h.Leaving
	s.malformed = s.malformed || h.Err != nil
	if until := h.To.Add(h.Pause); h.Pause > 0 && s.pausedUntil.Before(until) {
		s.pausedUntil, c.Paused = until, true
	}
	if !h.Partial || h.Pause > 0 {
		s.trial = h.Pause > 0 || s.trial && s.Paused(h.To)
	}
	if !h.Partial || h.RateLimit > 0 {
		s.ownLimit.observe(h.RateLimit, h.From, h.To)
		c.RateLimit = s.limit.observe(h.RateLimit, h.From, h.To)
	}
	return c
}

// ObserveReported applies a rate limit, 0 for none, that the server stated to another
// instance between from and to. It reports whether the limit has changed.
func (s *State[T]) ObserveReported(l NamedLimit[T]) (changed bool) {
	return s.limit.observe(l.Rate, l.From, l.To)
}

// NamedLimit is a rate limit that a server stated between From and To.
type NamedLimit[T Clock[T]] struct {
	Rate     float64 // requests per second; 0 if the server named no limit any more
	From, To T
}

// OwnLimit returns what the server has stated to this instance, if other instances should
// know of it: a limit, or for a time that a limit has ended.
func (s *State[T]) OwnLimit(now T) (NamedLimit[T], bool) {
	own := s.ownLimit
	l := NamedLimit[T]{Rate: own.rate, From: own.from, To: own.to}
	if own.rate > 0 {
		return l, s.limit.rate > 0
	}
	return l, own.endedRate > 0 && now.Before(own.endedAt.Add(recoveryTime))
}

// Leaving reports whether the server stops soon.
func (s *State[T]) Leaving() bool { return s.leaving }

// Paused reports whether the server wants no requests now.
func (s *State[T]) Paused(now T) bool { return now.Before(s.pausedUntil) }

// PausedUntil returns the end of the last pause. It is zero if there was none.
func (s *State[T]) PausedUntil() T { return s.pausedUntil }

// OnTrial reports whether the server should get one request at a time: it has asked for a
// pause, and no answer without one has come after its end.
func (s *State[T]) OnTrial() bool { return s.trial }

// RateLimit returns the requests per second that the server should get from all instances
// together: the limit that it names, or more and more for a time after that has ended. Zero
// means that it is not limited.
func (s *State[T]) RateLimit(now T) float64 { return s.limit.inForce(now) }

// NamesLimit reports whether the server named a rate limit in its newest answer, which is
// not so old that the limit may have ended unnoticed.
func (s *State[T]) NamesLimit(now T) bool {
	return s.limit.rate > 0 && now.Before(s.limit.to.Add(silentAfter))
}
