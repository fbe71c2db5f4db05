package dispatch

import (
	"net"
	"net/http"

	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
)

// newTransport returns a transport to backend servers. Without pooling, each
// request is sent on a new connection; the transport itself retries requests
// only on reused connections.
func newTransport(o Options, pooled bool) *httpcheck.Transport {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &httpcheck.Transport{Transport: &http.Transport{
		DialContext:            guardconn.Dial(dialer, DefaultTimeouts.Connect),
		DisableKeepAlives:      !pooled,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    defaultIdleConnsPerHost,
		IdleConnTimeout:        o.IdleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         streamReadBufferBytes,
	}}
}
