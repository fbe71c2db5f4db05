package guardconn

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT: the kernel closes the connection when written
// bytes remain unacknowledged for longer than d. It rounds d down to milliseconds, but
// not to zero, which sets no limit. A connection without a socket has no limit to set.
func setUserTimeout(c net.Conn, d time.Duration) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	millis := int(d.Milliseconds())
	if d > 0 {
		millis = max(millis, 1)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
	return errors.Join(err, os.NewSyscallError("setsockopt TCP_USER_TIMEOUT", failed))
}

// lingerer is a connection whose behaviour on close can be set, as *net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// discardUndelivered makes the next Close discard bytes that were not delivered and
// reset the connection.
func discardUndelivered(c net.Conn) error {
	if l, ok := c.(lingerer); ok {
		return l.SetLinger(0)
	}
	return nil
}
