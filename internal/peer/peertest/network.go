// Package peertest is a network of instances in memory, for tests.
package peertest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// PacketBytes is what UDP, IP and QUIC add to a message, with an acknowledgement
// of its own (BenchmarkMessageBytes of package peer).
const PacketBytes = 115

var errLost = errors.New("message lost")

// Network joins nodes. All methods are safe for concurrent use.
type Network struct {
	// Delay is how long a message takes. Set it before the first message.
	Delay time.Duration

	mu    sync.Mutex
	nodes map[string]*Node
}

// New returns a network without nodes.
func New(delay time.Duration) *Network {
	return &Network{Delay: delay, nodes: make(map[string]*Node)}
}

// Node is the end of the network at one instance.
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

// Node returns a fresh node of the name; an older one gets no more messages.
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

// SetOff cuts the node from everyone.
func (n *Node) SetOff(off bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.off = off
}

// SetGroup puts the node in a group; nodes of different groups are cut off
// from each other.
func (n *Node) SetGroup(group int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = group
}

// Counts returns how many messages and bytes the node has sent, replies included.
func (n *Node) Counts() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent, n.bytes
}

// Handle registers the handler of a kind of messages.
func (n *Node) Handle(kind peer.Kind, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages[kind] = h
}

// HandleRequest registers the handler of a kind of requests.
func (n *Node) HandleRequest(kind peer.Kind, h peer.RequestHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests[kind] = h
}

// SetPeers does nothing: every node knows all others.
func (n *Node) SetPeers([]platform.Instance) {}

// Send delivers a message after the delay unless the nodes are cut off.
func (n *Node) Send(_ context.Context, name string, m peer.Message) error {
	n.count(m)
	go func() {
		time.Sleep(n.network.Delay)
		if to := n.reach(name); to != nil {
			if h := to.handler(m.Kind); h != nil {
				h(n.name, m)
			}
		}
	}()
	return nil
}

// Request delivers a request and its answer. Without a connection it waits for
// ctx to end.
func (n *Node) Request(ctx context.Context, name string, m peer.Message) (peer.Message, error) {
	n.count(m)
	time.Sleep(n.network.Delay)
	to := n.reach(name)
	if to == nil {
		<-ctx.Done()
		return peer.Message{}, ctx.Err()
	}
	h := to.requestHandler(m.Kind)
	if h == nil {
		return peer.Message{}, errLost
	}
	reply, err := h(n.name, m)
	if err != nil {
		return peer.Message{}, err
	}
	to.count(reply)
	time.Sleep(n.network.Delay)
	if n.reach(name) == nil {
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

// reach returns the named node, nil when it is cut off from n.
func (n *Node) reach(name string) *Node {
	n.network.mu.Lock()
	to := n.network.nodes[name]
	n.network.mu.Unlock()
	if to == nil {
		return nil
	}
	ownGroup, ownOff := n.place()
	group, off := to.place()
	if ownOff || off || ownGroup != group {
		return nil
	}
	return to
}

func (n *Node) place() (group int, off bool) {
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
