package fault

import (
	"net"
	"sync/atomic"
)

// conn is an accepted connection that can be silenced.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read implements net.Conn. A silenced connection discards what it reads and
// does not return until it fails.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silenced connection discards the bytes and
// reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
