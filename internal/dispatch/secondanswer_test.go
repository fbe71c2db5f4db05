package dispatch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// startRepeatingServer starts a server that streams in chunks on kept connections. Each
// stream names its attempt, and a second copy of it follows after the delay. The server
// counts the requests that came on a used connection.
func startRepeatingServer(t *testing.T, delay time.Duration) (*targetList, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	reused := new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go repeatAnswers(c, delay, reused)
		}
	}()
	return &targetList{targets: []traffic.Target{{Server: "s", Address: l.Addr().String()}}}, reused
}

func repeatAnswers(c net.Conn, delay time.Duration, reused *atomic.Int64) {
	defer func() { _ = c.Close() }()
	requests := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if n > 0 {
			reused.Add(1)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get(engineapi.AttemptHeader)
		body := strings.ReplaceAll(wholeStream, "piece", attempt+"-piece")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			engineapi.AttemptHeader, attempt, len(body), body)
		_, _ = io.WriteString(c, answer)
		time.Sleep(delay)
		_, _ = io.WriteString(c, answer)
	}
}

func TestSecondCopyOfStreamIsNotRelayed(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
		l, reused := startRepeatingServer(t, delay)
		d := newDispatcher(t, Options{MaxAttempts: 8})
		for range 20 {
			is := is.New(t)
			out, w := do(t, d, modelCall(streamBody, l))
			is.True(out.Err == nil)
			is.Equal(w.Body.String(), strings.ReplaceAll(wholeStream, "piece", out.Attempt+"-piece"))
		}
		t.Logf("delay %s: %d requests on used connections", delay, reused.Load())
	}
}
