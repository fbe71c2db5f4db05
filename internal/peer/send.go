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
// confirmed: a message is lost when the connection dies under it. Use Request
// where that matters.
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

// reachable reports whether a connection or an address is known. The caller
// holds the lock.
func (n *Node) reachable(peer string) bool {
	return n.conns[peer] != nil || n.addresses[peer] != ""
}

// outgoing is the stream that carries the messages to one peer.
type outgoing struct {
	conn   *quic.Conn
	stream *quic.SendStream
}

// drain sends the queued messages of one peer. It ends when the node closes or
// the queue was empty for a while.
func (n *Node) drain(peer string, queue chan Message) {
	var out outgoing
	defer out.close()
	for {
		select {
		case <-n.ctx.Done():
			return
		case m := <-queue:
			n.deliver(peer, m, &out)
		case <-time.After(idleTimeout):
			if n.retire(peer, queue) {
				return
			}
		}
	}
}

func (o *outgoing) close() {
	if o.stream != nil {
		_ = o.stream.Close()
	}
}

// retire removes an empty queue.
func (n *Node) retire(peer string, queue chan Message) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(n.queues, peer)
	return true
}

// deliver writes a message, once more over a fresh stream or connection if the
// first one is dead.
func (n *Node) deliver(peer string, m Message, out *outgoing) {
	err := n.deliverOnce(peer, m, out)
	if err != nil && n.ctx.Err() == nil && !errors.Is(err, ErrUnknownPeer) {
		err = n.deliverOnce(peer, m, out)
	}
	if err != nil {
		n.options.Logger.Debug("message not sent", "peer", peer, "kind", m.Kind, "error", err)
	}
}

func (n *Node) deliverOnce(peer string, m Message, out *outgoing) error {
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
		*out = outgoing{}
		stream, err := conn.OpenUniStreamSync(ctx)
		if err != nil {
			n.forget(peer, conn)
			return err
		}
		*out = outgoing{conn: conn, stream: stream}
	}
	_ = out.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := out.stream.Write(data); err != nil {
		out.stream.CancelWrite(0)
		*out = outgoing{}
		return err
	}
	return nil
}

// Request sends a message and returns the peer's answer. When no answer comes
// within a second it is sent once more over a fresh connection, so handlers
// must be idempotent.
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

// connection returns the open connection to a peer or dials one.
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
	name, err := n.nameOf(conn)
	if err == nil && name != peer {
		err = fmt.Errorf("instance at %s is %q, not %q", address, name, peer)
	}
	if err != nil {
		_ = conn.CloseWithError(codeUnnamed, "wrong instance")
		return nil, err
	}
	n.adopt(peer, conn)
	return conn, nil
}
