package guardconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// ResetError reports a connection that did not end with an orderly close by the peer, so
// that an answer which ends with its connection is not complete.
type ResetError struct {
	// Cause is the error of the write that met the reset.
	Cause error
}

// Error implements the error interface.
func (e *ResetError) Error() string {
	return fmt.Sprintf("the connection ended after a write had failed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Cause }

// EndConn is a connection whose reads tell an orderly close by the peer from a reset, also if
// the reset comes during a write. One goroutine may read while another one writes.
type EndConn struct {
	net.Conn

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed; guarded by writing
}

// Write implements net.Conn.
func (c *EndConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// An expired deadline is no error of the connection.
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has closed the connection in
// an orderly way, and a *ResetError if it ended after a write had failed. If the peer closes it
// during a write, that write is interrupted.
func (c *EndConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if reset := c.checkEnd(); reset != nil {
		return n, reset
	}
	return n, io.EOF
}

// checkEnd is called after a read has reached the end of the connection. It returns a
// *ResetError if a write has failed.
//
// The kernel reports a reset to one call only. If a write is that call, a read finds the same
// end as after an orderly close, perhaps before the write has returned. A pending write is
// therefore interrupted and waited for: a peer that has ended its answer has no use for it.
func (c *EndConn) checkEnd() error {
	if !c.writing.TryLock() {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the write too
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.writeErr == nil {
		return nil
	}
	return &ResetError{Cause: c.writeErr}
}
