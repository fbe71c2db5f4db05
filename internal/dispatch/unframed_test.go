package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const (
	trickleEvery = 20 * time.Millisecond
	trickleFor   = 4 * time.Second
	mayDelay     = 2 * time.Second // of the other server's answer
)

// startTrickleServer starts a server whose unframed answers come byte by byte. ended gets a
// value for each that could not be sent to its end.
func startTrickleServer(t *testing.T) (target traffic.Target, ended chan error) {
	ended = make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.LoadPath {
			_, _ = io.WriteString(w, `{"epoch":1}`)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n%s: 1\r\n\r\n",
			engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader), engineapi.EpochHeader)
		for began := time.Now(); err == nil && time.Since(began) < trickleFor; time.Sleep(trickleEvery) {
			_, err = io.WriteString(c, " ")
		}
		if err != nil {
			ended <- err
		}
	}))
	t.Cleanup(s.Close)
	address := s.Listener.Addr().String()
	return traffic.Target{Server: "trickle", Address: address, Epoch: 1}, ended
}

// TestLongUnframedAnswerDoesNotDelayOtherServer guards against a request that waits for the end
// of an answer that no caller gets, and against a connection that stays open for it.
func TestLongUnframedAnswerDoesNotDelayOtherServer(t *testing.T) {
	is := is.New(t)
	target, ended := startTrickleServer(t)
	l := engineTargets(startEngine(t, engine.Options{}))
	l.targets = append([]traffic.Target{target}, l.targets...)
	began := time.Now()
	out, _ := do(t, newDispatcher(t, Options{MaxAttempts: 2}), modelCall(chatBody, l))
	is.True(out.Err == nil)
	is.Equal(out.Attempts, 2)
	is.True(time.Since(began) < mayDelay)
	is.Equal(len(l.failures), 1)
	is.True(!l.failures[0].Crashed)
	is.True(<-ended != nil)
}
