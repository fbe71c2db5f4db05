package sharedlimit

import "time"

// Clock is a reading of a clock: boottime.Instant or time.Time.
type Clock[T any] interface {
	Add(d time.Duration) T
	Before(other T) bool
}

const (
	// minKept is the number of requests that are remembered while no limit is known, since
	// they count for one that is named now.
	minKept = 16
	// maxKept bounds the number of requests that are remembered. Larger shares are not
	// limited.
	maxKept = 4096
)

// Sends are the times of one instance's newest requests to one server. The zero value has
// none. It is not safe for concurrent use.
type Sends[T Clock[T]] struct {
	times []T // in order
}

// Add records a request. share is the largest number that Allow is asked for.
func (s *Sends[T]) Add(now T, share int) {
	kept := min(max(share, minKept), maxKept)
	if len(s.times) >= 2*kept {
		s.times = s.times[:copy(s.times, s.times[len(s.times)-kept:])]
	}
	s.times = append(s.times, now)
}

// latest returns the n-th newest request, counted from 1. The result is false if there are
// fewer.
func (s *Sends[T]) latest(n int) (T, bool) {
	if n < 1 || n > len(s.times) {
		var none T
		return none, false
	}
	return s.times[len(s.times)-n], true
}

// Allow reports whether one more request keeps this instance within its share of a window.
func (s *Sends[T]) Allow(now T, window time.Duration, share int) bool {
	return share > 0 && !now.Before(s.AllowedAt(now, window, share))
}

// Free returns how many more requests keep this instance within its share of a window.
func (s *Sends[T]) Free(now T, window time.Duration, share int) int {
	used := 0
	for used < share {
		last, ok := s.latest(used + 1)
		if !ok || !now.Before(last.Add(window)) {
			break
		}
		used++
	}
	return share - used
}

// AppendRenewals appends the times at which each used part of the share will be free again.
func (s *Sends[T]) AppendRenewals(times []T, now T, window time.Duration, share int) []T {
	for used := range share - s.Free(now, window, share) {
		last, _ := s.latest(used + 1)
		times = append(times, last.Add(window))
	}
	return times
}

// AllowedAt returns the time from which Allow is true without further requests. share must
// be positive.
func (s *Sends[T]) AllowedAt(now T, window time.Duration, share int) T {
	if last, ok := s.latest(share); ok && now.Before(last.Add(window)) {
		return last.Add(window)
	}
	return now
}
