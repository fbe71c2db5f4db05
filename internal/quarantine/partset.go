package quarantine

import "time"

const (
	// partSetLifetime is the minimum time for which a set remembers a part.
	partSetLifetime = 10 * time.Minute
	// maxPartSetSize bounds the parts that are remembered for less than that: the
	// older half is forgotten early.
	maxPartSetSize = 16384
)

// partSet remembers parts for a time, in two generations. The zero value is empty.
type partSet struct {
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

// add remembers a part.
func (s *partSet) add(part uint64, now time.Time) {
	if s.current == nil || len(s.current) >= maxPartSetSize/2 || now.Sub(s.rotatedAt) >= partSetLifetime {
		s.previous, s.current, s.rotatedAt = s.current, make(map[uint64]struct{}), now
	}
	s.current[part] = struct{}{}
}

// contains reports whether the part is remembered.
func (s *partSet) contains(part uint64) bool {
	_, inCurrent := s.current[part]
	_, inPrevious := s.previous[part]
	return inCurrent || inPrevious
}
