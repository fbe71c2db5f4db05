// Package peertest provides an in-memory network of instances for tests.
package peertest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// PacketBytes is the overhead of UDP, IP and QUIC per message, including a
// separate acknowledgement (see BenchmarkMessageBytes in package peer).
const PacketBytes = 115

var errNoHandler = errors.New("no handler for the request")

// Network connects nodes. It is safe for concurrent use.
type Network struct {
	// Delay is the one-way latency of a message. Set it before the first
	// message.
	Delay time.Duration

	mu    sync.Mutex
	nodes map[string]*Node
}

// New returns a network without nodes.
func New(delay time.Duration) *Network {
	return &Network{Delay: delay, nodes: make(map[string]*Node)}
}

// Node is the network interface of one instance.
type Node struct {
	network *Network
	name    string

	mu       sync.Mutex
	group    int
	off      bool
	messages map[peer.Kind]peer.Handler
	requests map[peer.Kind]peer.RequestHandler
	sent     int
	bytes    int
}

// Node returns a new node with the name. An older one of the same name
// receives no more messages.
func (n *Network) Node(name string) *Node {
	node := &Node{
		network: n, name: name,
		messages: make(map[peer.Kind]peer.Handler),
		requests: make(map[peer.Kind]peer.RequestHandler),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[name] = node
	return node
}

// SetIsolated cuts the node off from all others, or reconnects it.
func (n *Node) SetIsolated(off bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.off = off
}

// SetGroup assigns the node to a partition. Nodes in different groups cannot
// reach each other.
func (n *Node) SetGroup(group int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = group
}

// Counts returns the messages and bytes that the node has sent, including
// replies.
func (n *Node) Counts() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent, n.bytes
}

// Handle registers the handler for a kind of message.
func (n *Node) Handle(kind peer.Kind, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages[kind] = h
}

// HandleRequest registers the handler for a kind of request.
func (n *Node) HandleRequest(kind peer.Kind, h peer.RequestHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests[kind] = h
}

// SetPeers does nothing: every node reaches all others by name.
func (n *Node) SetPeers([]platform.Instance) {}

// Send delivers a message after the delay if the receiver is reachable then.
func (n *Node) Send(_ context.Context, name string, m peer.Message) error {
	n.count(m)
	go func() {
		time.Sleep(n.network.Delay)
		if to := n.reachable(name); to != nil {
			if h := to.handler(m.Kind); h != nil {
				h(n.name, m)
			}
		}
	}()
	return nil
}

// Request delivers a request and returns the reply. If the peer is
// unreachable, it blocks until ctx is done.
func (n *Node) Request(ctx context.Context, name string, m peer.Message) (peer.Message, error) {
	n.count(m)
	time.Sleep(n.network.Delay)
	to := n.reachable(name)
	if to == nil {
		<-ctx.Done()
		return peer.Message{}, ctx.Err()
	}
	h := to.requestHandler(m.Kind)
	if h == nil {
		return peer.Message{}, errNoHandler
	}
	reply, err := h(n.name, m)
	if err != nil {
		return peer.Message{}, err
	}
	to.count(reply)
	time.Sleep(n.network.Delay)
	if n.reachable(name) == nil {
		<-ctx.Done()
		return peer.Message{}, ctx.Err()
	}
	return reply, nil
}

func (n *Node) count(m peer.Message) {
	data, err := peer.Encode(m)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	n.bytes += len(data) + PacketBytes
}

// reachable returns the named node, or nil if it is cut off from n.
func (n *Node) reachable(name string) *Node {
	n.network.mu.Lock()
	to := n.network.nodes[name]
	n.network.mu.Unlock()
	if to == nil {
		return nil
	}
	ownGroup, ownOff := n.linkState()
	group, off := to.linkState()
	if ownOff || off || ownGroup != group {
		return nil
	}
	return to
}

func (n *Node) linkState() (group int, off bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group, n.off
}

func (n *Node) handler(kind peer.Kind) peer.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages[kind]
}

func (n *Node) requestHandler(kind peer.Kind) peer.RequestHandler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests[kind]
}
