package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"
)

// alpn lists the protocol versions that this release speaks, newest first.
var alpn = []string{"hawthornwick-peer/1"}

// Pin is the SHA-256 digest of a certificate's public key (its
// SubjectPublicKeyInfo).
type Pin [sha256.Size]byte

// PinOf returns the pin of a certificate.
func PinOf(c *x509.Certificate) Pin { return sha256.Sum256(c.RawSubjectPublicKeyInfo) }

// ParsePin reads a pin in hexadecimal.
func ParsePin(text string) (Pin, error) {
	var p Pin
	data, err := hex.DecodeString(text)
	if err != nil {
		return p, fmt.Errorf("pinned key %q: %w", text, err)
	}
	if len(data) != len(p) {
		return p, fmt.Errorf("pinned key %q has %d bytes, not %d", text, len(data), len(p))
	}
	return Pin(data), nil
}

// Identity authenticates this instance and its peers. A certificate names its
// instance in its first DNS name.
type Identity struct {
	// Certificate is this instance's own. Required.
	Certificate tls.Certificate
	// Roots verify the certificates of peers. Nil means none: only pins count.
	Roots *x509.CertPool
	// Pins are public keys of peers that are accepted without a chain to Roots.
	Pins []Pin
}

var errNoPeerCertificate = errors.New("peer sent no certificate")

// verify checks a peer's certificate and returns the name that it bears.
func (id Identity) verify(certificates []*x509.Certificate, now time.Time) (string, error) {
	if len(certificates) == 0 {
		return "", errNoPeerCertificate
	}
	leaf := certificates[0]
	if len(leaf.DNSNames) == 0 {
		return "", fmt.Errorf("certificate %q names no instance", leaf.Subject)
	}
	name := leaf.DNSNames[0]
	if slices.Contains(id.Pins, PinOf(leaf)) {
		return name, nil
	}
	if id.Roots == nil {
		return "", fmt.Errorf("key of instance %q is not pinned", name)
	}
	options := x509.VerifyOptions{
		Roots:         id.Roots,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range certificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := leaf.Verify(options); err != nil {
		return "", fmt.Errorf("certificate of instance %q: %w", name, err)
	}
	return name, nil
}

// config returns the TLS settings for both directions. Certificates are
// verified by verify, because instances are known by name and not by host.
func (id Identity) config(now func() time.Time) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{id.Certificate},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection replaces the check of host names
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := id.verify(s.PeerCertificates, now())
			return err
		},
		NextProtos: alpn,
		MinVersion: tls.VersionTLS13,
	}
}
