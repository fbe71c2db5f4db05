package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/guardconn"
)

// uploadBytes is more than the buffers of a connection hold, so that a request's body is still
// being written when its answer arrives.
const uploadBytes = 16 << 20

// addResettingServer adds a backend server that answers each request before it has read the
// body, and resets the connection after the text.
func (s *testStack) addResettingServer(id, text string) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	serve := func(c *net.TCPConn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if r.URL.Path == testIdentityPath {
			_, _ = io.WriteString(c, identityAnswer(id, testStarted))
			return
		}
		_, _ = io.WriteString(c, text)
		_ = c.SetLinger(0)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	s.addAddress(id, l.Addr().String())
}

// resetTakenByWrite is a connection on which the write of a request gets the error of a reset
// before a read does, and returns after that read.
type resetTakenByWrite struct {
	*net.TCPConn
	left  int           // bytes of the answer that have not been read
	taken chan struct{} // closed when a write has got the error
	ended chan struct{} // closed when the read after it has returned
}

func (c *resetTakenByWrite) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.taken)
		<-c.ended
	}
	return n, err
}

func (c *resetTakenByWrite) Read(p []byte) (int, error) {
	if c.left > 0 {
		n, err := c.TCPConn.Read(p)
		c.left -= n
		return n, err
	}
	<-c.taken
	defer close(c.ended)
	return c.TCPConn.Read(p)
}

// hideResets makes the first connection to each server one on which a write takes the error of
// the reset that follows an answer of the given length.
func (s *testStack) hideResets(transport *http.Transport, answerBytes int) {
	var mu sync.Mutex
	dialed := map[string]bool{}
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		if !dialed[address] {
			dialed[address] = true
			guarded := c.(*guardconn.Conn)
			guarded.Conn = &resetTakenByWrite{
				TCPConn: guarded.Conn.(*net.TCPConn), left: answerBytes,
				taken: make(chan struct{}), ended: make(chan struct{}),
			}
		}
		return c, nil
	}
}

// TestAnswerResetDuringUploadIsNotWhole guards against a part of an answer without a length
// that reaches the caller as complete: its server reset the connection while the request's body
// was being written, and the write got the error that would have told the reader.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: a\r\n%s: 0\r\n", testAttempt, testSigned)
	plain := head + "\r\npart of an answer"
	stream := head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for path, text := range map[string]string{"/once/x": plain, "/safe/x": plain, "/stream/x": stream, "/plain-stream/x": stream} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.addResettingServer("0", text)
			s.addResettingServer("1", text)
			s.hideResets(s.gateway.transports.fresh.Transport, len(text))
			s.hideResets(s.gateway.transports.pooled.Transport, len(text))
			got := s.call(http.MethodPost, path, strings.Repeat("x", uploadBytes), testLeft, "4000")
			is.True(got.truncated || got.status == http.StatusBadGateway)
			is.True(!strings.Contains(got.body, "part of an answer"))
		})
	}
}
