package fault

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

// Server is an HTTP server on a Listener with fault switches and a restart epoch.
type Server struct {
	Switches
	listener *Listener
	http     *http.Server
	epoch    atomic.Uint64
}

// Serve starts a server. If address is empty, a free port of 127.0.0.1 is used.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := Listen(address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, http: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}}
	s.epoch.Store(1)
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Address returns the server's IP and port.
func (s *Server) Address() string { return s.listener.Address() }

// Epoch returns the restart epoch. It is 1 until the first restart.
func (s *Server) Epoch() uint64 { return s.epoch.Load() }

// Restart simulates a crash and restart: it increments the epoch and resets every
// connection.
func (s *Server) Restart() {
	s.epoch.Add(1)
	s.listener.Reset()
}

// Refuse makes new connections fail, or accepts them again.
func (s *Server) Refuse(refuse bool) error { return s.listener.Refuse(refuse) }

// ResetConnections resets every open connection. The server keeps running.
func (s *Server) ResetConnections() { s.listener.Reset() }

// SilenceConnections makes every open connection discard all bytes. Connections
// accepted later are not affected.
func (s *Server) SilenceConnections() { s.listener.Silence() }

// Close stops the server without waiting for its requests.
func (s *Server) Close() error {
	err := s.http.Close()
	if closeErr := s.listener.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	return err
}

// Shutdown stops the server after the requests in flight have ended, or when ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// keyHeaders are the headers in which an API key may be forwarded by mistake.
var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key"}

// keyParams are the query parameters and cookies in which an API key may be
// forwarded by mistake.
var keyParams = []string{"api_key", "api-key", "apikey", "key", "access_token", "token"}

// CallerKeyDigest returns the digest of the caller's API key in the headers, query
// or cookies of a request. It is empty if the request has no key.
func CallerKeyDigest(r *http.Request) config.KeyDigest {
	for _, name := range keyHeaders {
		if v := r.Header.Get(name); v != "" {
			return config.DigestKey(strings.TrimPrefix(v, "Bearer "))
		}
	}
	query, _ := url.ParseQuery(r.URL.RawQuery)
	for _, name := range keyParams {
		if v := query.Get(name); v != "" {
			return config.DigestKey(v)
		}
		if c, err := r.Cookie(name); err == nil {
			return config.DigestKey(c.Value)
		}
	}
	return ""
}
