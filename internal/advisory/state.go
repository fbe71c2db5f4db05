package advisory

import "time"

// Clock is a reading of the clock by which a State measures time: boottime.Instant or
// time.Time.
type Clock[T any] interface {
	Add(d time.Duration) T
	Before(other T) bool
}

// State is what the answers of one incarnation of a server have stated. The zero value
// is that of a server that has stated nothing. It is not safe for concurrent use.
type State[T Clock[T]] struct {
	leaving     bool
	pausedUntil T
	trial       bool // no answer has come since the last pause
	malformed   bool // a malformed field was reported
}

// Change says what an answer has changed in a State.
type Change struct {
	Leaving   bool // the server is now known to leave
	Paused    bool // the server is paused, or for longer than before
	Malformed bool // a field is malformed, for the first time
}

// Observe applies an answer that arrived at now. Of several pauses the longest holds.
func (s *State[T]) Observe(now T, a Advisory) Change {
	c := Change{Leaving: a.Leaving && !s.leaving, Malformed: a.Err != nil && !s.malformed}
	s.leaving = s.leaving || a.Leaving
	s.malformed = s.malformed || a.Err != nil
	if until := now.Add(a.Pause); a.Pause > 0 && s.pausedUntil.Before(until) {
		s.pausedUntil, c.Paused = until, true
	}
	s.trial = a.Pause > 0 || s.trial && s.Paused(now)
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
