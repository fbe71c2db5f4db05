package dispatch

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

var errNotPermitted = errors.New("the attempt may not be sent")

// guardedConn is a connection to a backend server. It writes nothing before
// the attempt that uses it has its permit.
type guardedConn struct {
	net.Conn
	permit atomic.Pointer[permit]
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	allowed := c.permit.Load()
	if allowed == nil || !allowed.take() {
		return 0, errNotPermitted
	}
	return c.Conn.Write(p)
}

// permit decides once whether an attempt may write its first byte.
type permit struct {
	once    sync.Once
	decide  func() bool
	granted atomic.Bool
	denied  atomic.Bool
}

func (p *permit) take() bool {
	p.once.Do(func() {
		granted := p.decide()
		p.granted.Store(granted)
		p.denied.Store(!granted)
	})
	return p.granted.Load()
}

// newTransport returns a transport to backend servers. Without pooling each
// request has a connection of its own, so that it is never sent again by the
// transport itself.
func newTransport(o Options, pooled bool) *http.Transport {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &http.Transport{
		DialContext:            guardedDial(dialer),
		DisableKeepAlives:      !pooled,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    defaultIdleConnsPerHost,
		IdleConnTimeout:        o.IdleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         streamReadBufferBytes,
	}
}
