package confsync

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// proof states that no change above version had been accepted at a time on
// this instance's clock. The zero value proves nothing.
type proof struct {
	at      time.Time
	version uint64
}

// newer returns the proof of the later time.
func (p proof) newer(q proof) proof {
	if q.at.After(p.at) {
		return q
	}
	return p
}

// holds reports whether an instance with the version in force may take new
// work at the time now.
func (p proof) holds(now time.Time, inForce uint64, limit time.Duration) bool {
	if p.at.IsZero() || inForce < p.version {
		return false
	}
	return now.Sub(p.at) < limit
}

func (s *Store) prove(p proof) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proof = s.proof.newer(p)
}

// Fresh implements config.Source. It is false before the first configuration.
func (s *Store) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh()
}

func (s *Store) fresh() bool {
	snapshot := s.Current()
	if snapshot == nil {
		return false
	}
	return s.proof.holds(s.options.Now(), snapshot.Version, s.options.FreshLimit)
}

// recordFreshness records the moment at which the instance turned stale.
func (s *Store) recordFreshness() {
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := !s.fresh()
	if stale && !s.stale {
		s.options.Recorder.Record(timeline.Event{Time: s.options.Now(), Kind: timeline.InstanceStale})
		s.options.Logger.Warn("configuration may be old; no new work is taken")
	}
	s.stale = stale
}
