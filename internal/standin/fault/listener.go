// Package fault injects faults into stand-in servers: crashes, silent
// connections, slow, truncated, duplicated and misattributed responses.
package fault

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// Listener is a TCP listener whose open connections can be reset or silenced. It
// can also refuse connections and later accept them again at the same address.
// It is safe for concurrent use.
type Listener struct {
	address string
	port    *Port

	mu     sync.Mutex
	opened *sync.Cond
	inner  net.Listener // nil while refusing
	conns  map[*conn]struct{}
	closed bool
}

// Listen opens a listener at an IPv4 address. If address is empty, a free port of 127.0.0.1 is
// used. The listener keeps its port until Close, also while it refuses connections.
func Listen(address string) (*Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	reserved, err := ReservePort(address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	inner, err := net.Listen("tcp4", reserved.address)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen on %s: %w", address, err), reserved.Release())
	}
	l := &Listener{address: reserved.address, port: reserved, inner: inner, conns: make(map[*conn]struct{})}
	l.opened = sync.NewCond(&l.mu)
	return l, nil
}

// Address returns the listener's IP and port.
func (l *Listener) Address() string { return l.address }

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr {
	addr, _ := net.ResolveTCPAddr("tcp", l.address)
	return addr
}

// Accept implements net.Listener. It blocks while connections are refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner := l.current()
		if inner == nil {
			return nil, net.ErrClosed
		}
		accepted, err := inner.Accept()
		if err != nil {
			continue // closed by Refuse or Close; current distinguishes them
		}
		return l.track(accepted), nil
	}
}

// current waits until connections are accepted and returns the open listener, or
// nil after Close.
func (l *Listener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.inner == nil && !l.closed {
		l.opened.Wait()
	}
	return l.inner
}

func (l *Listener) track(accepted net.Conn) net.Conn {
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// Refuse makes new connections fail with "connection refused", or accepts them
// again.
func (l *Listener) Refuse(refuse bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || refuse == (l.inner == nil) {
		return nil
	}
	if refuse {
		err := l.inner.Close()
		l.inner = nil
		return err
	}
	inner, err := net.Listen("tcp4", l.address)
	if err != nil {
		return fmt.Errorf("listen again on %s: %w", l.address, err)
	}
	l.inner = inner
	l.opened.Broadcast()
	return nil
}

// Reset closes every open connection with a TCP reset.
func (l *Listener) Reset() {
	for _, c := range l.open() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Silence makes every open connection discard all bytes in both directions.
// Connections accepted later are not affected.
func (l *Listener) Silence() {
	for _, c := range l.open() {
		c.silent.Store(true)
	}
}

func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// Close implements net.Listener. It is idempotent.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.opened.Broadcast()
	released := l.port.Release()
	if l.inner == nil {
		return released
	}
	err := l.inner.Close()
	l.inner = nil
	return errors.Join(err, released)
}
