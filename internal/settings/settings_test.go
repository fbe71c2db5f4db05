package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

const validText = `
instance: entry-1
zone: suva-a
callers: {address: "0.0.0.0:8443", tls: {certificate: DIR/a.pem, key: DIR/a.key}}
operators: {address: "127.0.0.1:9090"}
peers: {address: "10.0.0.7:7000", certificate: DIR/a.pem, key: DIR/a.key, authorities: DIR/a.pem}
platform:
  table: http://10.0.0.5:9000/table
  objects: http://10.0.0.5:9000/objects
  servers: http://10.0.0.5:9000/servers
  usage: http://10.0.0.5:9000/usage
  instances: https://[fd00::1]:9000/instances
`

// writeCertificate writes DIR/NAME.pem and DIR/NAME.key.
func writeCertificate(t *testing.T, dir, name string) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	writePEM(t, filepath.Join(dir, name+".pem"), "CERTIFICATE", der)
	writePEM(t, filepath.Join(dir, name+".key"), "PRIVATE KEY", secret)
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	is := is.New(t)
	is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// load writes the text as a settings file next to two certificates and loads it.
// DIR in the text is replaced by the directory.
func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	dir := t.TempDir()
	writeCertificate(t, dir, "a")
	writeCertificate(t, dir, "b")
	path := filepath.Join(dir, "settings.yaml")
	text = strings.ReplaceAll(text, "DIR", dir)
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

func TestLoadDefaults(t *testing.T) {
	is := is.New(t)
	s, err := load(t, validText)
	is.NoErr(err)
	is.Equal(s.Callers.HeaderLimit, DefaultHeaderLimit)
	is.Equal(s.Callers.BodyLimit, int64(DefaultBodyLimit))
	is.Equal(s.Drain, Drain{BalancerLag: Duration(DefaultBalancerLag)})
	is.Equal(s.Log.Level, "info")
	is.True(s.Operators.TLS == nil)
}

func TestLoadRejects(t *testing.T) {
	cases := []struct{ name, old, new, field, message string }{
		{"key of another certificate", "key: DIR/a.key}}", "key: DIR/b.key}}", "callers.tls.certificate", "does not match"},
		{"missing file", "authorities: DIR/a.pem", "authorities: DIR/none", "peers.authorities", "no such file"},
		{"no certificate in file", "authorities: DIR/a.pem", "authorities: DIR/a.key", "peers.authorities", "holds no PEM certificate"},
		{"key missing", ", key: DIR/a.key}}", "}}", "callers.tls.key", "required"},
		{"unauthenticated peers", ", authorities: DIR/a.pem", "", "peers", "authorities or pinned-keys is required"},
		{"short pin", "authorities: DIR/a.pem", "pinned-keys: [abc]", "peers.pinned-keys[0]", "not a SHA-256 digest"},
		{"unreachable peer address", "10.0.0.7:7000", "0.0.0.0:7000", "peers.address", "other instances can reach"},
		{"open operator listener", "127.0.0.1:9090", "10.0.0.7:9090", "operators.token-digest", "no loopback address"},
		{"hostname", "0.0.0.0:8443", "localhost:8443", "callers.address", "is not an IP address and port"},
		{"hostname in URL", "http://10.0.0.5:9000/table", "http://table:9000", "platform.table", "give its IP number"},
		{"other scheme", "http://10.0.0.5:9000/usage", "ftp://10.0.0.5/usage", "platform.usage", "is not a base URL"},
		{"duration without unit", "\nzone", "\ndrain: {limit: 10}\nzone", "drain.limit", "has no unit"},
		{"negative duration", "\nzone", "\ndrain: {limit: -1s}\nzone", "drain.limit", "is negative"},
		{"log level", "\nzone", "\nlog: {level: loud}\nzone", "log.level", "is none of"},
		{"unknown field", "\nzone", "\nzones: a\nzone", "zones", "unknown field"},
		{"no name", "instance: entry-1", "instance:", "instance", "required"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validText, c.old, c.new, 1)
			_, err := load(t, text)
			var faults *yamlfault.FaultsError
			if text == validText || !errors.As(err, &faults) {
				t.Fatalf("got %v, want faults", err)
			}
			if len(faults.Faults) != 1 {
				t.Fatalf("got more than one fault:\n%v", err)
			}
			f := faults.Faults[0]
			if f.Field != c.field || f.Line == 0 || !strings.Contains(f.Message, c.message) {
				t.Fatalf("got %v, want %q at %s", f, c.message, c.field)
			}
		})
	}
}

func TestLoadReportsAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := load(t, "instance: entry-1\ncallers: {address: localhost}\n")
	var faults *yamlfault.FaultsError
	is.True(errors.As(err, &faults))
	is.Equal(len(faults.Faults), 12) // zone, three listeners, two peer files, peer authorities or pinned keys, five endpoints
}

func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	path := filepath.Join("..", "..", "examples", "settings.yaml")
	text, err := os.ReadFile(path)
	is.NoErr(err)
	s, err := Decode(path, text)
	is.NoErr(err)
	defaults := *s
	defaults.SetDefaults()
	is.Equal(*s, defaults)
}
