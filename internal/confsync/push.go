package confsync

import (
	"context"
	"errors"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/peer"
)

const (
	// recentChanges is how many changes an instance keeps to answer pulls.
	recentChanges = 512
	// maxPushed is how many changes are passed on at once; whoever is further
	// behind polls or pulls.
	maxPushed = 16
)

// delta is the body of peer.KindConfigDelta: changes in ascending order.
type delta struct {
	Changes []Change `cbor:"1,keyasint"`
}

// withdrawalNews is the body of peer.KindWithdrawals.
type withdrawalNews struct {
	Keys []config.KeyDigest `cbor:"1,keyasint"`
}

// push puts changes in force here and passes those that were news on to the
// neighbours, however they were learned: a flood ends at an instance that knows
// the change already, so whoever polled it must carry it on. It returns
// *GapError when changes before them are missing.
func (s *Store) push(changes []Change, from string) error {
	news, err := s.applyChanges(changes)
	if len(news) > 0 && len(news) <= maxPushed {
		s.broadcast(peer.KindConfigDelta, delta{Changes: news}, from)
	}
	return err
}

// applyChanges puts changes in force and returns those that were news.
func (s *Store) applyChanges(changes []Change) ([]Change, error) {
	s.applying.Lock()
	defer s.applying.Unlock()
	state := s.State()
	var news []Change
	var err error
	for _, c := range changes {
		var next State
		next, err = state.Apply(c)
		if err != nil {
			break
		}
		if next.Version > state.Version {
			news = append(news, c)
		}
		state = next
	}
	if len(news) == 0 || !s.advance(state) {
		return nil, err
	}
	s.remember(news)
	return news, err
}

// remember keeps changes for instances that ask for what they missed.
func (s *Store) remember(changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		if n := len(s.recent); n > 0 && s.recent[n-1].Version+1 != c.Version {
			s.recent = nil // a whole state was read in between
		}
		s.recent = append(s.recent, c)
	}
	if excess := len(s.recent) - recentChanges; excess > 0 {
		s.recent = append([]Change(nil), s.recent[excess:]...)
	}
}

// onDelta takes changes that another instance pushes.
func (s *Store) onDelta(from string, m peer.Message) {
	var d delta
	if err := decodeBody(m, &d); err != nil {
		s.options.Logger.Warn("changes not read", "peer", from, "error", err)
		return
	}
	err := s.push(d.Changes, from)
	var gap *GapError
	if errors.As(err, &gap) {
		go s.closeGap(from)
		return
	}
	if err != nil {
		s.options.Logger.Warn("changes not applied", "peer", from, "error", err)
		s.requestPoll()
	}
}

// closeGap asks the sender of a change for those before it.
func (s *Store) closeGap(from string) {
	if err := s.pull(context.Background(), from); err != nil {
		s.options.Logger.Debug("missed changes not pulled", "peer", from, "error", err)
		s.requestPoll()
	}
}

// onWithdrawals takes withdrawals that another instance spreads.
func (s *Store) onWithdrawals(from string, m peer.Message) {
	var news withdrawalNews
	if err := decodeBody(m, &news); err != nil {
		s.options.Logger.Warn("withdrawals not read", "peer", from, "error", err)
		return
	}
	s.takeWithdrawals(news.Keys, from)
}

// takeWithdrawals puts withdrawals in force and passes them on if any was news.
func (s *Store) takeWithdrawals(keys []config.KeyDigest, from string) bool {
	if !s.mergeWithdrawals(keys) {
		return false
	}
	s.broadcast(peer.KindWithdrawals, withdrawalNews{Keys: keys}, from)
	return true
}
