package fault

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

var errNoIPv4 = errors.New("no IPv4 address")

// Port keeps a TCP port of an IPv4 address. A listener can be opened at it; the system gives it
// to no other socket that names no port. Without a listener, connections to it are refused.
type Port struct {
	fd      int
	address string
}

// ReservePort reserves the port of an address; 0 means any free one.
func ReservePort(address string) (*Port, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	ip := resolved.IP.To4()
	if ip == nil {
		return nil, errNoIPv4
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	p := &Port{fd: fd}
	if err := p.bind(&unix.SockaddrInet4{Port: resolved.Port, Addr: [4]byte(ip)}); err != nil {
		return nil, errors.Join(err, p.Release())
	}
	return p, nil
}

// Address returns the IP and port.
func (p *Port) Address() string { return p.address }

// bind binds the socket, so that a listener, which has SO_REUSEADDR too, can be bound as well.
func (p *Port) bind(to *unix.SockaddrInet4) error {
	if err := unix.SetsockoptInt(p.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt SO_REUSEADDR", err)
	}
	if err := unix.Bind(p.fd, to); err != nil {
		return os.NewSyscallError("bind", err)
	}
	bound, err := unix.Getsockname(p.fd)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	name, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return fmt.Errorf("bound to %T: %w", bound, syscall.EAFNOSUPPORT)
	}
	p.address = (&net.TCPAddr{IP: name.Addr[:], Port: name.Port}).String()
	return nil
}

// Release gives the port back. It must be called once.
func (p *Port) Release() error { return os.NewSyscallError("close", unix.Close(p.fd)) }
