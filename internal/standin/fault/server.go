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

// Serve starts a server; an empty address means a free port of 127.0.0.1.
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

// Address returns the IP and port.
func (s *Server) Address() string { return s.listener.Address() }

// Epoch returns the restart epoch; the first is 1.
func (s *Server) Epoch() uint64 { return s.epoch.Load() }

// Restart resets every connection and raises the epoch.
func (s *Server) Restart() {
	s.epoch.Add(1)
	s.listener.Reset()
}

// Refuse makes new connections fail, or lets them through again.
func (s *Server) Refuse(refuse bool) error { return s.listener.Refuse(refuse) }

// ResetConnections closes every open connection; the server itself runs on.
func (s *Server) ResetConnections() { s.listener.Reset() }

// SilenceConnections makes every open connection drop all bytes. Later ones work.
func (s *Server) SilenceConnections() { s.listener.Silence() }

// Close stops the server at once.
func (s *Server) Close() error {
	err := s.http.Close()
	if closeErr := s.listener.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	return err
}

// Shutdown stops the server once its requests have ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key"}

var keyNames = []string{"api_key", "api-key", "apikey", "key", "access_token", "token"}

// SeenKey returns the digest of a caller's key found in the headers, cookies or
// query of a request; empty when there is none.
func SeenKey(r *http.Request) config.KeyDigest {
	for _, name := range keyHeaders {
		if v := r.Header.Get(name); v != "" {
			return config.DigestKey(strings.TrimPrefix(v, "Bearer "))
		}
	}
	query, _ := url.ParseQuery(r.URL.RawQuery)
	for _, name := range keyNames {
		if v := query.Get(name); v != "" {
			return config.DigestKey(v)
		}
		if c, err := r.Cookie(name); err == nil {
			return config.DigestKey(c.Value)
		}
	}
	return ""
}
