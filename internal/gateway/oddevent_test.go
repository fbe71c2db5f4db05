package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// TestOddBytesBreakStreamOff guards against bytes that no run made, from a server that sends
// them in the middle of a stream, which the caller receives as an event, or which end its
// stream as complete. A stream that may be resumed goes on at another server.
func TestOddBytesBreakStreamOff(t *testing.T) {
	const first = "id: 1\ndata: chunk 1\n\nid: 2\ndata: chunk 2\n\n"
	for name, odd := range map[string]string{
		"second answer": "HTTP/1.1 200 OK\r\n\r\n",
		"binary":        "\x00\xff\n\n",
		"empty id":      "id:\ndata: x\n\n",
		"id goes back":  "id: 1\ndata: x\n\n",
		"same id":       "id: 2\ndata: x\n\n",
		"no number":     "id: x\ndata: x\n\n",
	} {
		for _, path := range []string{"/stream/x", "/plain-stream/x"} {
			for framing, chunked := range map[string]bool{"in chunks": true, "without framing": false} {
				t.Run(strings.Join([]string{name, path, framing}, " "), func(t *testing.T) {
					is := is.New(t)
					s := newTestStack(t)
					s.addRawServer("0", func(r *http.Request) (string, bool) { return streamText(r, first+odd, chunked), true })
					got := s.call(http.MethodPost, path, "", testLeft, "2000")
					is.True(got.truncated)
					is.Equal(got.body, first)
					is.True(s.recordedFailure(result.StreamBroken, `after id "2"`))

					s.addServer("1", streamEvents(5, false))
					if path != "/stream/x" {
						return
					}
					got = s.call(http.MethodPost, path, "", testLeft, "2000", testAttempt, "b")
					is.True(!got.truncated)
					is.Equal(eventIDs(got.body), []string{"1", "2", "3", "4", "5"})
				})
			}
		}
	}
}

// recordedFailure reports whether an attempt failed with the code and the text as its detail.
func (s *testStack) recordedFailure(code result.Code, text string) bool {
	events, _ := s.ring.Snapshot()
	return slices.ContainsFunc(events, func(e timeline.Event) bool {
		return e.Kind == timeline.AttemptFailed && e.Code == code && strings.Contains(e.Detail, text)
	})
}

// streamText returns a stream answer with the given body.
func streamText(r *http.Request, body string, chunked bool) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0\r\nContent-Type: text/event-stream\r\n", testAttempt, r.Header.Get(testAttempt), testSigned)
	if !chunked {
		return head + "Connection: close\r\n\r\n" + body
	}
	return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}
