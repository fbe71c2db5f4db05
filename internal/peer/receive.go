package peer

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// accept accepts connections until the node is closed.
func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		name, err := n.authenticatedName(conn)
		if err != nil {
			_ = conn.CloseWithError(codeWrongName, "no instance name")
			continue
		}
		n.addConn(name, conn)
	}
}

// authenticatedName returns the peer's name from its verified certificate.
func (n *Node) authenticatedName(conn *quic.Conn) (string, error) {
	return n.options.Identity.verify(conn.ConnectionState().TLS.PeerCertificates, time.Now())
}

// addConn makes a connection the current one of the peer and serves its
// streams. An older connection is still read until it times out.
func (n *Node) addConn(name string, conn *quic.Conn) {
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

// removeConn stops using a connection for its peer. If the connection is
// closed, its counts are added to endedTraffic.
func (n *Node) removeConn(name string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.open[conn]; ok && conn.Context().Err() != nil {
		delete(n.open, conn)
		n.endedTraffic.add(conn.ConnectionStats())
	}
	if n.conns[name] != conn {
		return
	}
	delete(n.conns, name)
	n.options.Recorder.Record(timeline.Event{Kind: timeline.PeerDown, Peer: name})
}

func (n *Node) serveMessages(name string, conn *quic.Conn) {
	defer n.removeConn(name, conn)
	for {
		stream, err := conn.AcceptUniStream(n.ctx)
		if err != nil {
			return
		}
		n.running.Go(func() { n.handleMessages(name, stream) })
	}
}

// handleMessages calls the handlers for the messages of one stream, in order.
func (n *Node) handleMessages(name string, stream *quic.ReceiveStream) {
	messages := newReader(stream, MaxMessageBytes)
	for {
		m, err := messages.next()
		if err != nil {
			stream.CancelRead(0)
			if !errors.Is(err, io.EOF) {
				n.options.Logger.Debug("reading a message stream failed; the stream is closed", "peer", name, "error", err)
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
		n.running.Go(func() { n.handleRequest(name, stream) })
	}
}

func (n *Node) handleRequest(name string, stream *quic.Stream) {
	_ = stream.SetDeadline(time.Now().Add(writeTimeout))
	if err := n.serveRequest(name, stream); err != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		n.options.Logger.Debug("handling a request failed; the stream is closed", "peer", name, "error", err)
	}
}

func (n *Node) serveRequest(name string, stream *quic.Stream) error {
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

// read reads one message up to the end of the stream.
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

// write writes one message and closes the stream.
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

// encodeWithin encodes a message. It returns an error if the envelope exceeds
// the limit in bytes.
func encodeWithin(m Message, limit int) ([]byte, error) {
	data, err := Encode(m)
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, fmt.Errorf("message of kind %d has %d bytes, limit is %d", m.Kind, len(data), limit)
	}
	return data, nil
}
