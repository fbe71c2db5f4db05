package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// invalidAnswers are answers that are none in the protocol. %s stands for the fields that a
// server sets; body and length are those of the answer that it may have meant.
var invalidAnswers = map[string]string{
	"version 2.0":              "HTTP/2.0 200 OK\r\n%sContent-Length: 4\r\n\r\nodd!",
	"status 000":               "HTTP/1.1 000 Nothing\r\n%sContent-Length: 4\r\n\r\nodd!",
	"status 099":               "HTTP/1.1 099 Nothing\r\n%sContent-Length: 4\r\n\r\nodd!",
	"status 600":               "HTTP/1.1 600 Beyond\r\n%sContent-Length: 4\r\n\r\nodd!",
	"status 999, not run":      "HTTP/1.1 999 Beyond\r\n%s" + testNotRun + ": 1\r\nContent-Length: 4\r\n\r\nodd!",
	"other protocol":           "HTTP/1.1 101 Switching Protocols\r\n%sConnection: Upgrade\r\nUpgrade: odd\r\n\r\nodd!",
	"other protocol, no field": "HTTP/1.1 101 Switching Protocols\r\n%s\r\n",
	"blank within a name":      "HTTP/1.1 200 OK\r\n%sOdd Field: odd!\r\nContent-Length: 4\r\n\r\nodd!",
	"blank before a colon":     "HTTP/1.1 200 OK\r\n%sOdd-Field : odd!\r\nContent-Length: 4\r\n\r\nodd!",
	"blank before a name":      "HTTP/1.1 200 OK\r\n%s Odd-Field: odd!\r\nContent-Length: 4\r\n\r\nodd!",
	"tab before a name":        "HTTP/1.1 200 OK\r\n%s\tOdd-Field: odd!\r\nContent-Length: 4\r\n\r\nodd!",
	"length with a blank":      "HTTP/1.1 200 OK\r\n%sContent-Length : 4\r\n\r\nodd! and more",
	"chunks with a blank":      "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n4\r\nodd!\r\n0\r\n\r\n",
	"control byte in a name":   "HTTP/1.1 200 OK\r\n%sOdd\x01Field: odd!\r\nContent-Length: 4\r\n\r\nodd!",
	"zero byte in a name":      "HTTP/1.1 200 OK\r\n%sOdd\x00Field: odd!\r\nContent-Length: 4\r\n\r\nodd!",
	"failure, blank":           "HTTP/1.1 500 Odd\r\n%sOdd Field: odd!\r\nContent-Length: 4\r\n\r\nodd!",
	"refusal, blank":           "HTTP/1.1 503 Odd\r\n%s" + testNotRun + ": 1\r\nOdd Field: odd!\r\nContent-Length: 4\r\n\r\nodd!",
	"early answer, blank":      "HTTP/1.1 103 Early Hints\r\nOdd Field: odd!\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nodd!",
	"trailer, blank":           "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nodd!\r\n0\r\nOdd Field: odd!\r\n\r\n",
	"trailer, control byte":    "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nodd!\r\n0\r\nOdd\x01Field: odd!\r\n\r\n",
}

// ownFields are the fields of a server's answer to a request.
func ownFields(r *http.Request) string {
	return fmt.Sprintf("%s: %s\r\n%s: 0\r\n", testAttempt, r.Header.Get(testAttempt), testSigned)
}

// TestInvalidAnswerIsNotRelayed guards against callers that get as an answer what is none: a
// status that no answer has, a line in its head that is no field, or a body whose length or
// encoding stood in such a line.
func TestInvalidAnswerIsNotRelayed(t *testing.T) {
	for name, text := range invalidAnswers {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/plain-stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				s := newTestStack(t)
				answer := func(r *http.Request) (string, bool) { return fmt.Sprintf(text, ownFields(r)), true }
				s.addRawServer("0", answer)
				s.addRawServer("1", answer)
				got := s.call(http.MethodPost, path, "pay", testLeft, "400")
				is.True(got.truncated || got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout)
				is.True(!strings.Contains(got.body, "odd!"))
				is.True(!strings.Contains(fmt.Sprint(got.header), "odd!"))
				checkNoPromise(t, got)
			})
		}
	}
}

// TestInvalidAnswerIsTriedAgain checks that a request that may be repeated is, and that a
// stream goes on, on a server whose answers are valid.
func TestInvalidAnswerIsTriedAgain(t *testing.T) {
	for name, text := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			var requests atomic.Int64
			answer := func(r *http.Request) (string, bool) {
				if requests.Add(1)%2 == 1 {
					return fmt.Sprintf(text, ownFields(r)), true
				}
				return "HTTP/1.1 200 OK\r\n" + ownFields(r) + "Content-Length: 4\r\n\r\ndone", false
			}
			s.addRawServer("0", answer)
			s.addRawServer("1", answer)
			got := s.call(http.MethodGet, "/safe/x", "")
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "done")
		})
	}
}

// TestStreamGoesOnAfterInvalidTrailer guards against a stream that ends as complete with a
// trailer that is none, and against one that is lost.
func TestStreamGoesOnAfterInvalidTrailer(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	answer := func(r *http.Request) (string, bool) {
		head := "HTTP/1.1 200 OK\r\n" + ownFields(r) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		if r.Header.Get(testResume) == "" {
			return head + "f\r\nid: 1\ndata: a\n\n\r\n0\r\nOdd Field: 1\r\n\r\n", true
		}
		return head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n", true
	}
	s.addRawServer("0", answer)
	s.addRawServer("1", answer)
	got := s.call(http.MethodPost, "/stream/x", "")
	is.True(!got.truncated)
	is.Equal(eventIDs(got.body), []string{"1", "2"})
	got = s.call(http.MethodPost, "/plain-stream/x", "", testAttempt, "b")
	is.True(got.truncated)
}

// TestInvalidIdentityIsNotBelieved guards against an answer without framing that is confirmed
// by a statement which is no answer.
func TestInvalidIdentityIsNotBelieved(t *testing.T) {
	for _, statement := range []string{
		"HTTP/1.1 000 Nothing\r\n%sContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n%sOdd Field: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n%sOdd-Field : 1\r\nContent-Length: 0\r\n\r\n",
	} {
		is := is.New(t)
		s := newTestStack(t)
		s.addScriptedServer("0", func(r *http.Request) (string, bool) {
			if r.URL.Path == testIdentityPath {
				return fmt.Sprintf(statement, fmt.Sprintf("%s: 0\r\n%s: %d\r\n", testID, testStart, testStarted)), true
			}
			return "HTTP/1.1 200 OK\r\n" + ownFields(r) + "\r\nperhaps a part", true
		})
		got := s.call(http.MethodPost, "/once/x", "pay", testLeft, "1000")
		is.True(got.status >= http.StatusInternalServerError)
	}
}
