package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	dialTimeout    = 2 * time.Second
	writeTimeout   = 2 * time.Second
	requestTimeout = time.Second
	idleTimeout    = 5 * time.Second // closes a connection without packets
	queueLength    = 256             // messages queued for one peer
	maxStreams     = 128             // open streams per peer
)

// ErrUnknownPeer reports that no address of the peer is known.
var ErrUnknownPeer = errors.New("no address of the peer is known")

// ErrQueueFull reports that the queue for a peer has no room.
var ErrQueueFull = errors.New("queue for the peer is full")

// ErrClosed reports that the node was closed.
var ErrClosed = errors.New("peer node is closed")

// Options configure a Node.
type Options struct {
	// Instance is the name of this instance, as in its certificate. Required.
	Instance string
	// Listen is the IP address and UDP port of the listener. Port 0 selects a
	// free port. Required.
	Listen string
	// Identity authenticates this instance and its peers. Required.
	Identity Identity
	// Recorder receives events. If nil, timeline.Discard is used.
	Recorder timeline.Recorder
	// Logger receives log lines. If nil, nothing is logged.
	Logger hclog.Logger
}

// Node exchanges messages with the other instances. It is safe for concurrent
// use.
type Node struct {
	options   Options
	tls       *tls.Config
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup

	handlers     handlers
	mu           sync.Mutex
	closed       bool
	addresses    map[string]string // by peer
	conns        map[string]*quic.Conn
	queues       map[string]chan Message
	open         map[*quic.Conn]struct{} // all connections, including replaced ones
	endedTraffic Traffic                 // of closed connections
}

// New opens the listener and starts accepting connections.
func New(o Options) (*Node, error) {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	address, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer listener address %q: %w", o.Listen, err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("open peer listener: %w", err)
	}
	n := &Node{
		options:   o,
		tls:       o.Identity.config(time.Now),
		transport: &quic.Transport{Conn: socket},
		addresses: make(map[string]string),
		conns:     make(map[string]*quic.Conn),
		queues:    make(map[string]chan Message),
		open:      make(map[*quic.Conn]struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.listener, err = n.transport.Listen(n.tls, quicConfig())
	if err != nil {
		n.cancel()
		return nil, errors.Join(fmt.Errorf("start peer listener: %w", err), socket.Close())
	}
	n.running.Go(n.accept)
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: maxStreams,
	}
}

// Addr returns the address of the listener.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Close closes all connections and waits for the node's goroutines.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	err := errors.Join(n.listener.Close(), n.transport.Close(), n.transport.Conn.Close())
	n.running.Wait()
	return err
}

// SetPeers replaces the known addresses. Connections to instances that are no
// longer listed close after idleTimeout.
func (n *Node) SetPeers(instances []platform.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.addresses)
	for _, i := range instances {
		if i.Name != n.options.Instance {
			n.addresses[i.Name] = i.Peer
		}
	}
}

// Connected returns the names of the peers with an open connection, sorted.
func (n *Node) Connected() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name, conn := range n.conns {
		if conn.Context().Err() == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Reset closes the connection to a peer, so that the next message uses a new
// one. It is for connections that no longer respond.
func (n *Node) Reset(name string) {
	n.mu.Lock()
	conn := n.conns[name]
	delete(n.conns, name)
	n.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(codeReset, "no answer in time")
	}
}

// Application error codes of closed connections.
const (
	codeReset     quic.ApplicationErrorCode = 1
	codeWrongName quic.ApplicationErrorCode = 2
)
