package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/entry"
)

// dialHTTP10 sends a request of HTTP/1.0 through the callers' listener.
func (s *testStack) dialHTTP10(path string) net.Conn {
	s.t.Helper()
	l, err := entry.Listen(entry.ListenerOptions{Address: "127.0.0.1:0"}, s.gateway, hclog.NewNullLogger())
	if err != nil {
		s.t.Fatal(err)
	}
	go func() { _ = l.Serve() }()
	s.t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.0\r\nHost: test\r\n%s: a\r\n%s: key\r\n\r\n", path, testAttempt, testKey)
	return c
}

// callHTTP10 sends a request of HTTP/1.0 and reads until the connection ends.
func (s *testStack) callHTTP10(path string) (string, error) {
	s.t.Helper()
	got, err := io.ReadAll(s.dialHTTP10(path))
	return string(got), err
}

func TestBrokenStreamResetsHTTP10Caller(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, streamEvents(2, true))
	got, err := s.callHTTP10("/plain-stream/x")
	is.Equal(eventIDs(got), []string{"1", "2"})
	is.True(err != nil) // an end without an error would make the part look whole
}

func TestBrokenLargeAnswerResetsHTTP10Caller(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", maxBufferedBytes+1000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	_, err := s.callHTTP10("/once/x")
	is.True(err != nil)
}

func TestAbortAtEndOfGracePeriodResetsHTTP10Caller(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, false)(w, r)
		<-r.Context().Done()
	})
	c := bufio.NewReader(s.dialHTTP10("/plain-stream/x"))
	for line := ""; line != "data: chunk 1\n"; {
		var err error
		line, err = c.ReadString('\n')
		is.NoErr(err)
	}
	s.gateway.Abort()
	_, err := io.ReadAll(c)
	is.True(err != nil)
}

func TestWholeAnswersReachHTTP10Caller(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("x", 2*maxBufferedBytes)
	s := newTestStack(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			streamEvents(3, false)(w, r)
			return
		}
		_, _ = io.WriteString(w, large)
	})
	s.setTarget(10 * time.Second) // the large answer takes longer on a busy machine
	got, err := s.callHTTP10("/stream/x")
	is.NoErr(err)
	is.Equal(eventIDs(got), []string{"1", "2", "3"})
	got, err = s.callHTTP10("/safe/x")
	is.NoErr(err)
	is.True(strings.HasSuffix(got, large))
}
