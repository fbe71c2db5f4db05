package confsync

import "time"

// proof states that no change above version had been accepted at a time on
// this instance's clock. The zero value proves nothing.
type proof struct {
	at      time.Time
	version uint64
}

// prove takes a proof. One whose version is not in force yet is kept aside.
func (s *Store) prove(p proof) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.at.After(s.unmet.at) {
		s.unmet = p
	}
	if p.version <= s.inForce() && p.at.After(s.proof.at) {
		s.proof = p
	}
	s.meet()
	if s.unmet.version > s.inForce() {
		s.fire(eventNewerSeen, false)
	} else {
		s.fire(eventConfirmed, false)
	}
}

// meet uses the proof that was kept aside once its version is in force. The
// caller holds the lock.
func (s *Store) meet() {
	if s.unmet.version <= s.inForce() && s.unmet.at.After(s.proof.at) {
		s.proof = s.unmet
	}
	s.ready = s.ready || !s.proof.at.IsZero()
}

// Fresh implements config.Source. It is false before the first configuration.
func (s *Store) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh()
}

func (s *Store) fresh() bool {
	if s.Current() == nil || s.proof.at.IsZero() {
		return false
	}
	return s.options.Now().Sub(s.proof.at) < s.options.FreshLimit
}

// noteStaleness tells the chart that the last proof has grown too old.
func (s *Store) noteStaleness() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fresh() {
		s.fire(eventUnconfirmed, false)
	}
}
