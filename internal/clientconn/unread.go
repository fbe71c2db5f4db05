package clientconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unread reports whether the kernel holds received bytes of the connection. It does not block.
func unread(c net.Conn) bool {
	for {
		switch inner := c.(type) {
		case syscall.Conn:
			raw, err := inner.SyscallConn()
			if err != nil {
				return false
			}
			n := 0
			err = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
			return err == nil && n > 0
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return false
		}
	}
}
