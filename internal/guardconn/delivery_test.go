package guardconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// connect returns a guarded connection on which writes are allowed with a delivery limit,
// and its other end, whose small receive buffer it does not read.
func connect(t *testing.T, delivery time.Duration) (near *Conn, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer l.Close()
	c, err := Dial(&net.Dialer{}, time.Second)(context.Background(), "tcp", l.Addr().String())
	is.NoErr(err)
	far, err = l.AcceptTCP()
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close(); _ = far.Close() })
	near = c.(*Conn)
	NewPermit(func() Grant { return Allow(delivery) }).Attach(httptrace.GotConnInfo{Conn: near})
	return near, far
}

// fill writes until the receive window of the other end is full and bytes stay in the
// send buffer. It returns the number of bytes written.
func fill(t *testing.T, near *Conn) int {
	t.Helper()
	written := 0
	segment := make([]byte, 64<<10)
	for {
		_ = near.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		n, err := near.Write(segment)
		written += n
		if err != nil {
			return written
		}
	}
}

// readAll reads what arrives at the far end until the connection ends.
func readAll(far *net.TCPConn) (int, error) {
	_ = far.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := io.Copy(io.Discard, far)
	return int(n), err
}

// TestAbandonedBytesAreDiscarded guards against a request that its sender has given up
// and that TCP delivers later.
func TestAbandonedBytesAreDiscarded(t *testing.T) {
	is := is.New(t)
	near, far := connect(t, time.Minute)
	written := fill(t, near)
	is.NoErr(near.Close())
	arrived, err := readAll(far)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(arrived < written)
}

// TestAnsweredConnectionIsClosedNormally checks that a connection whose requests were all
// answered is not reset.
func TestAnsweredConnectionIsClosedNormally(t *testing.T) {
	is := is.New(t)
	near, far := connect(t, time.Minute)
	_, err := io.WriteString(near, "request")
	is.NoErr(err)
	_, err = io.WriteString(far, "answer")
	is.NoErr(err)
	_, err = near.Read(make([]byte, 16))
	is.NoErr(err)
	is.NoErr(near.Close())
	arrived, err := readAll(far)
	is.NoErr(err)
	is.Equal(arrived, len("request"))
}

// TestUndeliveredBytesExpire guards against a request that is delivered after its sender's
// right to it has ended, when the sender's process is suspended and closes nothing: the
// kernel discards the bytes.
func TestUndeliveredBytesExpire(t *testing.T) {
	is := is.New(t)
	near, far := connect(t, 500*time.Millisecond)
	written := fill(t, near)
	near.stopTimer() // as in a process that is suspended
	time.Sleep(3 * time.Second)
	arrived, _ := readAll(far)
	is.True(arrived < written)
	is.NoErr(near.SetWriteDeadline(time.Time{}))
	_, err := near.Conn.Write([]byte("x"))
	is.True(errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EPIPE))
}

// TestLimitEndsWithDelivery checks that a connection that waits for an answer has no limit
// once its request was delivered, since one lost keep-alive probe would close it.
func TestLimitEndsWithDelivery(t *testing.T) {
	is := is.New(t)
	const limit = 100 * time.Millisecond
	near, _ := connect(t, limit)
	_, err := io.WriteString(near, "request")
	is.NoErr(err)
	is.Equal(userTimeout(t, near), limit)
	for deadline := time.Now().Add(10 * time.Second); userTimeout(t, near) != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the limit was not removed")
		}
	}
	_, err = io.WriteString(near, "request")
	is.NoErr(err)
	is.Equal(userTimeout(t, near), limit) // set again for the next write
}

func userTimeout(t *testing.T, c *Conn) time.Duration {
	t.Helper()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var millis int
	var failed error
	err = raw.Control(func(fd uintptr) {
		millis, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err := errors.Join(err, failed); err != nil {
		t.Fatal(err)
	}
	return time.Duration(millis) * time.Millisecond
}
