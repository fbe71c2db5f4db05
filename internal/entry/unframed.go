package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
)

const (
	lingerReset   = 0  // closing the connection discards unsent bytes and sends a reset
	lingerDefault = -1 // closing the connection delivers unsent bytes and sends an end
)

// tcpConnKey is the context key of a caller's *net.TCPConn.
type tcpConnKey struct{}

// withTCPConn is the hook for http.Server.ConnContext.
func withTCPConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, tcpConnKey{}, tcpConn(c))
}

// tcpConn returns the TCP connection beneath c, or nil if there is none.
func tcpConn(c net.Conn) *net.TCPConn {
	for {
		switch outer := c.(type) {
		case *net.TCPConn:
			return outer
		case interface{ NetConn() net.Conn }:
			c = outer.NetConn()
		default:
			return nil
		}
	}
}

// unframedAnswers are the answers under way to callers that know no chunks. The end of
// such an answer is the end of its connection, so that the caller cannot tell a part
// from the whole: until the answer is complete, every way in which the connection can
// end, that of the process included, sends a reset. It is safe for concurrent use.
type unframedAnswers struct {
	conns sync.Map // of *net.TCPConn
}

// resetUnlessComplete wraps a handler. Answers to HTTP/1.1 and HTTP/2 are left alone,
// since their framing marks their end.
func (u *unframedAnswers) resetUnlessComplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(tcpConnKey{}).(*net.TCPConn)
		if !ok || c == nil || r.ProtoAtLeast(1, 1) || r.Method == http.MethodHead {
			next.ServeHTTP(w, r)
			return
		}
		u.conns.Store(c, nil)
		defer u.conns.Delete(c)
		u.serve(c, next, w, r)
	})
}

// serve serves one answer. The connection is closed directly if the handler panics,
// because TLS would announce a regular end before the reset.
func (u *unframedAnswers) serve(c *net.TCPConn, next http.Handler, w http.ResponseWriter, r *http.Request) {
	complete := false
	defer func() {
		if !complete {
			_ = c.Close()
		}
	}()
	_ = c.SetLinger(lingerReset)
	next.ServeHTTP(w, r)
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	_ = c.SetLinger(lingerDefault)
	complete = true
}

// reset resets the connections of all answers under way.
func (u *unframedAnswers) reset() {
	u.conns.Range(func(c, _ any) bool {
		_ = c.(*net.TCPConn).Close()
		return true
	})
}
