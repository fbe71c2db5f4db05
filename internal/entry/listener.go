package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/clientconn"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// ListenerOptions configure the callers' listener.
type ListenerOptions struct {
	// Address is IP:PORT. Port 0 selects a free port.
	Address string
	// CertificateFile and KeyFile enable TLS when both are set.
	CertificateFile, KeyFile string
	// MaxHeaderBytes bounds the headers of one request. Above it, the handler refuses
	// with a result code; 4 KiB above it, clientconn refuses without one. Zero means
	// clientconn.DefaultHeaderBytes.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time to read the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// MaxHeaderLines bounds the header lines of one request. Zero means as many as
	// MaxHeaderBytes can hold.
	MaxHeaderLines int
	// MaxConnections bounds open connections; above it, none is accepted. Zero means
	// clientconn.DefaultConnections; above that, one without a running request is closed.
	MaxConnections int
	// Budget bounds what connections and heads hold, beside bodies and answers. If nil,
	// connections have a budget of clientconn.DefaultBudgetBytes.
	Budget *bytebudget.Budget
}

const (
	// pingIdleTime is the time without frames after which an HTTP/2 connection is pinged.
	pingIdleTime = 15 * time.Second
	// pingTimeout is the time after which an unanswered ping closes the connection.
	pingTimeout = 10 * time.Second
	// writeByteTimeout is the time without write progress after which an HTTP/2
	// connection is closed.
	writeByteTimeout = 30 * time.Second
)

// Listener accepts callers' connections with HTTP/1.1 and HTTP/2.
type Listener struct {
	net      net.Listener
	server   *http.Server
	tls      bool
	closing  atomic.Bool // connections are closed after their next answer
	stopped  atomic.Bool // no connections are accepted
	arrivals *arrivals
	unframed unframedAnswers
	guard    *clientconn.Guard
}

// Listen opens the listener. Connections are accepted by Serve.
func Listen(o ListenerOptions, h http.Handler, logger hclog.Logger) (*Listener, error) {
	listener := &Listener{arrivals: newArrivals()}
	server := &http.Server{
		Handler:           listener.closeAfterAnswer(listener.unframed.resetUnlessComplete(h)),
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		ErrorLog:          logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		ConnState:         listener.arrivals.connState,
		ConnContext:       withTCPConn,
		Protocols:         new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingIdleTime,
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
	listener.guard = clientconn.New(clientconn.Options{
		Listener: "callers", Budget: o.Budget, MaxHeaderBytes: o.MaxHeaderBytes, MaxHeaderLines: o.MaxHeaderLines,
		MaxConnections: o.MaxConnections, TLS: secured, Logger: logger,
	})
	listener.guard.Install(server)
	listener.net, listener.server, listener.tls = listener.guard.Listener(l), server, secured
	return listener, nil
}

// closeAfterAnswer closes each connection after its next answer once DisableKeepAlive
// was called. Idle connections stay open, because a request may already be in
// flight on them.
func (l *Listener) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.arrivals.begin()
		defer l.arrivals.end()
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
		return false, fmt.Errorf("load TLS certificate %s for callers: %w", o.CertificateFile, err)
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
	if err == http.ErrServerClosed || l.stopped.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve callers on %s: %w", l.net.Addr(), err)
}

// DisableKeepAlive disables keep-alive, so that the load balancer sends further requests
// to other instances. Requests that still arrive are served.
func (l *Listener) DisableKeepAlive() { l.closing.Store(true) }

// Guard returns the guard of the listener's connections.
func (l *Listener) Guard() *clientconn.Guard { return l.guard }

// Unread returns the number of open connections of which no byte was read.
func (l *Listener) Unread() int { return l.arrivals.unread() }

// Shutdown closes the listener, answers the requests that still arrive on open
// connections, and closes those once no more arrive and none runs, or when ctx ends. It
// returns the error of ctx if requests still run.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.stopped.Store(true)
	l.closing.Store(true)
	_ = l.net.Close()
	// The server drops requests that it reads once its own Shutdown has begun.
	for !l.arrivals.settled() && wait.For(ctx, settleCheckInterval) == nil {
		continue
	}
	if err := l.server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections without waiting for requests.
func (l *Listener) Close() error {
	l.unframed.reset()
	return l.server.Close()
}
