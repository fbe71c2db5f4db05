package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const shortTimeout = 60 * time.Millisecond

// requireShutdown fails the test if an open connection delays a planned stop.
func (e *testServer) requireShutdown() {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := e.listener.Shutdown(ctx); err != nil {
		e.t.Fatalf("connections still open: %v", err)
	}
}

func TestSlowBody(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{bodyTimeout: shortTimeout})
	got := readResponse(t, e.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+clubKey+"\r\nContent-Length: 100\r\n\r\n{"))
	is.Equal(got.refusal(t).Code, result.BodyTimeout)
	is.True(got.refusal(t).NotRun)
	e.requireShutdown()
}

// A caller that stops sending its body after a refusal must not keep the
// connection open.
func TestSlowBodyAfterRefusal(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{bodyTimeout: shortTimeout})
	c := e.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\nContent-Length: 100\r\n\r\n{")
	_ = c.SetReadDeadline(time.Now().Add(bodyDrainTimeout * 3 / 4)) // the answer does not wait for the body
	is.Equal(readResponse(t, c).refusal(t).Code, result.KeyUnknown)
	e.requireShutdown()
}

// A caller that stops sending a streamed body must not keep the connection open.
func TestSlowStreamedBody(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{bodyTimeout: shortTimeout})
	c := e.raw("PUT /services/entries/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\nContent-Length: 100\r\n\r\n{")
	got := readResponse(t, c)
	is.Equal(got.refusal(t).Code, result.BodyTimeout)
	is.True(!got.refusal(t).NotRun) // a part of it was sent
	is.True(got.Header.Get(ResultHeader) != "")
	e.requireShutdown()
}

// A body that ends before its Content-Length must be refused as "not run".
func TestShortBody(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	c := e.raw("POST /services/bookings/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nAuthorization: Bearer " + clubKey + "\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	is.Equal(readResponse(t, c).refusal(t).Code, result.BadRequest)
	is.Equal(e.bookings.TotalRuns(), 0)
}

func TestSlowHeaders(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{listener: ListenerOptions{HeaderTimeout: shortTimeout}})
	c := e.raw("GET /v1/models HTTP/1.1\r\nHost:")
	text, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "200 OK"))
}

func TestLargeHeaders(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{listener: ListenerOptions{MaxHeaderBytes: 4000}})
	e.server.o.Limits.HeaderBytes = 4000
	got := e.call(http.MethodGet, "/v1/models", clubKey, "", "X-Long", strings.Repeat("x", 4000))
	is.Equal(got.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(got.refusal(t).Code, result.HeaderTooLarge)
	got = e.call(http.MethodGet, "/v1/models", clubKey, "", "X-Long", strings.Repeat("x", 40000))
	is.Equal(got.StatusCode, http.StatusRequestHeaderFieldsTooLarge) // the HTTP server's own answer
}

// Guards against a deadline of an earlier request that still applies to a later
// one on the same connection.
func TestPauseBetweenRequests(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{bodyTimeout: shortTimeout})
	c := e.raw("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n\r\n")
	is.Equal(readResponse(t, c).StatusCode, http.StatusOK)
	time.Sleep(shortTimeout + 20*time.Millisecond)
	_, err := io.WriteString(c, "PUT /services/entries/x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\nAuthorization: Bearer "+clubKey+"\r\n\r\n")
	is.NoErr(err)
	first := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	_, err = io.ReadFull(c, first)
	is.NoErr(err)
	is.True(bytes.HasPrefix(first, []byte("HTTP/1.1 100 ")))
	_, err = io.WriteString(c, "{}")
	is.NoErr(err)
	is.Equal(readResponse(t, c).StatusCode, http.StatusOK)
}

// Guards against a write deadline that also covers pauses of the answer: it would
// cut off a caller that reads, but waits longer than the timeout for a token.
func TestPauseWithinStream(t *testing.T) {
	for _, client := range clients(t) {
		t.Run(client.name, func(t *testing.T) {
			is := is.New(t)
			e := startTestServer(t, testServerOptions{
				bodyTimeout: shortTimeout,
				engine:      engine.Options{AnswerTokens: 3, BetweenTokens: 2 * shortTimeout},
			})
			got, err := send(client.http, e.request(http.MethodPost, "/v1/chat/completions", clubKey, streamedChat))
			is.NoErr(err)
			is.True(strings.HasSuffix(strings.TrimSpace(got.text), "[DONE]"))
		})
	}
}

func TestCallerNotReading(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{bodyTimeout: shortTimeout})
	e.replaceBackend("entries", func(w http.ResponseWriter, r *http.Request) {
		echoAttempt(w, r)
		chunk := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	e.raw("GET /services/entries/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n\r\n")
	e.await("the request began", func() bool { return len(events(e.ring, timeline.AttemptSent)) == 1 })
	e.await("the caller is disconnected", func() bool { return e.server.Active() == 0 })
	failed := events(e.ring, timeline.RequestFailed)
	is.Equal(len(failed), 1)
	is.Equal(failed[0].Code, result.CallerGone)
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{listener: ListenerOptions{MaxConnections: 1}})
	first := e.raw("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n\r\n")
	is.Equal(readResponse(t, first).StatusCode, http.StatusOK)
	second := e.raw("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n\r\n")
	_ = second.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	_, err := second.Read(make([]byte, 1))
	is.True(isTimeout(err))
	_ = second.SetReadDeadline(time.Now().Add(5 * time.Second))
	is.NoErr(first.Close())
	is.Equal(readResponse(t, second).StatusCode, http.StatusOK)
}

func TestAmbiguousLengths(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	const head = "PUT /services/entries/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n"
	got := readResponse(t, e.raw(head+"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x"))
	is.Equal(got.StatusCode, http.StatusBadRequest)
	got = readResponse(t, e.raw(head+"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"))
	is.Equal(got.StatusCode, http.StatusNotImplemented)
	is.Equal(e.entries.TotalRuns(), 0)
}
