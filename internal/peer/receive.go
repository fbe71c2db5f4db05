package peer

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// accept takes connections until the node is closed.
func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		name, err := n.nameOf(conn)
		if err != nil {
			_ = conn.CloseWithError(codeUnnamed, "no instance name")
			continue
		}
		n.adopt(name, conn)
	}
}

// nameOf returns the name that the handshake authenticated.
func (n *Node) nameOf(conn *quic.Conn) (string, error) {
	return n.options.Identity.verify(conn.ConnectionState().TLS.PeerCertificates, time.Now())
}

// adopt makes a connection the one in use for the peer and serves its streams.
// An older connection stays readable until it falls silent.
func (n *Node) adopt(name string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.CloseWithError(codeReset, "instance stops")
		return
	}
	before := n.conns[name]
	n.conns[name] = conn
	n.open[conn] = struct{}{}
	if before == nil {
		n.options.Recorder.Record(timeline.Event{Kind: timeline.PeerUp, Peer: name})
	}
	n.running.Go(func() { n.serveMessages(name, conn) })
	n.running.Go(func() { n.serveRequests(name, conn) })
}

// forget removes a connection that has ended.
func (n *Node) forget(name string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.open[conn]; ok && conn.Context().Err() != nil {
		delete(n.open, conn)
		n.ended.add(conn.ConnectionStats())
	}
	if n.conns[name] != conn {
		return
	}
	delete(n.conns, name)
	n.options.Recorder.Record(timeline.Event{Kind: timeline.PeerDown, Peer: name})
}

func (n *Node) serveMessages(name string, conn *quic.Conn) {
	defer n.forget(name, conn)
	for {
		stream, err := conn.AcceptUniStream(n.ctx)
		if err != nil {
			return
		}
		n.running.Go(func() { n.takeMessages(name, stream) })
	}
}

// takeMessages hands the messages of one stream to their handlers, in order.
func (n *Node) takeMessages(name string, stream *quic.ReceiveStream) {
	messages := newReader(stream, MaxMessageBytes)
	for {
		m, err := messages.next()
		if err != nil {
			stream.CancelRead(0)
			if !errors.Is(err, io.EOF) {
				n.options.Logger.Debug("stream of messages ended", "peer", name, "error", err)
			}
			return
		}
		if h := n.handlers.message(m.Kind); h != nil {
			h(name, m)
		}
	}
}

func (n *Node) serveRequests(name string, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		n.running.Go(func() { n.takeRequest(name, stream) })
	}
}

func (n *Node) takeRequest(name string, stream *quic.Stream) {
	_ = stream.SetDeadline(time.Now().Add(writeTimeout))
	if err := n.answer(name, stream); err != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		n.options.Logger.Debug("request not answered", "peer", name, "error", err)
	}
}

func (n *Node) answer(name string, stream *quic.Stream) error {
	m, err := read(stream, MaxMessageBytes)
	if err != nil {
		return err
	}
	h := n.handlers.request(m.Kind)
	if h == nil {
		return fmt.Errorf("no handler for requests of kind %d", m.Kind)
	}
	reply, err := h(name, m)
	if err != nil {
		return err
	}
	return write(stream, reply, MaxReplyBytes)
}

// read takes one message up to the end of the stream.
func read(r io.Reader, limit int64) (Message, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return Message{}, err
	}
	if int64(len(data)) > limit {
		return Message{}, fmt.Errorf("message exceeds %d bytes", limit)
	}
	return Decode(data)
}

// write sends one message and ends the stream.
func write(w io.WriteCloser, m Message, limit int) error {
	data, err := encodeWithin(m, limit)
	if err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return w.Close()
}

// encodeWithin returns the envelope of a message that keeps to the limit.
func encodeWithin(m Message, limit int) ([]byte, error) {
	data, err := Encode(m)
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, fmt.Errorf("message of kind %d has %d bytes, more than %d", m.Kind, len(data), limit)
	}
	return data, nil
}
