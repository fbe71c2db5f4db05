package guardconn

import (
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// readToEnd reads until the connection ends, and returns the error of its end.
func readToEnd(c net.Conn) error {
	for p := make([]byte, 1<<10); ; {
		if _, err := c.Read(p); err != nil {
			return err
		}
	}
}

// TestResetTakenByWriteIsNoEnd guards against an answer without a length that looks complete
// although its connection was reset: the kernel reports the reset to the write of the request,
// and to the next read the same end as after an orderly close.
func TestResetTakenByWriteIsNoEnd(t *testing.T) {
	is := is.New(t)
	near, far := connect(t, time.Minute)
	_, err := io.WriteString(far, "part of an answer")
	is.NoErr(err)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	for err = nil; err == nil; {
		_, err = io.WriteString(near, "part of a request")
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
	err = readToEnd(near)
	is.True(!errors.Is(err, io.EOF))
	var reset *ResetError
	is.True(errors.As(err, &reset))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// takenByWrite is a socket whose pending write gets the error of a reset before a read does,
// and returns only after that read.
type takenByWrite struct {
	net.Conn
	taken chan struct{} // closed when the write has got the error
	read  chan struct{} // closed when the read after it has returned
}

func (c *takenByWrite) Write([]byte) (int, error) {
	close(c.taken)
	<-c.read
	return 0, syscall.ECONNRESET
}

func (c *takenByWrite) Read([]byte) (int, error) {
	<-c.taken
	close(c.read)
	return 0, io.EOF
}

func (c *takenByWrite) SetWriteDeadline(time.Time) error { return nil }

// TestResetTakenByPendingWriteIsNoEnd guards against the same while the write has not
// returned yet.
func TestResetTakenByPendingWriteIsNoEnd(t *testing.T) {
	is := is.New(t)
	c := &Conn{EndConn: EndConn{Conn: &takenByWrite{taken: make(chan struct{}), read: make(chan struct{})}}}
	NewPermit(func() Grant { return Allow(0) }).Attach(httptrace.GotConnInfo{Conn: c})
	written := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("request"))
		written <- err
	}()
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(errors.Is(<-written, syscall.ECONNRESET))
}

// TestOrderlyEndDuringWrite checks that the end of an answer is seen while the request is
// still being written to a server that does not read it, and that this ends the write.
func TestOrderlyEndDuringWrite(t *testing.T) {
	is := is.New(t)
	near, far := connect(t, time.Minute)
	written := make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, 64<<20)) // more than fits into the buffers
		written <- err
	}()
	_, err := far.Read(make([]byte, 1))
	is.NoErr(err)
	_, err = io.WriteString(far, "answer")
	is.NoErr(err)
	is.NoErr(far.CloseWrite())
	is.True(errors.Is(readToEnd(near), io.EOF))
	is.True(errors.Is(<-written, os.ErrDeadlineExceeded))
}

// TestOrderlyEndAfterWrite checks that an orderly close after a written request is an end.
func TestOrderlyEndAfterWrite(t *testing.T) {
	is := is.New(t)
	near, far := connect(t, time.Minute)
	_, err := io.WriteString(near, "request")
	is.NoErr(err)
	_, err = io.ReadFull(far, make([]byte, len("request")))
	is.NoErr(err)
	_, err = io.WriteString(far, "answer")
	is.NoErr(err)
	is.NoErr(far.Close())
	is.True(errors.Is(readToEnd(near), io.EOF))
}

// TestResetBetweenReads checks that a reset is an error for a read if nothing is being written.
func TestResetBetweenReads(t *testing.T) {
	is := is.New(t)
	near, far := connect(t, time.Minute)
	_, err := io.WriteString(far, "part of an answer")
	is.NoErr(err)
	_, err = near.Read(make([]byte, 1<<10))
	is.NoErr(err)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	is.True(errors.Is(readToEnd(near), syscall.ECONNRESET))
}
