// Package relay broadcasts small notices to all instances by flooding: each
// instance forwards a notice to its neighbours in a regular graph. Delivery is
// best effort: a notice may be lost or arrive more than once, and handlers must
// be idempotent.
package relay

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/spread"
)

// Network sends messages to other instances. *peer.Node implements it.
type Network interface {
	Send(ctx context.Context, name string, m peer.Message) error
	Handle(kind peer.Kind, h peer.Handler)
}

// Options configure a Relay. Every field is required.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// Network sends and receives the notices.
	Network Network
	// View returns the members that form the graph.
	View func() spread.View
	// Logger receives debug messages about notices that were dropped.
	Logger hclog.Logger
}

// idBytes is the length of a notice's random id in bytes.
const idBytes = 12

// notice is the body of a message: a random id, by which duplicates are
// detected, and the published body.
type notice struct {
	ID   []byte `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// Relay broadcasts notices. It is safe for concurrent use.
type Relay struct {
	options Options
	flood   spread.Flood

	mu   sync.Mutex
	seen *idSet
}

// New returns a relay without handlers.
func New(o Options) *Relay {
	return &Relay{options: o, seen: newIDSet(maxRecentIDs)}
}

// Handle registers the handler of a kind. It is called once for each id among
// the most recent ones, in no particular order, and not for notices that this
// instance publishes.
func (r *Relay) Handle(kind peer.Kind, handle func(body []byte)) {
	r.options.Network.Handle(kind, func(from string, m peer.Message) { r.receive(kind, from, m, handle) })
}

// Publish sends a notice to all instances. An error means that the notice was
// not sent at all; failed sends to single neighbours are only logged.
func (r *Relay) Publish(kind peer.Kind, body []byte) error {
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		return fmt.Errorf("generate notice id: %w", err)
	}
	data, err := cbor.Marshal(notice{ID: id, Body: body})
	if err != nil {
		return fmt.Errorf("encode notice of kind %d: %w", kind, err)
	}
	r.markSeen(id)
	r.forward(peer.Message{Kind: kind, Body: data}, "")
	return nil
}

func (r *Relay) receive(kind peer.Kind, from string, m peer.Message, handle func([]byte)) {
	var n notice
	if err := cbor.Unmarshal(m.Body, &n); err != nil || len(n.ID) != idBytes {
		r.options.Logger.Debug("malformed notice dropped", "kind", kind, "from", from, "error", err)
		return
	}
	if !r.markSeen(n.ID) {
		return
	}
	r.forward(m, from)
	handle(n.Body)
}

// markSeen records the id and reports whether it is new.
func (r *Relay) markSeen(id []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen.add([idBytes]byte(id))
}

// forward sends a notice to the neighbours, except the one it was received
// from.
func (r *Relay) forward(m peer.Message, from string) {
	targets := r.flood.Targets(r.options.View(), r.options.Instance, spread.Receipt{From: from}, nil)
	for _, name := range targets {
		if err := r.options.Network.Send(context.Background(), name, m); err != nil {
			r.options.Logger.Debug("notice not forwarded", "kind", m.Kind, "to", name, "error", err)
		}
	}
}
