package entry

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
)

// requestHTTP10 returns a request of HTTP/1.0 with a key and header fields, each with its
// line end.
func requestHTTP10(method, path, body string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n%s",
		method, path, clubKey, len(body), strings.Join(fields, ""), body)
}

// readHead reads from the connection until the end of the answer's head.
func readHead(t *testing.T, c net.Conn) *bufio.Reader {
	t.Helper()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if line == "\r\n" {
			return r
		}
	}
}

func TestBrokenAnswerResetsHTTP10Caller(t *testing.T) {
	cert, key := certificate(t)
	for name, o := range map[string]ListenerOptions{
		"plain":               {},
		"limited connections": {MaxConnections: 4},
		"TLS":                 {CertificateFile: cert, KeyFile: key},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startTestServer(t, testServerOptions{listener: o})
			e.entries.Set(fault.Settings{BreakAfter: 3})
			dial := e.raw
			if o.KeyFile != "" {
				dial = e.rawTLS
			}
			got, err := io.ReadAll(dial(requestHTTP10(http.MethodPut, "/services/entries"+plain.EchoPath, "a longer body")))
			is.True(bytes.HasPrefix(got, []byte("HTTP/1.0 200")) || o.KeyFile != "")
			is.True(err != nil) // an end without an error would make the part look whole
		})
	}
}

func TestListenerCloseResetsHTTP10CallerInsideAnswer(t *testing.T) {
	for _, secured := range []bool{false, true} {
		is := is.New(t)
		o := testServerOptions{engine: engine.Options{BetweenTokens: time.Hour}}
		if secured {
			o.listener.CertificateFile, o.listener.KeyFile = certificate(t)
		}
		e := startTestServer(t, o)
		dial := e.raw
		if secured {
			dial = e.rawTLS
		}
		rest := readHead(t, dial(requestHTTP10(http.MethodPost, "/v1/chat/completions", streamedChat)))
		_ = e.listener.Close()
		_, err := io.ReadAll(rest)
		is.True(err != nil)
	}
}

func TestWholeAnswerReachesSlowHTTP10Caller(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	body := strings.Repeat("0123456789abcdef", 8<<10)
	c := e.raw("")
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(16 << 10))
	_, err := io.WriteString(c, requestHTTP10(http.MethodPut, "/services/entries"+plain.EchoPath, body))
	is.NoErr(err)
	e.await("the handler has returned", func() bool { return e.entries.TotalRuns() == 1 && e.server.Active() == 0 })
	got, err := io.ReadAll(readHead(t, c))
	is.NoErr(err)
	is.Equal(string(got), body)
}

func TestHTTP10KeepAliveAfterFramedAnswers(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	keep := "Connection: keep-alive\r\n"
	paths := []string{"/v1/models", "/services/entries/run", "/services/none/run", "/v1/models"}
	c := e.raw("")
	answers := bufio.NewReader(c)
	for _, path := range paths {
		_, err := io.WriteString(c, requestHTTP10(http.MethodGet, path, "", keep))
		is.NoErr(err)
		response, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		is.True(response.ContentLength > 0)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
	}
}

// An answer to HTTP/1.1 has chunks also on a connection that is closed after it.
func TestBrokenAnswerLacksLastChunkWithConnectionClose(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	e.entries.Set(fault.Settings{BreakAfter: 3})
	got := e.raw("PUT /services/entries" + plain.EchoPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " +
		clubKey + "\r\nContent-Length: 13\r\n\r\na longer body")
	response, err := http.ReadResponse(bufio.NewReader(got), nil)
	is.NoErr(err)
	is.Equal(response.TransferEncoding, []string{"chunked"})
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
}

func TestBrokenAnswerFailsAtFramedCaller(t *testing.T) {
	for _, client := range clients(t) {
		for _, closing := range []bool{false, true} {
			is := is.New(t)
			e := startTestServer(t, testServerOptions{})
			e.entries.Set(fault.Settings{BreakAfter: 3})
			r := e.request(http.MethodPut, "/services/entries"+plain.EchoPath, clubKey, "a longer body")
			r.Close = closing
			got, err := send(client.http, r)
			is.Equal(got.StatusCode, http.StatusOK)
			is.True(err != nil)
		}
	}
}

// rawTLS is like raw with TLS.
func (e *testServer) rawTLS(text string) net.Conn {
	e.t.Helper()
	c := tls.Client(e.raw(""), &tls.Config{InsecureSkipVerify: true})
	if _, err := io.WriteString(c, text); err != nil {
		e.t.Fatal(err)
	}
	return c
}
