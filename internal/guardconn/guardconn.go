// Package guardconn provides connections that bound when a request may be written and
// until when its bytes may be delivered. Writes are rejected until the attempt has a
// permit; revoking a permit that was never acquired proves that the request was not
// sent. Bytes that the peer has not acknowledged are discarded when the attempt is
// abandoned, or after the time that the permit grants, whichever comes first. Without
// that, TCP keeps retransmitting them, and a peer that was cut off may receive a request
// long after its sender has lost the right to send it.
package guardconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNotPermitted reports a write without a granted permit.
var ErrNotPermitted = errors.New("write rejected: the attempt has no permit")

// expirySlack is the time after the end of a delivery limit by which the kernel has
// enforced it.
const expirySlack = 100 * time.Millisecond

// DefaultDelivery bounds the delivery of requests to backend servers. Within it, TCP
// retransmits a lost segment several times.
const DefaultDelivery = 1500 * time.Millisecond

// Conn is a connection on which requests are sent one after the other. Without an
// attached permit, all writes fail with ErrNotPermitted.
type Conn struct {
	EndConn
	permit  atomic.Pointer[Permit]
	onClose func() // nil if the connection is not tracked
	// unanswered is set while nothing was received since the last write, so that
	// written bytes may not have been delivered yet.
	unanswered atomic.Bool

	// requested is set when a request takes the connection, and cleared by the first read
	// after that.
	requested atomic.Bool
	heads     headScanner // used by Read only
	peer      atomic.Pointer[Peer]

	mu        sync.Mutex
	delivery  time.Duration // limit on unacknowledged bytes that is set on the socket
	writtenAt time.Time
	expiry    *time.Timer // runs clearDelivery; nil before the first limit
}

// Peer is the process at the other end of a connection. The zero value is unknown.
type Peer struct {
	// Server is the id of the server.
	Server string
	// StartedMillis is the start of its process in Unix milliseconds.
	StartedMillis int64
}

// SetPeer records which process is known to have the other end. A connection belongs to one
// process as long as it lasts.
func (c *Conn) SetPeer(p Peer) { c.peer.Store(&p) }

// Peer returns the process that SetPeer has recorded last, or the zero Peer.
func (c *Conn) Peer() Peer {
	if p := c.peer.Load(); p != nil {
		return *p
	}
	return Peer{}
}

// Close implements net.Conn. It discards written bytes that may not have been delivered
// and resets the connection. If the peer has answered, it closes it normally.
func (c *Conn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	c.stopTimer()
	if c.unanswered.Load() {
		return errors.Join(discardUndelivered(c.Conn), c.Conn.Close())
	}
	return c.Conn.Close()
}

// Read implements net.Conn, as EndConn does. It returns ErrFoldedLine for an answer with a
// folded line in its head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.EndConn.Read(p)
	if n == 0 {
		return n, err
	}
	c.unanswered.Store(false)
	if c.requested.Swap(false) {
		c.heads.begin()
	}
	if c.heads.findFold(p[:n]) {
		return 0, ErrFoldedLine
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	permit := c.permit.Load()
	if permit == nil || !permit.acquire() {
		return 0, ErrNotPermitted
	}
	if err := c.limitDelivery(permit.grant.delivery); err != nil {
		return 0, err
	}
	c.unanswered.Store(true)
	return c.EndConn.Write(p)
}

// limitDelivery sets the limit on unacknowledged bytes for a write that starts now.
func (c *Conn) limitDelivery(d time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenAt = time.Now()
	if c.delivery == d {
		return nil
	}
	if err := c.setDelivery(d); err != nil {
		return err
	}
	if c.expiry == nil {
		c.expiry = time.AfterFunc(d+expirySlack, c.clearDelivery)
	} else {
		c.expiry.Reset(d + expirySlack)
	}
	return nil
}

// setDelivery sets the limit on the socket. mu is held.
func (c *Conn) setDelivery(d time.Duration) error {
	if err := setUserTimeout(c.Conn, d); err != nil {
		return fmt.Errorf("set delivery limit %v: %w", d, err)
	}
	c.delivery = d
	return nil
}

// clearDelivery removes the limit once all written bytes were acknowledged: otherwise the
// kernel would have closed the connection. With a limit, a single lost keep-alive probe
// would close it.
func (c *Conn) clearDelivery() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delivery == 0 {
		return
	}
	if left := c.delivery + expirySlack - time.Since(c.writtenAt); left > 0 {
		c.expiry.Reset(left)
		return
	}
	_ = c.setDelivery(0) // fails only if the connection is closed
}

func (c *Conn) stopTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiry != nil {
		c.expiry.Stop()
	}
}

// Grant is the decision of a permit. The zero value denies the write.
type Grant struct {
	allowed  bool
	delivery time.Duration
}

// Deny denies the write.
func Deny() Grant { return Grant{} }

// Allow allows the write. Bytes that the peer has not acknowledged after delivery are
// discarded with the connection, by the kernel: also if the process is suspended or has
// ended. Zero sets no limit.
func Allow(delivery time.Duration) Grant { return Grant{allowed: true, delivery: max(delivery, 0)} }

// Permit decides once whether an attempt may write its first byte. Create it
// with NewPermit. It is safe for concurrent use.
type Permit struct {
	once    sync.Once
	decide  func() Grant
	grant   Grant // set before granted
	granted atomic.Bool
	denied  atomic.Bool
	ended   atomic.Bool
}

// NewPermit returns a permit that calls decide before the first write.
func NewPermit(decide func() Grant) *Permit { return &Permit{decide: decide} }

// Granted reports whether bytes may have been written already. If not, the
// first write may still follow; only Revoke rules that out.
func (p *Permit) Granted() bool { return p.granted.Load() }

// Revoke forbids the first write unless it was already allowed. It returns
// true if nothing was and nothing will be written. It waits for a decision in
// progress.
func (p *Permit) Revoke() bool {
	p.once.Do(func() {})
	return !p.granted.Load()
}

// End records that the attempt has ended: it neither writes nor reads any more.
func (p *Permit) End() { p.ended.Store(true) }

// Denied reports whether the first write was rejected.
func (p *Permit) Denied() bool { return p.denied.Load() }

// Attach attaches the permit to the connection of an attempt. It is called from
// httptrace.ClientTrace.GotConn.
func (p *Permit) Attach(info httptrace.GotConnInfo) {
	if guarded, ok := info.Conn.(*Conn); ok {
		guarded.permit.Store(p)
		guarded.requested.Store(true)
	}
}

func (p *Permit) acquire() bool {
	p.once.Do(func() {
		p.grant = p.decide()
		p.granted.Store(p.grant.allowed)
		p.denied.Store(!p.grant.allowed)
	})
	return p.granted.Load()
}

type connectTimeoutKey struct{}

// WithConnectTimeout returns a context with a timeout for dials.
func WithConnectTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, connectTimeoutKey{}, d)
}

// Dial returns a dial function for an http.Transport. The fallback timeout
// applies if the context has none from WithConnectTimeout.
func Dial(dialer *net.Dialer, fallback time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		timeout, ok := ctx.Value(connectTimeoutKey{}).(time.Duration)
		if !ok {
			timeout = fallback
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect to %s: %w", address, err)
		}
		return &Conn{EndConn: EndConn{Conn: c}}, nil
	}
}
