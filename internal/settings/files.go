package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

func elementPath(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }

// Load reads the certificate and its private key from their files.
func (t TLS) Load() (tls.Certificate, error) {
	return tls.LoadX509KeyPair(t.Certificate, t.Key)
}

// LoadCertificate reads the certificate of the instance and its private key.
func (p Peers) LoadCertificate() (tls.Certificate, error) {
	return tls.LoadX509KeyPair(p.Certificate, p.Key)
}

// LoadAuthorities reads the certificates of the certificate authorities. It returns
// nil if no file is configured.
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

// checkFiles reports certificates and keys that cannot be read, and keys that do
// not match their certificate.
func checkFiles(doc *yamlfault.Document, s *Settings) {
	c := checker{doc}
	c.checkKeyPair("callers.tls", s.Callers.TLS)
	c.checkKeyPair("operators.tls", s.Operators.TLS)
	if s.Peers.Certificate != "" && s.Peers.Key != "" {
		_, err := s.Peers.LoadCertificate()
		c.reportLoadError("peers.certificate", err)
	}
	_, err := s.Peers.LoadAuthorities()
	c.reportLoadError("peers.authorities", err)
}

func (c checker) checkKeyPair(field string, t *TLS) {
	if t == nil || t.Certificate == "" || t.Key == "" {
		return
	}
	_, err := t.Load()
	c.reportLoadError(field+".certificate", err)
}

func (c checker) reportLoadError(field string, err error) {
	if err != nil {
		c.doc.AddFaultOnce(field, "cannot be loaded: %v", err)
	}
}
