// Package guardconn provides connections to backend servers that reject writes
// until the attempt using them has a permit. Revoking a permit that was never
// acquired proves that the request was not sent.
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

// Conn is a connection to a backend server. Without an attached permit, all
// writes fail with ErrNotPermitted.
type Conn struct {
	net.Conn
	permit  atomic.Pointer[Permit]
	onClose func() // nil if the connection is not tracked
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	allowed := c.permit.Load()
	if allowed == nil || !allowed.acquire() {
		return 0, ErrNotPermitted
	}
	return c.Conn.Write(p)
}

// Permit decides once whether an attempt may write its first byte. Create it
// with NewPermit. It is safe for concurrent use.
type Permit struct {
	once    sync.Once
	decide  func() bool
	granted atomic.Bool
	denied  atomic.Bool
	ended   atomic.Bool
}

// NewPermit returns a permit that calls decide before the first write.
func NewPermit(decide func() bool) *Permit { return &Permit{decide: decide} }

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
	}
}

func (p *Permit) acquire() bool {
	p.once.Do(func() {
		granted := p.decide()
		p.granted.Store(granted)
		p.denied.Store(!granted)
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
		return &Conn{Conn: c}, nil
	}
}
