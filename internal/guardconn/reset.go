package guardconn

import (
	"errors"
	"fmt"
	"os"
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

// write writes p and keeps the error for checkEnd. An expired deadline is no error of the
// connection.
func (c *Conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// checkEnd is called after a read has reached the end of the connection. It returns a
// *ResetError unless the peer has closed the connection in an orderly way.
//
// The kernel reports a reset to one call only. If a write is that call, a read finds the same
// end as after an orderly close, perhaps before the write has returned. A pending write is
// therefore interrupted and waited for: nothing is sent on this connection any more.
func (c *Conn) checkEnd() error {
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
