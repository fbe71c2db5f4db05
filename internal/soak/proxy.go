// Package soak runs instances as separate processes against stand-ins, injects faults
// into processes, network links and the store by a seeded plan, and checks the
// router's guarantees by what callers and backend servers observe. It terminates only
// processes that it started.
package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
)

// maxHeldSegments bounds the segments of one direction of a connection that are held
// back. Beyond it the sender's writes block.
const maxHeldSegments = 64

// Proxy is a TCP proxy to one address that can inject network faults. It is safe for
// concurrent use.
type Proxy struct {
	port          *fault.Port
	target        atomic.Pointer[string]
	delay         atomic.Int64 // nanoseconds before each write
	blackhole     atomic.Bool  // drop all bytes, also those of new connections
	dropResponses atomic.Bool  // drop the bytes from the target to the caller

	mu       sync.Mutex
	listener net.Listener
	down     bool // the listener is closed
	conns    map[net.Conn]struct{}
	held     chan struct{} // closed when bytes are no longer held; nil if none are
}

// NewProxy returns a proxy to target that listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	port, err := fault.ReservePort("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", port.Address())
	if err != nil {
		return nil, errors.Join(err, port.Release())
	}
	p := &Proxy{port: port, listener: l, conns: map[net.Conn]struct{}{}}
	p.target.Store(&target)
	go p.accept(l)
	return p, nil
}

// Address returns the IP and port that the proxy listens on.
func (p *Proxy) Address() string { return p.port.Address() }

// SetDelay delays every write. Zero means no delay.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetBlackhole drops the bytes of both directions while connections stay open.
// Turning it off resets the connections, since bytes are missing.
func (p *Proxy) SetBlackhole(on bool) { p.setDrop(&p.blackhole, on) }

// SetDropResponses drops the bytes from the target to the caller, while requests
// still arrive. Turning it off resets the connections.
func (p *Proxy) SetDropResponses(on bool) { p.setDrop(&p.dropResponses, on) }

func (p *Proxy) setDrop(flag *atomic.Bool, on bool) {
	if flag.Swap(on) && !on {
		p.Reset()
	}
}

// SetHold holds the bytes of both directions back, as TCP does while packets are lost.
// Turning it off delivers them, except those of senders that have reset their connection
// meanwhile.
func (p *Proxy) SetHold(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.held == nil:
		p.held = make(chan struct{})
	case !on && p.held != nil:
		close(p.held)
		p.held = nil
	}
}

// awaitDelivery waits while bytes are held back. It returns false if the sender has reset
// the connection.
func (p *Proxy) awaitDelivery(reset <-chan struct{}) bool {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held == nil {
		return true
	}
	select {
	case <-held:
	case <-reset:
	}
	select {
	case <-reset:
		return false
	default:
		return true
	}
}

// Refuse closes the listener. Open connections stay. The port stays the proxy's own, so that
// no other listener of the machine gets what is sent to it.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	_ = p.listener.Close()
}

// Crash closes the listener and ends every open connection with a FIN, as the kernel does
// when a process dies.
func (p *Proxy) Crash() {
	p.Refuse()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		closeWrite(c)
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

// Listen undoes Refuse and Crash.
func (p *Proxy) Listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down {
		return nil
	}
	l, err := net.Listen("tcp4", p.port.Address())
	if err != nil {
		return fmt.Errorf("listen again: %w", err)
	}
	p.listener, p.down = l, false
	go p.accept(l)
	return nil
}

func (p *Proxy) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// Reset resets every open connection with a TCP RST.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.Refuse()
	p.Reset()
	_ = p.port.Release() // the socket has no bytes that could be lost
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	server, err := net.DialTimeout("tcp", *p.target.Load(), time.Second)
	if err != nil {
		_ = caller.Close()
		return
	}
	if !p.track(caller, server) {
		_ = caller.Close()
		_ = server.Close()
		return
	}
	var both sync.WaitGroup
	toServer, toCaller := &guardconn.EndConn{Conn: server}, &guardconn.EndConn{Conn: caller}
	both.Go(func() { p.copy(toServer, toCaller, false) })
	both.Go(func() { p.copy(toCaller, toServer, true) })
	both.Wait()
	p.untrack(caller, server)
}

// track registers connections. It returns false if the proxy is down.
func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return false
	}
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
	return true
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// copy copies bytes in one direction. It propagates an EOF as a half-close and a reset as
// a reset, and closes to if it cannot be written to. Once it has dropped bytes it does not
// propagate an EOF, which TCP delivers only after all bytes.
func (p *Proxy) copy(to, from *guardconn.EndConn, responses bool) {
	received := make(chan []byte, maxHeldSegments)
	reset := make(chan struct{})
	go readSegments(from, received, reset)
	dropped := false
	for segment := range received {
		if !p.awaitDelivery(reset) {
			break
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if p.drops(responses) {
			dropped = true
			continue
		}
		if _, err := to.Write(segment); err != nil {
			_ = to.Close()
			break
		}
	}
	for dropped && p.drops(responses) && !p.isDown() {
		time.Sleep(dropPollInterval)
	}
	select {
	case <-reset:
		p.propagateReset(to.Conn)
	default:
		if dropped {
			p.propagateReset(to.Conn)
		} else {
			closeWrite(to.Conn)
		}
	}
	for range received {
		continue // until from is closed
	}
}

// drops reports whether the bytes of a direction are dropped at present.
func (p *Proxy) drops(responses bool) bool {
	return p.blackhole.Load() || responses && p.dropResponses.Load()
}

// dropPollInterval is the interval at which an EOF after dropped bytes waits for the end of
// the fault.
const dropPollInterval = 10 * time.Millisecond

// propagateReset resets a connection whose other side has failed. While the proxy is down,
// that failure is its own, and the connection ends with a FIN.
func (p *Proxy) propagateReset(to net.Conn) {
	if p.isDown() {
		closeWrite(to)
		return
	}
	resetConn(to)
}

// readSegments reads until an error and then closes received. Before that it closes reset
// if the error is not EOF.
func readSegments(from net.Conn, received chan<- []byte, reset chan<- struct{}) {
	defer close(received)
	for {
		segment := make([]byte, 16<<10)
		n, err := from.Read(segment)
		if n > 0 {
			received <- segment[:n]
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			close(reset)
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
