package clientconn

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
)

// Estimated costs in bytes of memory, each rounded up from what net/http allocates.
const (
	connectionCost = 24 << 10  // goroutine, read and write buffer
	tlsCost        = 64 << 10  // state, record buffers, the handshake and lines in its bytes
	http2Cost      = 192 << 10 // frame buffers, header tables, header lists, goroutines of streams
	byteCost       = 2         // the buffer and the parsed copy
	lineCost       = 128       // map entry, slice and key
	// minLineBytes is the shortest header line, "a:" with its end. Of encrypted bytes, lines
	// cannot be counted; they are taken to have this length.
	minLineBytes = 4
	// handshakeBytes are the first bytes of an encrypted connection, which are not taken for
	// lines: otherwise a client in its handshake costs more than those that never begin one,
	// and is closed before them.
	handshakeBytes = 2048
	// spareLines are the request line and the empty line of a head, which are no header
	// lines, and one empty line before it.
	spareLines = 3
)

// answerTimeout bounds the write of a refusal.
const answerTimeout = time.Second

const tooManyLines = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Connection: close\r\n\r\n431 Request Header Fields Too Large: too many lines"

// errClosed reports that the guard closed the connection.
var errClosed = errors.New("connection closed: it held too much without a complete request")

// http2Preface is the start of an unencrypted HTTP/2 connection.
const http2Preface = "PRI * HTTP/2.0\r\n"

// Conn is a client's connection. Until a handler runs, it accounts what it reads.
type Conn struct {
	net.Conn
	guard *Guard
	hold  *bytebudget.Holder
	close func() error // closes Conn and frees its bytes, once

	mu       sync.Mutex
	head     headScanner
	headCost int64 // held for the head
	received int64 // bytes accounted, with TLS only
	preface  int   // first bytes of the connection that match http2Preface, -1 after a mismatch
	http2    bool
	running  int  // handlers
	active   bool // net/http has not reported the connection as idle since a request
}

func (c *Conn) closeOnce() error {
	c.hold.Release()
	c.guard.remove(c)
	return c.Conn.Close()
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() error { return c.close() }

// CloseWrite closes the writing side, which net/http does so that a refusal arrives.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// NetConn returns the connection beneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It fails once the head that is being read has too many lines,
// or if there is no budget for it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.account(p[:n]) {
		_ = c.Close()
		return 0, errClosed
	}
	return n, err
}

// account holds the estimated cost of the head so far.
func (c *Conn) account(p []byte) bool {
	c.mu.Lock()
	growth, lines := c.growth(p)
	grown := growth == 0 || c.hold.Grow(growth)
	if grown && !c.http2 {
		c.headCost += growth
	}
	c.mu.Unlock()
	if lines > c.guard.options.MaxHeaderLines {
		c.guard.counters.headLines.Add(1)
		_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
		_, _ = c.Conn.Write([]byte(tooManyLines))
		return false
	}
	if !grown {
		c.guard.noRoom()
		return false
	}
	return true
}

// growth returns the cost of the bytes, and the lines of the head if they can be counted.
func (c *Conn) growth(p []byte) (cost int64, lines int) {
	if c.running > 0 || c.http2 {
		return 0, 0
	}
	if c.guard.options.TLS {
		before := max(c.received, handshakeBytes)
		c.received += int64(len(p))
		cost = max(0, c.received-before) * (byteCost + lineCost/minLineBytes)
		return max(0, min(cost, c.guard.maxHeadCost()-c.headCost)), 0
	}
	if c.readPreface(p) {
		c.http2 = true
		return http2Cost, 0
	}
	c.head.feed(p)
	cost = int64(c.head.bytes)*byteCost + int64(c.head.lines)*lineCost
	return max(0, cost-c.headCost), c.head.lines - spareLines
}

// readPreface reports whether the first bytes of the connection, which may come in pieces,
// are now those of HTTP/2.
func (c *Conn) readPreface(p []byte) bool {
	if c.preface < 0 {
		return false
	}
	rest := http2Preface[c.preface:]
	if n := min(len(p), len(rest)); string(p[:n]) != rest[:n] {
		c.preface = -1
		return false
	}
	c.preface += min(len(p), len(rest))
	return c.preface == len(http2Preface)
}

// beginRequest is called when a handler starts. It returns false if the connection was closed
// to make room for others.
func (c *Conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hold.BeginRequest() {
		return false
	}
	c.running++
	c.head.done = true // also if the head came with the previous request
	c.freeHead()
	return true
}

// upgrade holds the cost of an HTTP/2 connection from its first request on. It returns false
// if there is no budget for it.
func (c *Conn) upgrade() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2 = c.http2 || c.hold.Grow(http2Cost)
	return c.http2
}

func (c *Conn) freeHead() {
	c.hold.Shrink(c.headCost)
	c.headCost = 0
}

func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if c.running == 0 && !c.active {
		c.hold.EndRequests()
	}
}

// setState records what net/http reports. An answer is written completely when the
// connection is idle, not when its handler has returned.
func (c *Conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if state != http.StateIdle || c.running > 0 {
		return
	}
	c.head = headScanner{}
	c.freeHead()
	c.hold.EndRequests()
}

// from returns the guarded connection beneath c, or nil.
func from(c net.Conn) *Conn {
	for {
		switch outer := c.(type) {
		case *Conn:
			return outer
		case *tls.Conn:
			c = outer.NetConn()
		case interface{ NetConn() net.Conn }:
			c = outer.NetConn()
		default:
			return nil
		}
	}
}
