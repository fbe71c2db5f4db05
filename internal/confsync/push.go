package confsync

import (
	"context"
	"errors"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/peer"
)

const (
	// maxRecentChanges bounds the changes kept to answer pulls.
	maxRecentChanges = 512
	// maxPushChanges bounds the changes forwarded in one message. Instances
	// that are further behind poll or pull.
	maxPushChanges = 16
)

// delta is the body of peer.KindConfigDelta: changes in ascending order.
type delta struct {
	Changes []Change `cbor:"1,keyasint"`
}

// withdrawalUpdate is the body of peer.KindWithdrawals.
type withdrawalUpdate struct {
	Keys []config.KeyDigest `cbor:"1,keyasint"`
}

// push applies changes and forwards the new ones to the neighbours, whether
// they were pushed, pulled or polled. A flood stops at an instance that
// already has the change, so an instance that polled a change must forward it
// too. It returns *GapError if earlier changes are missing.
func (s *Store) push(changes []Change, from string) error {
	added, err := s.applyChanges(changes)
	if len(added) > 0 && len(added) <= maxPushChanges {
		s.broadcast(peer.KindConfigDelta, delta{Changes: added}, from)
	}
	return err
}

// applyChanges applies changes and returns the new ones.
func (s *Store) applyChanges(changes []Change) ([]Change, error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	state := s.State()
	var added []Change
	var err error
	for _, c := range changes {
		var next State
		next, err = state.Apply(c)
		if err != nil {
			break
		}
		if next.Version > state.Version {
			added = append(added, c)
		}
		state = next
	}
	if len(added) == 0 || !s.advance(state) {
		return nil, err
	}
	s.keepRecent(added)
	return added, err
}

// keepRecent keeps changes to answer pulls.
func (s *Store) keepRecent(changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		if n := len(s.recent); n > 0 && s.recent[n-1].Version+1 != c.Version {
			s.recent = nil // a full state was loaded in between
		}
		s.recent = append(s.recent, c)
	}
	if excess := len(s.recent) - maxRecentChanges; excess > 0 {
		s.recent = append([]Change(nil), s.recent[excess:]...)
	}
}

// onDelta handles changes pushed by another instance.
func (s *Store) onDelta(from string, m peer.Message) {
	var d delta
	if err := decodeBody(m, &d); err != nil {
		s.options.Logger.Warn("decoding pushed changes failed; the message is dropped", "peer", from, "error", err)
		return
	}
	err := s.push(d.Changes, from)
	var gap *GapError
	if errors.As(err, &gap) {
		go s.pullMissing(from)
		return
	}
	if err != nil {
		s.options.Logger.Warn("applying pushed changes failed; polling the table service", "peer", from, "error", err)
		s.requestPoll()
	}
}

// pullMissing fetches the changes before a pushed one from its sender.
func (s *Store) pullMissing(from string) {
	if err := s.pull(context.Background(), from); err != nil {
		s.options.Logger.Debug("pulling missing changes failed; polling the table service", "peer", from, "error", err)
		s.requestPoll()
	}
}

// onWithdrawals handles withdrawals pushed by another instance.
func (s *Store) onWithdrawals(from string, m peer.Message) {
	var update withdrawalUpdate
	if err := decodeBody(m, &update); err != nil {
		s.options.Logger.Warn("decoding withdrawals failed; the message is dropped", "peer", from, "error", err)
		return
	}
	s.applyWithdrawals(update.Keys, from)
}

// applyWithdrawals applies withdrawals and forwards them if any was new. It
// reports whether any was new.
func (s *Store) applyWithdrawals(keys []config.KeyDigest, from string) bool {
	if !s.mergeWithdrawals(keys) {
		return false
	}
	s.broadcast(peer.KindWithdrawals, withdrawalUpdate{Keys: keys}, from)
	return true
}
