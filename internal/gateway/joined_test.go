package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestStreamIsNotJoinedToAnotherAnswer guards against a stream that is appended to a part of a
// long answer that was no stream and broke off.
func TestStreamIsNotJoinedToAnotherAnswer(t *testing.T) {
	for _, status := range []string{"202 Accepted", "206 Partial Content", "404 Not Found"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.addRawServer("0", func(r *http.Request) (string, bool) {
				head := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 0\r\nTransfer-Encoding: chunked\r\n\r\n", status, testAttempt, r.Header.Get(testAttempt), testSigned)
				part := strings.Repeat("x", maxBufferedBytes+1)
				return head + fmt.Sprintf("%x\r\n%s\r\n", len(part), part), true
			})
			s.addServer("1", streamEvents(testPieces, false))
			s.preferFirst()
			got := s.call(http.MethodPost, "/stream/x", "ask")
			is.True(got.truncated)
			is.True(!strings.Contains(got.body, "chunk"))
		})
	}
}
