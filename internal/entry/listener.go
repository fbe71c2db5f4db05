package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// ListenerOptions configure the callers' listener.
type ListenerOptions struct {
	// Address is an IP and a port. Port 0 takes a free one.
	Address string
	// CertificateFile and KeyFile enable TLS when both are set.
	CertificateFile, KeyFile string
	// HeaderBytes bounds the headers of one request. Over it the handler refuses
	// with a numbered result; over twice that the HTTP server does without one.
	HeaderBytes int
	// HeaderTimeout bounds the time to read them.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections without a request.
	IdleTimeout time.Duration
	// MaxConnections bounds open connections; zero means no bound.
	MaxConnections int
}

const (
	// headerSlack is the HTTP server's own limit as a multiple of HeaderBytes.
	headerSlack = 2
	// pingAfter is the silence on an HTTP/2 connection after which it is pinged.
	pingAfter = 15 * time.Second
	// pingTimeout closes an HTTP/2 connection whose caller does not answer a ping.
	pingTimeout = 10 * time.Second
	// writeByteTimeout closes an HTTP/2 connection that takes no byte.
	writeByteTimeout = 30 * time.Second
)

// Listener accepts callers' connections with HTTP/1.1 and HTTP/2.
type Listener struct {
	net     net.Listener
	server  *http.Server
	tls     bool
	closing atomic.Bool
}

// Listen opens the listener; Serve accepts on it.
func Listen(o ListenerOptions, h http.Handler, logger hclog.Logger) (*Listener, error) {
	listener := new(Listener)
	server := &http.Server{
		Handler:           listener.closeAfterAnswer(h),
		MaxHeaderBytes:    headerSlack * o.HeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		ErrorLog:          logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		Protocols:         new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeByteTimeout,
		},
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	secured, err := configureTLS(server, o)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", o.Address, err)
	}
	if o.MaxConnections > 0 {
		l = limitConnections(l, o.MaxConnections)
	}
	listener.net, listener.server, listener.tls = l, server, secured
	return listener, nil
}

// closeAfterAnswer closes a caller's connection after its answer once
// StopReuse was called. An idle connection is left open, because a request may
// already be on its way on it.
func (l *Listener) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func configureTLS(server *http.Server, o ListenerOptions) (bool, error) {
	if o.CertificateFile == "" && o.KeyFile == "" {
		return false, nil
	}
	cert, err := tls.LoadX509KeyPair(o.CertificateFile, o.KeyFile)
	if err != nil {
		return false, fmt.Errorf("load the callers' certificate %s: %w", o.CertificateFile, err)
	}
	server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}
	return true, nil
}

// Address returns the listener's IP and port.
func (l *Listener) Address() string { return l.net.Addr().String() }

// Serve accepts connections until Shutdown. It returns nil after Shutdown.
func (l *Listener) Serve() error {
	var err error
	if l.tls {
		err = l.server.ServeTLS(l.net, "", "")
	} else {
		err = l.server.Serve(l.net)
	}
	if err == http.ErrServerClosed {
		return nil
	}
	return fmt.Errorf("serve callers on %s: %w", l.net.Addr(), err)
}

// StopReuse asks callers to open no further request on their connections, so
// that the balancer sends those elsewhere. Requests that arrive are served.
func (l *Listener) StopReuse() { l.closing.Store(true) }

// Shutdown closes the listener and waits for running requests.
func (l *Listener) Shutdown(ctx context.Context) error { return l.server.Shutdown(ctx) }

// Close cuts off every connection. Only a forced stop calls it.
func (l *Listener) Close() error { return l.server.Close() }
