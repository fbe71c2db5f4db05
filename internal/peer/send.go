package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// Send queues a message for a peer and returns at once. Delivery is not
// confirmed: a message is lost if the connection fails after it was written.
// Use Request where that matters.
func (n *Node) Send(_ context.Context, peer string, m Message) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return ErrClosed
	}
	queue, ok := n.queues[peer]
	if !ok {
		if !n.reachable(peer) {
			return fmt.Errorf("send to %q: %w", peer, ErrUnknownPeer)
		}
		queue = make(chan Message, queueLength)
		n.queues[peer] = queue
		n.running.Go(func() { n.drain(peer, queue) })
	}
	select {
	case queue <- m:
		return nil
	default:
		return fmt.Errorf("send to %q: %w", peer, ErrQueueFull)
	}
}

// reachable reports whether there is a connection to the peer or a known
// address. The caller holds mu.
func (n *Node) reachable(peer string) bool {
	return n.conns[peer] != nil || n.addresses[peer] != ""
}

// outStream is the stream for the messages to one peer.
type outStream struct {
	conn   *quic.Conn
	stream *quic.SendStream
}

// drain sends the queued messages of one peer. It returns when the node closes
// or the queue was empty for idleTimeout.
func (n *Node) drain(peer string, queue chan Message) {
	var out outStream
	defer out.close()
	for {
		select {
		case <-n.ctx.Done():
			return
		case m := <-queue:
			n.sendWithRetry(peer, m, &out)
		case <-time.After(idleTimeout):
			if n.removeIdleQueue(peer, queue) {
				return
			}
		}
	}
}

func (o *outStream) close() {
	if o.stream != nil {
		_ = o.stream.Close()
	}
}

// removeIdleQueue removes the queue if it is empty and reports whether it did.
func (n *Node) removeIdleQueue(peer string, queue chan Message) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(n.queues, peer)
	return true
}

// sendWithRetry writes a message. If that fails, it retries once over a new
// stream or connection.
func (n *Node) sendWithRetry(peer string, m Message, out *outStream) {
	err := n.sendOnce(peer, m, out)
	if err != nil && n.ctx.Err() == nil && !errors.Is(err, ErrUnknownPeer) {
		err = n.sendOnce(peer, m, out)
	}
	if err != nil {
		n.options.Logger.Debug("sending a message failed; it is dropped", "peer", peer, "kind", m.Kind, "error", err)
	}
}

func (n *Node) sendOnce(peer string, m Message, out *outStream) error {
	data, err := encodeWithin(m, MaxMessageBytes)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	conn, err := n.connection(ctx, peer)
	if err != nil {
		return err
	}
	if out.conn != conn {
		out.close()
		*out = outStream{}
		stream, err := conn.OpenUniStreamSync(ctx)
		if err != nil {
			n.removeConn(peer, conn)
			return err
		}
		*out = outStream{conn: conn, stream: stream}
	}
	_ = out.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := out.stream.Write(data); err != nil {
		out.stream.CancelWrite(0)
		*out = outStream{}
		return err
	}
	return nil
}

// Request sends a message and returns the peer's reply. If the first attempt
// fails or has no reply within requestTimeout, it is retried once over a new
// connection, so handlers must be idempotent.
func (n *Node) Request(ctx context.Context, peer string, m Message) (Message, error) {
	reply, err := n.requestOnce(ctx, peer, m)
	if err == nil || ctx.Err() != nil || errors.Is(err, ErrUnknownPeer) {
		return reply, err
	}
	n.Reset(peer)
	return n.requestOnce(ctx, peer, m)
}

func (n *Node) requestOnce(ctx context.Context, peer string, m Message) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := n.connection(ctx, peer)
	if err != nil {
		return Message{}, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return Message{}, fmt.Errorf("request to %q: %w", peer, err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	reply, err := exchange(stream, m)
	if err != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		return Message{}, fmt.Errorf("request to %q: %w", peer, err)
	}
	return reply, nil
}

func exchange(stream *quic.Stream, m Message) (Message, error) {
	if err := write(stream, m, MaxMessageBytes); err != nil {
		return Message{}, err
	}
	return read(stream, MaxReplyBytes)
}

// connection returns the open connection to a peer, or dials a new one.
func (n *Node) connection(ctx context.Context, peer string) (*quic.Conn, error) {
	n.mu.Lock()
	conn, address, closed := n.conns[peer], n.addresses[peer], n.closed
	n.mu.Unlock()
	switch {
	case closed:
		return nil, ErrClosed
	case conn != nil && conn.Context().Err() == nil:
		return conn, nil
	case address == "":
		return nil, fmt.Errorf("connect to %q: %w", peer, ErrUnknownPeer)
	}
	return n.dial(ctx, peer, address)
}

func (n *Node) dial(ctx context.Context, peer, address string) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("address %q of peer %q: %w", address, peer, err)
	}
	conn, err := n.transport.Dial(ctx, to, n.tls, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("connect to %q: %w", peer, err)
	}
	name, err := n.authenticatedName(conn)
	if err == nil && name != peer {
		err = fmt.Errorf("instance at %s has name %q, want %q", address, name, peer)
	}
	if err != nil {
		_ = conn.CloseWithError(codeWrongName, "wrong instance")
		return nil, err
	}
	n.addConn(peer, conn)
	return conn, nil
}
