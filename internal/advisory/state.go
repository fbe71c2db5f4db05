package advisory

import "time"

// Clock is a reading of the clock by which a State measures time: boottime.Instant or
// time.Time.
type Clock[T any] interface {
	Add(d time.Duration) T
	Before(other T) bool
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
		c.RateLimit = s.limit.observe(h.RateLimit, h.From, h.To)
	}
	return c
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

// RateLimit returns the requests per second that the server takes from all instances
// together. Zero means that it names no limit.
func (s *State[T]) RateLimit() float64 { return s.limit.rate }
