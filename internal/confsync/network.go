package confsync

import (
	"context"
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/spread"
)

// Network sends messages to other instances. *peer.Node implements it.
type Network interface {
	Send(ctx context.Context, name string, m peer.Message) error
	Request(ctx context.Context, name string, m peer.Message) (peer.Message, error)
	Handle(kind peer.Kind, h peer.Handler)
	HandleRequest(kind peer.Kind, h peer.RequestHandler)
}

// Members provides the membership. *member.Service implements it.
type Members interface {
	// View returns the live instances, including this one.
	View() spread.View
	// Roster returns the names that count for a quorum, live or not.
	Roster() []string
	// Changed returns a channel that is closed when either changes.
	Changed() <-chan struct{}
}

// standalone reports whether there are no other instances.
func (s *Store) standalone() bool { return s.options.Network == nil || s.options.Members == nil }

// neighbours returns the instances that messages are forwarded to.
func (s *Store) neighbours() []string {
	if s.standalone() {
		return nil
	}
	return spread.Graph{}.Neighbours(s.options.Members.View(), s.options.Instance)
}

// broadcast sends a message to all neighbours except one.
func (s *Store) broadcast(kind peer.Kind, body any, but string) {
	m, err := newMessage(kind, body)
	if err != nil {
		s.options.Logger.Error("encoding a message for the neighbours failed; it is dropped", "error", err)
		return
	}
	for _, name := range s.neighbours() {
		if name != but {
			s.send(name, m)
		}
	}
}

func (s *Store) send(name string, m peer.Message) {
	if err := s.options.Network.Send(context.Background(), name, m); err != nil {
		s.options.Logger.Debug("queueing a message for a peer failed; it is dropped", "peer", name, "kind", m.Kind, "error", err)
	}
}

func newMessage(kind peer.Kind, body any) (peer.Message, error) {
	data, err := encoding.Marshal(body)
	if err != nil {
		return peer.Message{}, fmt.Errorf("encode message of kind %d: %w", kind, err)
	}
	return peer.Message{Kind: kind, Body: data}, nil
}

func decodeBody(m peer.Message, v any) error {
	if err := decoding.Unmarshal(m.Body, v); err != nil {
		return fmt.Errorf("decode message of kind %d: %w", m.Kind, err)
	}
	return nil
}
