package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
)

const (
	connectTimeout        = 300 * time.Millisecond
	idleConnTimeout       = 4 * time.Second
	maxIdleConnsPerServer = 32
	keepAliveIdle         = 2 * time.Second
	keepAliveInterval     = time.Second
	keepAliveProbes       = 2
	maxAnswerHeaderBytes  = 64 << 10
	answerReadBufferBytes = 8 << 10
)

// transports hold the connections to backend servers.
type transports struct {
	// pooled reuses connections. It is for requests that may be retried.
	pooled *httpcheck.Transport
	// fresh opens a connection for each request, so that a request that must
	// not be retried cannot fail on a stale idle connection.
	fresh *httpcheck.Transport
	conns guardconn.Conns // of pooled
}

func newTransports() *transports {
	t := &transports{pooled: newTransport(true), fresh: newTransport(false)}
	t.pooled.DialContext = t.conns.Dial(t.pooled.DialContext)
	return t
}

// closeUnused closes the idle connections to the address of a server that leaves.
func (c *transports) closeUnused(address string) { c.conns.CloseUnused(address) }

func newTransport(pooled bool) *httpcheck.Transport {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	return &httpcheck.Transport{Transport: &http.Transport{
		DialContext:            guardconn.Dial(dialer, connectTimeout),
		DisableKeepAlives:      !pooled,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		ReadBufferSize:         answerReadBufferBytes,
	}}
}

func (c *transports) close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// forRequest returns the transport for a request that may or may not be retried.
func (c *transports) forRequest(retryable bool) *httpcheck.Transport {
	if retryable {
		return c.pooled
	}
	return c.fresh
}
