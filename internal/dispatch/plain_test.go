package dispatch

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// callerServer dispatches each request that it receives over a real connection.
func callerServer(t *testing.T, makeCall func(r *http.Request) Call) *httptest.Server {
	d := newDispatcher(t, Options{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		if out := d.Do(r.Context(), makeCall(r), w); out.Abort {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.Close)
	return s
}

// Both bodies of a plain request must be streamed: the answer starts while the
// request body is still being sent.
func TestPlainFullDuplex(t *testing.T) {
	is := is.New(t)
	backend := startPlain(t)
	s := callerServer(t, func(r *http.Request) Call {
		c := plainCall(plainTargets(backend))
		c.Path, c.Stream, c.ContentLength = plain.EchoPath, r.Body, -1
		return c
	})
	body, bodyWriter := io.Pipe()
	response, err := http.Post(s.URL, "text/plain", body)
	is.NoErr(err)
	defer response.Body.Close()
	chunk := make([]byte, 5)
	for range 3 {
		_, err = bodyWriter.Write([]byte("hello"))
		is.NoErr(err)
		_, err = io.ReadFull(response.Body, chunk)
		is.NoErr(err)
	}
	is.NoErr(bodyWriter.Close())
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(backend.TotalRuns(), 1)
}

// If a plain answer breaks off, the caller's connection must be aborted, so
// that the caller does not accept a truncated answer as complete.
func TestTruncatedPlainAnswer(t *testing.T) {
	for _, path := range []string{"/credit", plain.EchoPath} { // with and without Content-Length
		is := is.New(t)
		backend := startPlain(t)
		backend.Set(fault.Settings{BreakAfter: 5})
		s := callerServer(t, func(*http.Request) Call {
			c := plainCall(plainTargets(backend))
			c.Path, c.Body = path, []byte("a longer body")
			return c
		})
		response, err := http.Get(s.URL)
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.True(err != nil) // a truncated answer must not look complete
		is.NoErr(response.Body.Close())
		is.Equal(backend.TotalRuns(), 1)
	}
}

// A streamed body is consumed by the first attempt, so even an idempotent
// request must not be sent a second time.
func TestStreamedBodySentOnce(t *testing.T) {
	is := is.New(t)
	s := startPlain(t)
	s.Set(fault.Settings{Paused: true})
	l := plainTargets(s)
	c := plainCall(l)
	c.Request.Idempotent, c.Method = true, http.MethodPut
	c.Stream, c.ContentLength = strings.NewReader("body"), -1
	c.Timeouts.Headers = 50 * time.Millisecond
	out, _ := do(t, newDispatcher(t, Options{}), c)
	is.Equal(out.Err.Code, result.AttemptTimeout)
	is.Equal(l.handedOut, 1)

	unsent := newExchange(t.Context(), newDispatcher(t, Options{}), c, httptest.NewRecorder())
	defer unsent.close()
	unsent.bodyRead.Store(true) // the body was read, but the connection broke before anything was written
	err := &attemptError{code: result.ConnectFailed, cause: io.EOF}
	is.True(unsent.finalError(err, &traffic.Failure{}, 1) != nil)
}

// unframedPlainServer answers with neither a length nor chunks, and counts its answers.
func unframedPlainServer(t *testing.T, body string) (target traffic.Target, answers *atomic.Int64) {
	t.Helper()
	answers = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answers.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n"+engineapi.AttemptHeader+": "+r.Header.Get(engineapi.AttemptHeader)+"\r\n\r\n"+body)
	}))
	t.Cleanup(s.Close)
	return traffic.Target{Server: "unframed", Address: s.Listener.Addr().String()}, answers
}

// A document that ends with its connection may be a part of the answer, even if it parses.
func TestUnframedPlainAnswerIsNotRelayed(t *testing.T) {
	for _, body := range []string{`{"sound":true}`, `{"half":`, ""} {
		is := is.New(t)
		unframed, answers := unframedPlainServer(t, body)
		c := plainCall(&targetList{targets: []traffic.Target{unframed}})
		out, w := do(t, newDispatcher(t, Options{}), c)
		is.Equal(out.Err.Code, result.OutcomeUnknown)
		is.True(!out.Err.NotRun())
		is.Equal(w.Body.Len(), 0)
		is.Equal(answers.Load(), int64(1)) // a non-idempotent request is not sent again

		backend := startPlain(t)
		c = plainCall(&targetList{targets: []traffic.Target{unframed, {Server: backend.Name(), Address: backend.Address()}}})
		c.Request.Idempotent, c.Method = true, http.MethodPut
		out, w = do(t, newDispatcher(t, Options{}), c)
		is.True(out.Err == nil)
		is.Equal(out.Attempts, 2)
		is.True(strings.Contains(w.Body.String(), `"run"`))
	}
}
