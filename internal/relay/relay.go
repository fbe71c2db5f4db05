// Package relay broadcasts small notices to all instances by flooding them over
// the neighbours of a regular graph. Delivery is best effort: a notice may be
// lost, and handlers must be idempotent.
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

// Network carries messages to other instances; *peer.Node implements it.
type Network interface {
	Send(ctx context.Context, name string, m peer.Message) error
	Handle(kind peer.Kind, h peer.Handler)
}

// Options configure a Relay. Every field is required.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// Network carries the notices.
	Network Network
	// View returns the members that the graph is built from.
	View func() spread.View
	// Logger takes log lines.
	Logger hclog.Logger
}

// idBytes is the length of a notice's random id.
const idBytes = 12

// notice is a body on its way through the graph.
type notice struct {
	ID   []byte `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// Relay broadcasts notices. It is safe for concurrent use.
type Relay struct {
	o     Options
	flood spread.Flood

	mu   sync.Mutex
	seen *recent
}

// New returns a relay without handlers.
func New(o Options) *Relay {
	return &Relay{o: o, seen: newRecent(recentIDs)}
}

// Handle registers the handler of a kind. It is called once per notice that
// arrives, in no order, and not for notices that this instance publishes.
func (r *Relay) Handle(kind peer.Kind, handle func(body []byte)) {
	r.o.Network.Handle(kind, func(from string, m peer.Message) { r.receive(kind, from, m, handle) })
}

// Publish sends a notice to all instances.
func (r *Relay) Publish(kind peer.Kind, body []byte) error {
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		return fmt.Errorf("make a notice id: %w", err)
	}
	data, err := cbor.Marshal(notice{ID: id, Body: body})
	if err != nil {
		return fmt.Errorf("encode a notice of kind %d: %w", kind, err)
	}
	r.first(id)
	r.pass(peer.Message{Kind: kind, Body: data}, "")
	return nil
}

func (r *Relay) receive(kind peer.Kind, from string, m peer.Message, handle func([]byte)) {
	var n notice
	if err := cbor.Unmarshal(m.Body, &n); err != nil || len(n.ID) != idBytes {
		r.o.Logger.Debug("notice not understood", "kind", kind, "from", from, "error", err)
		return
	}
	if !r.first(n.ID) {
		return
	}
	r.pass(m, from)
	handle(n.Body)
}

// first reports whether the id was not seen before.
func (r *Relay) first(id []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen.add([idBytes]byte(id))
}

// pass hands a notice to the neighbours but the one it came from.
func (r *Relay) pass(m peer.Message, from string) {
	targets := r.flood.Targets(r.o.View(), r.o.Instance, spread.Receipt{From: from}, nil)
	for _, name := range targets {
		if err := r.o.Network.Send(context.Background(), name, m); err != nil {
			r.o.Logger.Debug("notice not passed on", "kind", m.Kind, "to", name, "error", err)
		}
	}
}
