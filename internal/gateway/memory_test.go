package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/eventstream"
)

// largeBytes is the size of unfinished answers in these tests.
const largeBytes = eventstream.MaxEventBytes - pieceBytes

// stallingHandler writes head and large bytes of an answer that does not end, tells it to
// written, and waits until release is closed.
func stallingHandler(head http.Header, start string, written chan<- struct{}, release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range head {
			w.Header()[name] = values
		}
		_, _ = io.WriteString(w, start+strings.Repeat("x", largeBytes))
		_ = http.NewResponseController(w).Flush()
		written <- struct{}{}
		<-release
	}
}

// TestUnfinishedAnswersShareMemory guards against an instance that runs out of memory
// because faulty servers start answers or events that they do not end: each stays under its
// bound, but all together do not. Sound answers stay whole meanwhile.
func TestUnfinishedAnswersShareMemory(t *testing.T) {
	const limit, callers = 4 << 20, 12
	for name, c := range map[string]struct {
		path, start string
		head        http.Header
	}{
		"plain answers":  {path: "/once/x"},
		"stream events":  {path: "/plain-stream/x", start: "id: 1\ndata: ", head: http.Header{"Content-Type": {"text/event-stream"}}},
		"resumable ones": {path: "/stream/x", start: "id: 1\ndata: ", head: http.Header{"Content-Type": {"text/event-stream"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			written, release := make(chan struct{}, 4*callers), make(chan struct{})
			s := newTestStack(t, stallingHandler(c.head, c.start, written, release))
			s.gateway.buffers = bytebudget.New(limit)
			var calls sync.WaitGroup
			defer calls.Wait()
			defer close(release)
			for n := range callers {
				calls.Go(func() { s.call(http.MethodPost, c.path, "", testAttempt, fmt.Sprint("a", n), testLeft, "6000") })
			}
			for range callers {
				<-written
			}
			for range 20 {
				used, _ := s.gateway.buffers.Usage()
				is.True(used <= limit)
				time.Sleep(10 * time.Millisecond)
			}
			sound := strings.Repeat("y", 2*maxBufferedBytes)
			s.addServer("sound", answerWith(http.StatusOK, sound))
			s.servers = s.servers[1:]
			s.balancer.SetServers(s.servers)
			got := s.call(http.MethodPost, "/once/x", "")
			is.True(!got.truncated)
			is.Equal(len(got.body), len(sound))
		})
	}
}

// TestBodyWithoutMemoryIsRefused guards against an instance that runs out of memory because
// many callers send large bodies. The refusal is true: the request is not run.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	for name, declared := range map[string]bool{"declared length": true, "unknown length": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started, release := make(chan struct{}, 8), make(chan struct{})
			s := newTestStack(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				started <- struct{}{}
				<-release
			})
			s.gateway.buffers = bytebudget.New(4 << 20) // bodies may take 3 MiB
			body := strings.Repeat("b", 1<<20)
			send := func(attempt string) reply {
				r := s.request(t.Context(), http.MethodPost, "/once/x", body, testAttempt, attempt)
				if !declared {
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), -1
				}
				return s.do(r)
			}
			var calls sync.WaitGroup
			for n := range 2 {
				calls.Go(func() { is.Equal(send(fmt.Sprint("a", n)).status, http.StatusOK) })
			}
			<-started
			<-started
			is.True(s.gateway.buffers.Hold(bodyShare, nil).Grow(1 << 19))
			for n := range 3 { // in turn: a refused body takes no room
				got := send(fmt.Sprint("refused", n))
				is.Equal(got.status, http.StatusTooManyRequests)
				is.True(got.header.Get("Retry-After") != "")
				is.Equal(s.runCount(fmt.Sprint("refused", n)), int64(0))
			}
			close(release)
			calls.Wait()
		})
	}
}
