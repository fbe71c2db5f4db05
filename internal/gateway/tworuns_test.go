package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/eventstream"
)

// connServer is a raw server that knows on which of its connections a request arrives.
type connServer struct {
	conns atomic.Int64
	// answer returns what to write for the nth request, from 1, of the connection conn, from
	// 1. Empty text closes the connection.
	answer func(r *http.Request, conn, nth int64) string
}

// addConnServer adds a backend server that keeps its connections open.
func (s *testStack) addConnServer(id string, answer func(r *http.Request, conn, nth int64) string) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	server := &connServer{answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go server.serve(c, server.conns.Add(1))
		}
	}()
	s.addAddress(id, l.Addr().String())
}

func (c *connServer) serve(conn net.Conn, number int64) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for nth := int64(1); ; nth++ {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := c.answer(r, number, nth)
		if _, err := io.WriteString(conn, text); err != nil || text == "" {
			return
		}
	}
}

// plainText returns an answer to r with the status line's end and further header lines.
func plainText(r *http.Request, status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 0\r\n%sContent-Length: %d\r\n\r\n%s",
		status, testAttempt, r.Header.Get(testAttempt), testSigned, fields, len(body), body)
}

func refusalText(r *http.Request) string {
	return plainText(r, "503 Service Unavailable", testNotRun+": 1\r\n", "")
}

// TestServerGetsOneAttemptOfRequest guards against an answer to an earlier attempt that is
// taken for that to a later one: both carry the same id, and only the server tells them apart.
func TestServerGetsOneAttemptOfRequest(t *testing.T) {
	for name, answer := range map[string]func(*http.Request) string{
		"refuses": refusalText,
		"fails":   func(r *http.Request) string { return plainText(r, "500 Internal Server Error", "", "") },
		"breaks off": func(r *http.Request) string {
			return streamText(r, events("1", "2", "4"), true)
		},
		"sends two answers": func(r *http.Request) string {
			return plainText(r, "500 Internal Server Error", "", "") + refusalText(r)
		},
	} {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/plain-stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				s := newTestStack(t)
				attempts := [2]atomic.Int64{}
				for i, id := range []string{"0", "1"} {
					s.addConnServer(id, func(r *http.Request, _, _ int64) string {
						if r.URL.Path != testIdentityPath {
							attempts[i].Add(1)
						}
						return answer(r)
					})
				}
				_ = s.call(http.MethodPost, path, "", testLeft, "400")
				is.True(attempts[0].Load() <= 1)
				is.True(attempts[1].Load() <= 1)
				is.True(attempts[0].Load()+attempts[1].Load() >= 1)
			})
		}
	}
}

// TestSecondCopyMeetsNextRequest guards against a second copy of an answer on a kept
// connection that is relayed as the answer to the next request.
func TestSecondCopyMeetsNextRequest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x", "/plain-stream/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			var earlier atomic.Pointer[string]
			s.addConnServer("0", func(r *http.Request, _, nth int64) string {
				own := streamText(r, "id: 1\ndata: of "+r.Header.Get(testAttempt)+"\n\n", true)
				if nth > 1 {
					return *earlier.Load() // once more; the request runs all the same
				}
				earlier.Store(&own)
				return own
			})
			for _, attempt := range []string{"a", "b", "c", "d"} {
				got := s.call(http.MethodPost, path, "", testLeft, "1000", testAttempt, attempt)
				if got.status == http.StatusOK {
					is.Equal(got.body, "id: 1\ndata: of "+attempt+"\n\n")
				}
				is.True(got.status == http.StatusOK || got.status == http.StatusBadGateway)
			}
		})
	}
}

// TestResumeAtAnotherInstance guards against events of one run in the answer of another, if a
// caller resumes at a second instance while the first one still relays.
func TestResumeAtAnotherInstance(t *testing.T) {
	is := is.New(t)
	goOn := make(chan struct{})
	slow := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		from, err := strconv.Atoi(r.Header.Get(testResume))
		if err != nil {
			from = 0 // it is not resumed
		}
		for id := from + 1; id <= 6; id++ {
			if from == 0 && id == 3 {
				_ = http.NewResponseController(w).Flush()
				<-goOn
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: run after %d\n\n", id, from)
		}
	}
	first, second := newTestStack(t, slow), newTestStack(t)
	second.addAddress("0", first.servers[0].Address)
	replies := make(chan reply, 1)
	go func() { replies <- first.call(http.MethodPost, "/stream/x", "", testLeft, "5000") }()
	for first.gateway.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	resumed := second.call(http.MethodPost, "/stream/x", "", testLeft, "5000", testResume, "2")
	close(goOn)
	got := <-replies
	is.Equal(eventIDs(resumed.body), []string{"3", "4", "5", "6"})
	is.Equal(strings.Count(resumed.body, "run after 2"), 4)
	is.Equal(eventIDs(got.body), []string{"1", "2", "3", "4", "5", "6"})
	is.Equal(strings.Count(got.body, "run after 0"), 6)
	is.True(!got.truncated && !resumed.truncated)
}

// versionProtocol is testProtocol with events that may state a version of the weights.
type versionProtocol struct{ testProtocol }

func (versionProtocol) EventRules() eventstream.Rules {
	return eventstream.Rules{Consecutive: true, KnownFieldsOnly: true, ExtraFields: []string{"x-version"}}
}

// TestResumeAtOtherWeights guards against a change of the weights that the caller is not told
// of although the server that resumes the run states it.
func TestResumeAtOtherWeights(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Protocol = versionProtocol{}
	const rest = "x-version: 2\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	answer := func(r *http.Request) (string, bool) {
		if r.Header.Get(testResume) == "" {
			return withField(streamText(r, events("1", "2")+"id: 3\nda", false), "Test-Version: 1"), true
		}
		return withField(streamText(r, rest, true), "Test-Version: 2"), true
	}
	s.addRawServer("0", answer)
	s.addRawServer("1", answer)
	got := s.call(http.MethodPost, "/stream/x", "", testLeft, "2000")
	is.True(!got.truncated)
	is.Equal(got.body, events("1", "2")+rest)
	is.Equal(got.header.Get("Test-Version"), "1")
}

// withField adds a header line to the text of an answer.
func withField(answer, line string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+line+"\r\n", 1)
}
