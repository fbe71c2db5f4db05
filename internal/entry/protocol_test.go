package entry

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

type namedClient struct {
	name string
	http *http.Client
}

// clients returns a client for each protocol on a listener without TLS.
func clients(t *testing.T) []namedClient {
	t.Helper()
	return []namedClient{{"HTTP/1.1", newClient(t, false)}, {"HTTP/2", newClient(t, true)}}
}

func newClient(t *testing.T, http2 bool) *http.Client {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func TestFullDuplexEcho(t *testing.T) {
	for _, client := range clients(t) {
		t.Run(client.name, func(t *testing.T) {
			is := is.New(t)
			e := startTestServer(t, testServerOptions{})
			body, feed := io.Pipe()
			r := e.request(http.MethodPut, "/services/entries"+plain.EchoPath, clubKey, "")
			r.Body, r.ContentLength = body, -1
			go func() { _, _ = io.WriteString(feed, "one") }()
			response, err := client.http.Do(r)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			chunk := make([]byte, 3)
			_, err = io.ReadFull(response.Body, chunk)
			is.NoErr(err)
			is.Equal(string(chunk), "one") // before the body has ended
			_, err = io.WriteString(feed, "two")
			is.NoErr(err)
			_, err = io.ReadFull(response.Body, chunk)
			is.NoErr(err)
			is.Equal(string(chunk), "two")
			is.NoErr(feed.Close())
			rest, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(rest), 0)
		})
	}
}

func TestLargeBodyStreamed(t *testing.T) {
	for _, client := range clients(t) {
		t.Run(client.name, func(t *testing.T) {
			is := is.New(t)
			e := startTestServer(t, testServerOptions{bodyBytes: 1000}) // limits buffered bodies, not streamed ones
			large := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
			r := e.request(http.MethodPut, "/services/entries"+plain.EchoPath, clubKey, "")
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(large)), int64(len(large))
			got := e.send(client.http, r)
			is.True(bytes.Equal([]byte(got.text), large))
		})
	}
}

func TestHeadAndOptions(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	is.Equal(e.call(http.MethodHead, "/services/entries/x", clubKey, "").StatusCode, http.StatusOK)
	is.Equal(e.call(http.MethodOptions, "/services/entries/x", clubKey, "").StatusCode, http.StatusOK)
	is.Equal(e.entries.TotalRuns(), 2)
	got := e.call(http.MethodHead, "/services/entries/x", "nobody", "")
	is.Equal(got.Header.Get(ResultHeader), "2002")
	got = e.call(http.MethodOptions, "/v1/chat/completions", clubKey, "")
	is.Equal(got.refusal(t).Code, result.MethodNotAllowed)
	is.Equal(got.Header.Get("Allow"), http.MethodPost)
}

// A refused request with Expect: 100-continue must not get a 100 Continue.
func TestNoContinueOnRefusal(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	c := e.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 10\r\nAuthorization: Bearer nobody\r\n\r\n")
	is.Equal(readResponse(t, c).refusal(t).Code, result.KeyUnknown) // without a 100 Continue before it
}

func TestH2CUpgradeIgnored(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	got := e.call(http.MethodGet, "/services/entries/x", clubKey, "", "Connection", "Upgrade, HTTP2-Settings", "Upgrade", "h2c", "HTTP2-Settings", "AAMAAABkAAQCAAAAAAIAAAAA")
	is.Equal(got.StatusCode, http.StatusOK)
}

func TestTLSWithHTTP2(t *testing.T) {
	is := is.New(t)
	cert, key := certificate(t)
	e := startTestServer(t, testServerOptions{listener: ListenerOptions{CertificateFile: cert, KeyFile: key}})
	e.base = "https://" + e.listener.Address()
	client := &http.Client{Transport: &http.Transport{
		ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
	}}
	defer client.CloseIdleConnections()
	r := e.request(http.MethodPost, "/v1/chat/completions", "", streamedChat)
	r.Header["Authorization"] = []string{"bearer " + clubKey}
	got := e.send(client, r)
	is.Equal(got.ProtoMajor, 2)
	is.True(strings.Contains(got.text, "[DONE]"))
	got = e.send(client, e.request(http.MethodGet, "/services/entries/x", "nobody", ""))
	is.Equal(got.refusal(t).Code, result.KeyUnknown)
}

// certificate writes a certificate for the loopback address and its key.
func certificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	certFile, keyFile = filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	return certFile, keyFile
}

func TestDisconnectCancelsEngine(t *testing.T) {
	for _, client := range clients(t) {
		for _, body := range []string{chat, streamedChat} {
			t.Run(client.name, func(t *testing.T) {
				e := startTestServer(t, testServerOptions{engine: engine.Options{AnswerTokens: 4000, BetweenTokens: 5 * time.Millisecond}})
				ctx, cancel := context.WithCancel(t.Context())
				r := e.request(http.MethodPost, "/v1/chat/completions", clubKey, body).WithContext(ctx)
				go func() { _, _ = send(client.http, r) }()
				e.await("the engine works", func() bool { return e.engine.InFlight() == 1 })
				cancel()
				e.await("the engine stops", func() bool { return e.engine.InFlight() == 0 })
				e.await("the request ends", func() bool { return e.server.Active() == 0 })
			})
		}
	}
}

// A caller that disconnects while queued must free its place in the queue.
func TestDisconnectWhileQueued(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{limit: 1})
	e.engine.Set(fault.Settings{Paused: true})
	e.begin(http.MethodPost, "/v1/chat/completions", depotKey, chat)
	e.await("the first runs", func() bool { return e.engine.InFlight() == 1 })
	c := e.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\nContent-Length: " + itoa(len(chat)) + "\r\n\r\n" + chat)
	e.await("the second waits", func() bool { return len(events(e.ring, timeline.RequestQueued)) > 0 })
	is.NoErr(c.Close())
	e.await("the second is refused", func() bool { return len(events(e.ring, timeline.RequestRefused)) == 1 })
	refused := events(e.ring, timeline.RequestRefused)[0]
	is.Equal(refused.Code, result.CallerGone)
	is.True(refused.NotRun)
	e.engine.Set(fault.Settings{})
}

// A non-idempotent run must continue after its caller disconnects, and its answer
// must be replayed to duplicates.
func TestRunContinuesAfterDisconnect(t *testing.T) {
	for _, client := range clients(t) {
		t.Run(client.name, func(t *testing.T) {
			is := is.New(t)
			e := startTestServer(t, testServerOptions{})
			e.bookings.Set(fault.Settings{Paused: true})
			ctx, cancel := context.WithCancel(t.Context())
			r := e.request(http.MethodPost, "/services/bookings/x", clubKey, "{}", IdempotencyHeader, "k").WithContext(ctx)
			go func() { _, _ = send(client.http, r) }()
			e.await("the run is sent", func() bool { return len(events(e.backends, timeline.BackendReceived)) == 1 })
			second := e.begin(http.MethodPost, "/services/bookings/x", clubKey, "{}", IdempotencyHeader, "k")
			third := e.begin(http.MethodPost, "/services/bookings/x", clubKey, "{}", IdempotencyHeader, "k")
			cancel()
			time.Sleep(20 * time.Millisecond) // time to detect the disconnect
			e.bookings.Set(fault.Settings{})
			a, b := <-second, <-third
			is.Equal(a.StatusCode, http.StatusOK)
			is.Equal(a.text, b.text)
			is.Equal(e.bookings.TotalRuns(), 1)
			again := e.call(http.MethodPost, "/services/bookings/x", clubKey, "{}", IdempotencyHeader, "k")
			is.Equal(again.text, a.text)
		})
	}
}

// Requests that differ only in the query must have different fingerprints.
func TestFingerprintCoversQuery(t *testing.T) {
	is := is.New(t)
	request := func(target string) *http.Request {
		r, err := http.NewRequest(http.MethodGet, target, nil)
		is.NoErr(err)
		return r
	}
	a := fingerprint(request("/services/entries/x?child=1"), "entries", nil)
	is.Equal(a, fingerprint(request("/services/entries/x?child=1"), "entries", nil))
	is.True(a != fingerprint(request("/services/entries/x?child=2"), "entries", nil))
}

func TestMetricsPruneRemovedClasses(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	e.call(http.MethodGet, "/services/entries/x", clubKey, "")
	e.call(http.MethodGet, "/services/entries/x", "nobody", "")
	text := func() string {
		var b bytes.Buffer
		e.server.WriteMetrics(&b)
		return b.String()
	}
	e.await("both are counted", func() bool {
		return strings.Contains(text(), `hawthornwick_requests_answered_total{class="status"} 1`) &&
			strings.Contains(text(), `hawthornwick_requests_failed_total{class="",result="2002"} 1`)
	})
	is.True(strings.Contains(text(), `hawthornwick_first_byte_seconds_count{class="status"} 1`))
	e.apply(func(c *config.Config, _ map[config.KeyDigest]config.KeyState) {
		c.Classes = c.Classes[1:]
		c.Services = c.Services[1:]
	})
	e.await("the class is removed", func() bool { return !strings.Contains(text(), `class="status"`) })
	is.True(strings.Contains(text(), `class=""`))
}
