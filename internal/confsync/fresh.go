package confsync

import "time"

// proof states that no change above version had been accepted at a time on
// this instance's clock. The zero value proves nothing.
type proof struct {
	at      time.Time
	version uint64
}

// addProof records a proof. If its version is not in force yet, the proof is
// held in aheadProof.
func (s *Store) addProof(p proof) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.at.After(s.aheadProof.at) {
		s.aheadProof = p
	}
	if p.version <= s.inForce() && p.at.After(s.proof.at) {
		s.proof = p
	}
	s.promoteProof()
	if s.aheadProof.version > s.inForce() {
		s.fire(eventNewerSeen, false)
	} else {
		s.fire(eventConfirmed, false)
	}
}

// promoteProof uses aheadProof as soon as its version is in force. The caller
// holds mu.
func (s *Store) promoteProof() {
	if s.aheadProof.version <= s.inForce() && s.aheadProof.at.After(s.proof.at) {
		s.proof = s.aheadProof
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

// checkStaleness sends the chart an event if the last proof is older than
// FreshLimit.
func (s *Store) checkStaleness() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fresh() {
		s.fire(eventUnconfirmed, false)
	}
}
