package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

func indexed(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }

// Load reads the certificate and its private key.
func (t TLS) Load() (tls.Certificate, error) {
	return tls.LoadX509KeyPair(t.Certificate, t.Key)
}

// LoadCertificate reads the instance's certificate and its private key.
func (p Peers) LoadCertificate() (tls.Certificate, error) {
	return tls.LoadX509KeyPair(p.Certificate, p.Key)
}

// LoadAuthorities reads the authorities' certificates; nil when no file is named.
func (p Peers) LoadAuthorities() (*x509.CertPool, error) {
	if p.Authorities == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(p.Authorities)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("file %q holds no PEM certificate", p.Authorities)
	}
	return pool, nil
}

// checkFiles reports certificates and keys that cannot be read or do not match.
func checkFiles(doc *yamlfault.Document, s *Settings) {
	c := checker{doc}
	c.files("callers.tls", s.Callers.TLS)
	c.files("operators.tls", s.Operators.TLS)
	if s.Peers.Certificate != "" && s.Peers.Key != "" {
		_, err := s.Peers.LoadCertificate()
		c.loaded("peers.certificate", err)
	}
	_, err := s.Peers.LoadAuthorities()
	c.loaded("peers.authorities", err)
}

func (c checker) files(field string, t *TLS) {
	if t == nil || t.Certificate == "" || t.Key == "" {
		return
	}
	_, err := t.Load()
	c.loaded(field+".certificate", err)
}

func (c checker) loaded(field string, err error) {
	if err != nil {
		c.doc.FaultOnce(field, "cannot be loaded: %v", err)
	}
}
