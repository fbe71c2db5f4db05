package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// identityAnswer returns the answer of a server that states who it is.
func identityAnswer(id string, start int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", testID, id, testStart, start)
}

// addRawServer adds a backend server that states who it is, and writes what answer returns for
// each other request. It closes the connection then if end is true.
func (s *testStack) addRawServer(id string, answer func(r *http.Request) (text string, end bool)) {
	s.t.Helper()
	s.addScriptedServer(id, func(r *http.Request) (string, bool) {
		if r.URL.Path == testIdentityPath {
			return identityAnswer(id, testStarted), false
		}
		return answer(r)
	})
}

// addScriptedServer is addRawServer for a server that need not state who it is.
func (s *testStack) addScriptedServer(id string, answer func(r *http.Request) (text string, end bool)) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		requests := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			text, end := answer(r)
			if _, err := io.WriteString(c, text); err != nil || end {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	s.addAddress(id, l.Addr().String())
}

// TestRefusalWrittenAgainIsNotBelieved guards against a server's earlier refusal on a kept
// connection that is taken for the answer to a later request, which may have run.
func TestRefusalWrittenAgainIsNotBelieved(t *testing.T) {
	const (
		full   = "HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n"
		moved  = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
		broken = "HTTP/1.1 400 Bad Request\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n"
	)
	for name, refusal := range map[string]string{
		"full": full + testAttempt + ": old\r\n\r\n", "full, no id": full + "\r\n",
		"other server": moved + testAttempt + ": old\r\n\r\n", "other server, no id": moved + "\r\n",
		"malformed": broken + testAttempt + ": old\r\n\r\n", "malformed, no id": broken + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			requests := atomic.Int64{}
			s.addRawServer("0", func(r *http.Request) (string, bool) {
				if requests.Add(1) > 1 {
					return refusal, false // the request runs all the same
				}
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0\r\nContent-Length: 2\r\n\r\nok", testAttempt, r.Header.Get(testAttempt), testSigned), false
			})
			is.Equal(s.call(http.MethodGet, "/safe/x", "").status, http.StatusOK)
			got := s.call(http.MethodGet, "/safe/x", "", testAttempt, "b", testLeft, "400")
			is.True(got.status != http.StatusOK)
			is.True(!strings.Contains(got.body, `"not_run":true`))
			is.True(got.status != http.StatusServiceUnavailable)
			is.Equal(got.header.Get(testNotRun), "")
		})
	}
}

// TestErrorAfterBrokenStreamIsNotRelayed guards against a stream that goes on with the error
// answer of the server that was to resume it, or ends as if it were complete.
func TestErrorAfterBrokenStreamIsNotRelayed(t *testing.T) {
	for name, head := range map[string]string{
		"server error":    "500 Internal Server Error\r\n%s\r\nContent-Length: 5",
		"not found":       "404 Not Found\r\n%s\r\nContent-Length: 5",
		"malformed":       "400 Bad Request\r\n%s\r\n" + testNotRun + ": 1\r\nContent-Length: 5",
		"full":            "503 Service Unavailable\r\n%s\r\n" + testNotRun + ": 1\r\nContent-Length: 5",
		"not a stream":    "200 OK\r\n%s\r\nContent-Type: text/plain\r\nContent-Length: 5",
		"no content type": "200 OK\r\n%s\r\nContent-Length: 5",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			requests := atomic.Int64{}
			answer := func(r *http.Request) (string, bool) {
				own := fmt.Sprintf("%s: %s\r\n%s: 0", testAttempt, r.Header.Get(testAttempt), testSigned)
				if requests.Add(1) == 1 {
					return "HTTP/1.1 200 OK\r\n" + own + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
						"f\r\nid: 1\ndata: a\n\n\r\n", true
				}
				return "HTTP/1.1 " + fmt.Sprintf(head, own) + "\r\n\r\nerror", false
			}
			s.addRawServer("0", answer)
			s.addRawServer("1", answer)
			got := s.call(http.MethodPost, "/stream/x", "", testLeft, "400")
			is.True(got.truncated)
			is.Equal(got.body, "id: 1\ndata: a\n\n")
			is.True(requests.Load() >= 2)
		})
	}
}

// TestAnswerThatEndsInItsHeadIsNoAnswer guards against a truncated head that is relayed with
// an empty or short body, framed as whole.
func TestAnswerThatEndsInItsHeadIsNoAnswer(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nServer: s\r\n" + testAttempt + ": a\r\n" + testSigned + ": 0\r\nContent-Length: 2\r\n\r\n"
	for _, length := range []int{5, len("HTTP/1.1 200"), len("HTTP/1.1 200 OK\r\n"), len(whole) - 30, len(whole) - 2, len(whole) - 1} {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
			t.Run(fmt.Sprintf("%d%s", length, path), func(t *testing.T) {
				is := is.New(t)
				s := newTestStack(t)
				s.addRawServer("0", func(*http.Request) (string, bool) { return whole[:length], true })
				got := s.call(http.MethodPost, path, "", testLeft, "400")
				is.True(got.status >= http.StatusInternalServerError)
				is.True(!strings.Contains(got.body, `"not_run":true`))
			})
		}
	}
}
