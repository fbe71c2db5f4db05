package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

func TestEndsInTime(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		left, allowed, usual time.Duration
		margin               int
		want                 bool
	}{
		"ends well in time":                     {5 * s, 6 * s, 2 * s, 2, true},
		"might take too long":                   {5 * s, 12 * s, 3 * s, 2, false},
		"usual time fits, without a margin":     {5 * s, 12 * s, 4 * s, 1, true},
		"usual time is unknown":                 {5 * s, 6 * s, 0, 1, false},
		"caller waits less than the usual time": {2 * s, s, 3 * s, 3, true},
		"stop has come":                         {-s, s, s / 10, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(endsInTime(c.left, c.allowed, c.usual, c.margin), c.want)
		})
	}
}

func TestStopMargin(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	known, unknown := Stop{UnknownUntil: now}, Stop{UnknownUntil: now.Add(time.Second)}
	is.Equal(unknown.margin(now, true), 1)
	is.Equal(known.margin(now, true), 2)
	is.Equal(unknown.margin(now, false), 3) // its outcome would stay unknown
	is.Equal(known.margin(now, false), 3)
}

func TestUsualAnswerTime(t *testing.T) {
	is := is.New(t)
	times := newAnswerTimes()
	is.Equal(times.usual("r"), time.Duration(0))
	for n := range 2 * answerSamples {
		times.add("r", time.Duration(n)*time.Millisecond) // the older half is forgotten
	}
	is.Equal(times.usual("r"), (answerSamples+60)*time.Millisecond)
	for n := range 2 * maxTimedRoutes {
		times.add(strconv.Itoa(n), time.Second)
	}
	is.True(len(times.routes) <= maxTimedRoutes)
}

// slowServer answers after a delay and records the time that requests are given.
type slowServer struct {
	delay time.Duration

	mu   sync.Mutex
	left []time.Duration
}

func (s *slowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.Header.Get(testLeft))
	s.mu.Lock()
	s.left = append(s.left, time.Duration(ms)*time.Millisecond)
	s.mu.Unlock()
	time.Sleep(s.delay)
	w.Header().Set(testAttempt, r.Header.Get(testAttempt))
	w.Header().Set(testSigned, "1")
	_, _ = w.Write([]byte("done"))
}

func (s *slowServer) received() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration(nil), s.left...)
}

// stopIn begins a graceful stop whose grace period ends after d, with an abort at its end.
func (s *testStack) stopIn(d time.Duration) {
	s.gateway.Stop(Stop{By: time.Now().Add(d), RetryAfter: func() time.Duration { return 70 * time.Millisecond }})
	time.AfterFunc(d, s.gateway.Abort)
}

// TestLateRequestIsRefusedRatherThanCut guards against requests that are sent to a server
// during a graceful stop and cut at its end.
func TestLateRequestIsRefusedRatherThanCut(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			server := &slowServer{delay: 150 * time.Millisecond}
			s := newTestStack(t, server.ServeHTTP)
			is.Equal(s.call(http.MethodPost, path, "pay", testLeft, "3000").status, http.StatusOK)
			s.stopIn(deadlineGrace + 120*time.Millisecond)
			got := s.call(http.MethodPost, path, "pay", testAttempt, "b", testLeft, "3000")
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(strings.Contains(got.body, `"not_run":true`))
			is.Equal(got.header.Get("Retry-After"), "0.070")
			is.Equal(len(server.received()), 1)
			is.Equal(s.gateway.RefusedByStop(), int64(1))
		})
	}
}

// TestRequestThatEndsBeforeStopIsServed guards against refusals that help nobody.
func TestRequestThatEndsBeforeStopIsServed(t *testing.T) {
	is := is.New(t)
	server := &slowServer{delay: 50 * time.Millisecond}
	s := newTestStack(t, server.ServeHTTP)
	is.Equal(s.call(http.MethodPost, "/safe/x", "", testLeft, "3000").status, http.StatusOK)
	s.stopIn(time.Second)
	is.Equal(s.call(http.MethodPost, "/safe/x", "", testAttempt, "b", testLeft, "3000").status, http.StatusOK)
	is.Equal(s.call(http.MethodPost, "/once/x", "pay", testAttempt, "c", testLeft, "600").status, http.StatusOK)
	is.True(server.received()[1] < time.Second) // the server gets no more than the instance has
}

// TestWaitingRequestIsRefusedBeforeStop guards against requests that wait for a server
// when the stop begins, and are then sent and cut.
func TestWaitingRequestIsRefusedBeforeStop(t *testing.T) {
	is := is.New(t)
	server := &slowServer{delay: 50 * time.Millisecond}
	s := newTestStack(t)
	waiting := make(chan reply, 1)
	go func() { waiting <- s.call(http.MethodPost, "/stream/x", "", testLeft, "3000") }()
	time.Sleep(100 * time.Millisecond)
	s.stopIn(1500 * time.Millisecond)
	s.addServer("0", server.ServeHTTP)
	got := <-waiting
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, `"not_run":true`))
	is.True(strings.Contains(got.body, result.InstanceDraining.String()))
	is.Equal(len(server.received()), 0)
}
