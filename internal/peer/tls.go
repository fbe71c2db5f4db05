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

// alpn lists the protocol versions of this release, newest first.
var alpn = []string{"hawthornwick-peer/1"}

// Pin is the SHA-256 digest of a certificate's public key (its
// SubjectPublicKeyInfo).
type Pin [sha256.Size]byte

// PinOf returns the pin of a certificate.
func PinOf(c *x509.Certificate) Pin { return sha256.Sum256(c.RawSubjectPublicKeyInfo) }

// ParsePin parses a pin in hexadecimal.
func ParsePin(text string) (Pin, error) {
	var p Pin
	data, err := hex.DecodeString(text)
	if err != nil {
		return p, fmt.Errorf("pinned key %q: %w", text, err)
	}
	if len(data) != len(p) {
		return p, fmt.Errorf("pinned key %q has %d bytes, want %d", text, len(data), len(p))
	}
	return Pin(data), nil
}

// Identity authenticates this instance and its peers. The first DNS name in a
// certificate is the name of the instance.
type Identity struct {
	// Certificate is the certificate of this instance. Required.
	Certificate tls.Certificate
	// Roots verify the certificates of peers. If nil, only pinned keys are
	// accepted.
	Roots *x509.CertPool
	// Pins are public keys of peers that are accepted without verification
	// against Roots.
	Pins []Pin
}

var errNoPeerCertificate = errors.New("peer sent no certificate")

// verify checks a peer's certificate and returns the name in it.
func (id Identity) verify(certificates []*x509.Certificate, now time.Time) (string, error) {
	if len(certificates) == 0 {
		return "", errNoPeerCertificate
	}
	leaf := certificates[0]
	if len(leaf.DNSNames) == 0 {
		return "", fmt.Errorf("certificate %q has no DNS name", leaf.Subject)
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

// config returns the TLS configuration for both directions. It uses verify,
// because the certificates contain instance names and not host names.
func (id Identity) config(now func() time.Time) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{id.Certificate},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection replaces the host name check
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := id.verify(s.PeerCertificates, now())
			return err
		},
		NextProtos: alpn,
		MinVersion: tls.VersionTLS13,
	}
}
