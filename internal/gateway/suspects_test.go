package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

// recordingSuspects records how the runs of a tracker end.
type recordingSuspects struct {
	dispatch.Suspects

	mu   sync.Mutex
	ends []runEnd
}

// runEnd is the end of a run.
type runEnd string

const (
	runComplete   runEnd = "complete"
	runIncomplete runEnd = "incomplete"
	runCrashed    runEnd = "crashed"
)

// recordingRun is a run of recordingSuspects.
type recordingRun struct {
	dispatch.Run
	suspects *recordingSuspects
}

func (s *recordingSuspects) Start(r quarantine.Request, server string, epoch uint64, now time.Time) (dispatch.Run, bool) {
	run, ok := s.Suspects.Start(r, server, epoch, now)
	return recordingRun{run, s}, ok
}

func (s *recordingSuspects) record(end runEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, end)
}

func (s *recordingSuspects) recorded() []runEnd {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ends)
}

func (r recordingRun) Ended(complete bool, now time.Time) {
	r.Run.Ended(complete, now)
	end := runIncomplete
	if complete {
		end = runComplete
	}
	r.suspects.record(end)
}

func (r recordingRun) Crashed(now time.Time) {
	r.Run.Crashed(now)
	r.suspects.record(runCrashed)
}

// TestErrorAnswerDoesNotClearSuspects guards against a request that crashes servers and
// counts as harmless because a server answered it with an error before it ran.
func TestErrorAnswerDoesNotClearSuspects(t *testing.T) {
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		end     runEnd
	}{
		"success":         {answerWith(http.StatusOK, "done"), runComplete},
		"client error":    {answerWith(http.StatusBadRequest, "no"), runIncomplete},
		"gateway timeout": {answerWith(http.StatusGatewayTimeout, "late"), runIncomplete},
		"not run":         {notRun(http.StatusBadRequest), runIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t, test.handler)
			s.call(http.MethodPost, "/once/x", "pay")
			is.Equal(s.suspects.recorded(), []runEnd{test.end})
		})
	}
}

// notRun returns a handler that states with a status that the request has not run.
func notRun(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNotRun, "1")
		w.WriteHeader(status)
	}
}

// TestSilentServerIsNoCrash guards against requests that are refused for crashes that did
// not happen: an instance that is cut off from the servers loses all its connections, and
// new ones get no answer. A crashed server's address refuses them.
func TestSilentServerIsNoCrash(t *testing.T) {
	for name, test := range map[string]struct {
		dialError error
		end       runEnd
	}{
		"refused":          {&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, runCrashed},
		"no answer":        {context.DeadlineExceeded, runIncomplete},
		"no route":         {&net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}, runIncomplete},
		"accepts them yet": {nil, runIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t, abort)
			s.gateway.probes.dial = func(context.Context, string, string) (net.Conn, error) {
				here, _ := net.Pipe()
				return here, test.dialError
			}
			s.call(http.MethodPost, "/once/x", "pay")
			is.Equal(s.suspects.recorded(), []runEnd{test.end})
		})
	}
}

// TestUnframedAnswerOfCrashedServer guards against a part of prompts that crashes servers
// and counts as sound because the answer that its crash cut short, which has neither a
// length nor chunks, looks complete.
func TestUnframedAnswerOfCrashedServer(t *testing.T) {
	for name, test := range map[string]struct {
		dialError error
		end       runEnd
	}{
		"crashed":   {&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, runCrashed},
		"no answer": {context.DeadlineExceeded, runIncomplete},
		"alive":     {nil, runComplete},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t, unframedAnswer)
			if test.dialError != nil {
				s.gateway.transports.pooled.DialContext = func(context.Context, string, string) (net.Conn, error) {
					return nil, test.dialError
				}
			}
			s.call(http.MethodPost, "/once/x", "ask", testParts, "xx")
			for deadline := time.Now().Add(5 * time.Second); len(s.suspects.recorded()) == 0; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(deadline))
			}
			is.Equal(s.suspects.recorded(), []runEnd{test.end})
		})
	}
}

// unframedAnswer answers with neither a length nor chunks and closes the connection.
func unframedAnswer(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0\r\nConnection: close\r\n\r\nhalf", testAttempt, r.Header.Get(testAttempt), testSigned)
}

// waitingSuspects are suspects while another trial runs.
type waitingSuspects struct{ dispatch.Suspects }

func (waitingSuspects) Waits(quarantine.Request, time.Time) bool { return true }

// TestRequestThatWaitsForTrialMayReturn guards against a sound request that is refused for
// good because another one is tried at that moment.
func TestRequestThatWaitsForTrialMayReturn(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, answerWith(http.StatusOK, "done"))
	s.gateway.options.Suspects = waitingSuspects{s.gateway.options.Suspects}
	got := s.call(http.MethodPost, "/once/x", "ask")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(s.runCount("a"), int64(0))
}
