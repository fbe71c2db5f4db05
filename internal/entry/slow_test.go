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

// shutsDown fails the test if an open connection holds up a planned stop.
func (e *edge) shutsDown() {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := e.listener.Shutdown(ctx); err != nil {
		e.t.Fatalf("connections still open: %v", err)
	}
}

func TestSlowBodyIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{bodyTimeout: shortTimeout})
	got := readReply(t, e.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+clubKey+"\r\nContent-Length: 100\r\n\r\n{"))
	is.Equal(got.refusal(t).Code, result.BodyTimeout)
	is.True(got.refusal(t).NotRun)
	e.shutsDown()
}

func TestSlowBodyAfterARefusalHoldsNothing(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{bodyTimeout: shortTimeout})
	c := e.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\nContent-Length: 100\r\n\r\n{")
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout * 3 / 4)) // the answer does not wait for the body
	is.Equal(readReply(t, c).refusal(t).Code, result.KeyUnknown)
	e.shutsDown()
}

func TestSlowStreamedBodyHoldsNothing(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{bodyTimeout: shortTimeout})
	c := e.raw("PUT /services/entries/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\nContent-Length: 100\r\n\r\n{")
	got := readReply(t, c)
	is.Equal(got.refusal(t).Code, result.BodyTimeout)
	is.True(!got.refusal(t).NotRun) // a part of it was sent
	is.True(got.Header.Get(ResultHeader) != "")
	e.shutsDown()
}

func TestShortBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{})
	c := e.raw("POST /services/bookings/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nAuthorization: Bearer " + clubKey + "\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	is.Equal(readReply(t, c).refusal(t).Code, result.BadRequest)
	is.Equal(e.bookings.TotalRuns(), 0)
}

func TestSlowHeadersAreCutOff(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{listener: ListenerOptions{HeaderTimeout: shortTimeout}})
	c := e.raw("GET /v1/models HTTP/1.1\r\nHost:")
	text, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "200 OK"))
}

func TestLargeHeaders(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{listener: ListenerOptions{HeaderBytes: 4000}})
	e.server.o.Limits.HeaderBytes = 4000
	got := e.call(http.MethodGet, "/v1/models", clubKey, "", "X-Long", strings.Repeat("x", 4000))
	is.Equal(got.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(got.refusal(t).Code, result.HeaderTooLarge)
	got = e.call(http.MethodGet, "/v1/models", clubKey, "", "X-Long", strings.Repeat("x", 40000))
	is.Equal(got.StatusCode, http.StatusRequestHeaderFieldsTooLarge) // the HTTP server's own answer
}

// A deadline that an earlier request left must not hit a later one.
func TestPauseBetweenRequestsOnAConnection(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{bodyTimeout: shortTimeout})
	c := e.raw("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n\r\n")
	is.Equal(readReply(t, c).StatusCode, http.StatusOK)
	time.Sleep(shortTimeout + 20*time.Millisecond)
	_, err := io.WriteString(c, "PUT /services/entries/x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\nAuthorization: Bearer "+clubKey+"\r\n\r\n")
	is.NoErr(err)
	first := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	_, err = io.ReadFull(c, first)
	is.NoErr(err)
	is.True(bytes.HasPrefix(first, []byte("HTTP/1.1 100 ")))
	_, err = io.WriteString(c, "{}")
	is.NoErr(err)
	is.Equal(readReply(t, c).StatusCode, http.StatusOK)
}

// An answer that pauses for longer than a write may take is no slow caller.
func TestPauseWithinAStream(t *testing.T) {
	for _, client := range clients(t) {
		t.Run(client.name, func(t *testing.T) {
			is := is.New(t)
			e := startEdge(t, edgeOptions{
				bodyTimeout: shortTimeout,
				engine:      engine.Options{AnswerTokens: 3, BetweenTokens: 2 * shortTimeout},
			})
			got, err := send(client.http, e.request(http.MethodPost, "/v1/chat/completions", clubKey, streamedChat))
			is.NoErr(err)
			is.True(strings.HasSuffix(strings.TrimSpace(got.text), "[DONE]"))
		})
	}
}

func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{bodyTimeout: shortTimeout})
	e.replace("entries", func(w http.ResponseWriter, r *http.Request) {
		echoAttempt(w, r)
		piece := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
	e.raw("GET /services/entries/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n\r\n")
	e.await("the request began", func() bool { return len(events(e.ring, timeline.AttemptSent)) == 1 })
	e.await("the caller was given up", func() bool { return e.server.Active() == 0 })
	failed := events(e.ring, timeline.RequestFailed)
	is.Equal(len(failed), 1)
	is.Equal(failed[0].Code, result.CallerGone)
}

func TestConnectionsOverTheLimitWait(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{listener: ListenerOptions{MaxConnections: 1}})
	first := e.raw("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n\r\n")
	is.Equal(readReply(t, first).StatusCode, http.StatusOK)
	second := e.raw("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n\r\n")
	_ = second.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	_, err := second.Read(make([]byte, 1))
	is.True(isTimeout(err))
	_ = second.SetReadDeadline(time.Now().Add(5 * time.Second))
	is.NoErr(first.Close())
	is.Equal(readReply(t, second).StatusCode, http.StatusOK)
}

func TestAmbiguousLengthsAreRefused(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{})
	const head = "PUT /services/entries/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\n"
	got := readReply(t, e.raw(head+"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x"))
	is.Equal(got.StatusCode, http.StatusBadRequest)
	got = readReply(t, e.raw(head+"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"))
	is.Equal(got.StatusCode, http.StatusNotImplemented)
	is.Equal(e.entries.TotalRuns(), 0)
}
