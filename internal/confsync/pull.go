package confsync

import (
	"context"
	"errors"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/peer"
)

// pullRequest is the body of a request of kind peer.KindConfigState.
type pullRequest struct {
	Have uint64 `cbor:"1,keyasint"` // version at the requesting instance
}

// pullReply holds what the requesting instance is missing: the changes above
// its version or, if those are no longer kept, the full state.
type pullReply struct {
	Changes []Change           `cbor:"1,keyasint,omitempty"`
	Full    *fullState         `cbor:"2,keyasint,omitempty"`
	Pending []config.KeyDigest `cbor:"3,keyasint,omitempty"`
}

// fullState is the wire format of a State.
type fullState struct {
	Version     uint64          `cbor:"1,keyasint"`
	Text        string          `cbor:"2,keyasint"`
	TextVersion uint64          `cbor:"3,keyasint"`
	Keys        []fullStateKey  `cbor:"4,keyasint,omitempty"`
	Zones       []fullStateZone `cbor:"5,keyasint,omitempty"`
}

type fullStateKey struct {
	Digest config.KeyDigest `cbor:"1,keyasint"`
	Row    keyRow           `cbor:"2,keyasint"`
}

type fullStateZone struct {
	Name string  `cbor:"1,keyasint"`
	Row  zoneRow `cbor:"2,keyasint"`
}

func newFullState(s State) *fullState {
	w := &fullState{Version: s.Version, Text: s.Text, TextVersion: s.TextVersion}
	for d, row := range s.keys {
		w.Keys = append(w.Keys, fullStateKey{Digest: d, Row: row})
	}
	for name, row := range s.zones {
		w.Zones = append(w.Zones, fullStateZone{Name: name, Row: row})
	}
	return w
}

func (w *fullState) state() State {
	s := State{
		Version: w.Version, Text: w.Text, TextVersion: w.TextVersion,
		keys: make(map[config.KeyDigest]keyRow, len(w.Keys)), zones: make(map[string]zoneRow, len(w.Zones)),
	}
	for _, k := range w.Keys {
		s.keys[k.Digest] = k.Row
	}
	for _, z := range w.Zones {
		s.zones[z.Name] = z.Row
	}
	return s
}

// onPull handles a pull request.
func (s *Store) onPull(_ string, m peer.Message) (peer.Message, error) {
	var r pullRequest
	if err := decodeBody(m, &r); err != nil {
		return peer.Message{}, err
	}
	return newMessage(peer.KindConfigState, s.buildPullReply(r.Have))
}

func (s *Store) buildPullReply(have uint64) pullReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := pullReply{Pending: s.pendingWithdrawals.Digests()}
	if have >= s.state.Version {
		return answer
	}
	if n := len(s.recent); n > 0 && s.recent[0].Version <= have+1 && s.recent[n-1].Version == s.state.Version {
		answer.Changes = append(answer.Changes, s.recent[have+1-s.recent[0].Version:]...)
		return answer
	}
	answer.Full = newFullState(s.state)
	return answer
}

// pull fetches missing changes and withdrawals from another instance.
func (s *Store) pull(ctx context.Context, from string) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.ReadTimeout)
	defer cancel()
	m, err := newMessage(peer.KindConfigState, pullRequest{Have: s.State().Version})
	if err != nil {
		return err
	}
	reply, err := s.options.Network.Request(ctx, from, m)
	if err != nil {
		return err
	}
	var answer pullReply
	if err := decodeBody(reply, &answer); err != nil {
		return err
	}
	s.applyWithdrawals(answer.Pending, from)
	if answer.Full != nil {
		s.advance(answer.Full.state())
	}
	err = s.push(answer.Changes, from)
	var gap *GapError
	if errors.As(err, &gap) {
		return nil // a newer state arrived in the meantime, or the next pull fetches the missing changes
	}
	return err
}

// pullFromNeighbour pulls from one neighbour per call, round robin.
func (s *Store) pullFromNeighbour(ctx context.Context) {
	neighbours := s.neighbours()
	if len(neighbours) == 0 {
		return
	}
	s.pulls++
	name := neighbours[s.pulls%len(neighbours)]
	if err := s.pull(ctx, name); err != nil && ctx.Err() == nil {
		s.options.Logger.Debug("pull from a neighbour failed", "peer", name, "error", err)
	}
}
