package clientconn

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// serverLimitFactor is Server.MaxHeaderBytes as a multiple of Options.MaxHeaderBytes.
	// Over HTTP/2, net/http adds 32 bytes for each field to its count, so that with a factor
	// of 1 it refuses heads within the limit.
	serverLimitFactor = 2
	// readSlack is what net/http reads of a head beyond Server.MaxHeaderBytes.
	readSlack = 4096
	// requestCost is the cost of a request besides its head: the connection to its backend
	// server with its buffers, goroutines, log fields.
	requestCost = 32 << 10
	// headCopies is the number of copies of a head: the caller's, the one sent on, and what its
	// forwarding allocates; with two, 500 heads of many lines held 21 MB of a bound of 24.
	headCopies = 3
	// drainTimeout bounds the time in which net/http reads the rest of a body after the
	// handler has returned.
	drainTimeout = time.Second
	// retryAfterMin and retryAfterMax are the seconds after which a refused client may
	// return. They are spread so that clients do not return together.
	retryAfterMin = 1
	retryAfterMax = 3
)

// HTTP/2 limits of a connection. The number of streams is the least that RFC 9113 recommends,
// and the table size and frame size are the protocol's defaults, so that no client is
// restricted by them.
const (
	http2Streams         = 100
	http2TableBytes      = 4096
	http2FrameBytes      = 16 << 10
	http2ConnectionBytes = 256 << 10
	http2StreamBytes     = 64 << 10
)

type connKey struct{}

func contextWith(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, from(c))
	}
}

// handler holds the cost of each complete head while it is served. Without room for it the
// request is refused and not run.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*Conn); c != nil {
			if !c.beginRequest() {
				panic(http.ErrAbortHandler) // the connection is closed
			}
			defer c.endRequest()
			if r.ProtoMajor == 2 && !c.upgrade() {
				g.refuse(w, r)
				return
			}
		}
		if g.options.DrainBodies {
			defer boundDrain(w, r)
		}
		if lines(r.Header) > g.options.MaxHeaderLines {
			g.counters.headLines.Add(1)
			boundDrain(w, r)
			w.Header().Set("Connection", "close")
			http.Error(w, "431 Request Header Fields Too Large: too many lines", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if headBytes(r) > g.options.MaxHeaderBytes+readSlack {
			boundDrain(w, r)
			w.Header().Set("Connection", "close")
			http.Error(w, "431 Request Header Fields Too Large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		hold := g.options.Budget.HoldHead(headShare)
		defer hold.Release()
		if !hold.Grow(requestCost + headCopies*parsedCost(r)) {
			g.refuse(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// boundDrain bounds the time in which net/http reads the rest of the body. It is used for each
// refusal, since the handler that otherwise bounds it does not run.
func boundDrain(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
	}
}

// refuse answers a request that does not run.
func (g *Guard) refuse(w http.ResponseWriter, r *http.Request) {
	boundDrain(w, r)
	g.counters.refused.Add(1)
	g.log()
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterMin+rand.IntN(retryAfterMax-retryAfterMin+1)))
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, "the request was not run: this instance holds too many requests\n")
}

func lines(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// headBytes returns the size of a head in HTTP/1.1 form, approximately.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// parsedCost returns the estimated memory of a parsed head.
func parsedCost(r *http.Request) int64 {
	n := int64(len(r.RequestURI)+len(r.Host)) * byteCost
	for name, values := range r.Header {
		n += int64(len(name))
		for _, value := range values {
			n += int64(len(value)) + lineCost
		}
	}
	return n
}
