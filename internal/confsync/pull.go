package confsync

import (
	"context"
	"errors"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/peer"
)

// pullRequest is the body of a request of kind peer.KindConfigState.
type pullRequest struct {
	Have uint64 `cbor:"1,keyasint"` // version known to the asking instance
}

// pullAnswer holds what the asking instance lacks: the changes above its
// version or, when those are no longer kept, the whole state.
type pullAnswer struct {
	Changes []Change           `cbor:"1,keyasint,omitempty"`
	Whole   *wholeState        `cbor:"2,keyasint,omitempty"`
	Pending []config.KeyDigest `cbor:"3,keyasint,omitempty"`
}

// wholeState is a State on its way.
type wholeState struct {
	Version     uint64      `cbor:"1,keyasint"`
	Text        string      `cbor:"2,keyasint"`
	TextVersion uint64      `cbor:"3,keyasint"`
	Keys        []wholeKey  `cbor:"4,keyasint,omitempty"`
	Zones       []wholeZone `cbor:"5,keyasint,omitempty"`
}

type wholeKey struct {
	Digest config.KeyDigest `cbor:"1,keyasint"`
	Row    keyRow           `cbor:"2,keyasint"`
}

type wholeZone struct {
	Name string  `cbor:"1,keyasint"`
	Row  zoneRow `cbor:"2,keyasint"`
}

func newWholeState(s State) *wholeState {
	w := &wholeState{Version: s.Version, Text: s.Text, TextVersion: s.TextVersion}
	for d, row := range s.keys {
		w.Keys = append(w.Keys, wholeKey{Digest: d, Row: row})
	}
	for name, row := range s.zones {
		w.Zones = append(w.Zones, wholeZone{Name: name, Row: row})
	}
	return w
}

func (w *wholeState) state() State {
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

// onPull answers a pull.
func (s *Store) onPull(_ string, m peer.Message) (peer.Message, error) {
	var r pullRequest
	if err := decodeBody(m, &r); err != nil {
		return peer.Message{}, err
	}
	return newMessage(peer.KindConfigState, s.answerPull(r.Have))
}

func (s *Store) answerPull(have uint64) pullAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := pullAnswer{Pending: s.pending.Digests()}
	if have >= s.state.Version {
		return answer
	}
	if n := len(s.recent); n > 0 && s.recent[0].Version <= have+1 && s.recent[n-1].Version == s.state.Version {
		answer.Changes = append(answer.Changes, s.recent[have+1-s.recent[0].Version:]...)
		return answer
	}
	answer.Whole = newWholeState(s.state)
	return answer
}

// pull asks another instance for what this one lacks.
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
	var answer pullAnswer
	if err := decodeBody(reply, &answer); err != nil {
		return err
	}
	s.takeWithdrawals(answer.Pending, from)
	if answer.Whole != nil {
		s.advance(answer.Whole.state())
	}
	err = s.push(answer.Changes, from)
	var gap *GapError
	if errors.As(err, &gap) {
		return nil // a newer state arrived in between, or the next pull closes the gap
	}
	return err
}

// pullNext asks the neighbours in turn, one at each call.
func (s *Store) pullNext(ctx context.Context) {
	neighbours := s.neighbours()
	if len(neighbours) == 0 {
		return
	}
	s.pulls++
	name := neighbours[s.pulls%len(neighbours)]
	if err := s.pull(ctx, name); err != nil && ctx.Err() == nil {
		s.options.Logger.Debug("nothing pulled", "peer", name, "error", err)
	}
}
