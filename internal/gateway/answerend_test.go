package gateway

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endingServer is a backend server whose answers have neither a length nor chunks. It ends
// each after a part of it, and then does what its script says.
type endingServer struct {
	endScript

	id       string
	listener net.Listener
	// part is the number of pieces after which an answer ends, of testPieces.
	part int
	// status is that of its answers. Zero means 200.
	status int

	mu    sync.Mutex
	ended bool
	conns []net.Conn
}

// endScript is what becomes of an endingServer.
type endScript struct {
	// beforeEnd is called before the connection of an answer is closed. It may be nil.
	beforeEnd func(s *endingServer, r *http.Request)
	// identify answers who the server is. Nil accepts connections and answers nothing.
	identify func(c net.Conn)
}

// testPieces is the number of events, or of bytes, of a whole answer of an endingServer.
const testPieces = 4

// addEndingServer starts the server and adds it to the directory.
func (s *testStack) addEndingServer(e *endingServer) *endingServer {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	e.listener = l
	s.t.Cleanup(e.kill)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !e.track(c) {
				_ = c.Close()
				return
			}
			go e.serve(c)
		}
	}()
	s.addAddress(e.id, l.Addr().String())
	return e
}

// kill closes the listener and all connections, as the end of a process does.
func (e *endingServer) kill() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.ended = true
}

// track adds a connection that ends with the process. It returns false if that has ended.
func (e *endingServer) track(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		e.conns = append(e.conns, c)
	}
	return !e.ended
}

func (e *endingServer) serve(c net.Conn) {
	requests := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != testIdentityPath {
			e.answer(c, r)
			return
		}
		if e.identify != nil {
			e.identify(c)
		}
	}
}

// answer writes the part of the answer and ends the connection.
func (e *endingServer) answer(c net.Conn, r *http.Request) {
	defer c.Close()
	contentType, from := "text/plain", 0
	stream := strings.Contains(r.URL.Path, "stream")
	if stream {
		contentType = "text/event-stream"
	}
	if last, err := strconv.Atoi(r.Header.Get(testResume)); err == nil {
		from = last
	}
	status := cmp.Or(e.status, http.StatusOK)
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nConnection: close\r\n%s: %s\r\n%s: %s\r\n\r\n",
		status, http.StatusText(status), contentType, testAttempt, r.Header.Get(testAttempt), testSigned, e.id)
	for n := from + 1; n <= e.part; n++ {
		if stream && status == http.StatusOK {
			fmt.Fprintf(c, "id: %d\ndata: chunk %d\n\n", n, n)
		} else {
			fmt.Fprint(c, n)
		}
	}
	if e.beforeEnd != nil {
		e.beforeEnd(e, r)
	}
}

// states returns an endingServer.identify that names a server and its start.
func states(id string, start int) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, identityAnswer(id, start)) }
}

// killed is an endingServer.beforeEnd.
func killed(s *endingServer, _ *http.Request) { s.kill() }

// untilDeadline is an endingServer.beforeEnd.
func untilDeadline(_ *endingServer, r *http.Request) {
	left, err := strconv.Atoi(r.Header.Get(testLeft))
	if err == nil {
		time.Sleep(time.Duration(left)*time.Millisecond + 2*time.Millisecond)
	}
}

// unconfirmedEnds are the servers, by what becomes of them at the end of a part of an answer.
var unconfirmedEnds = map[string]struct {
	script endScript
	end    runEnd
}{
	"killed":                {endScript{beforeEnd: killed}, runCrashed},
	"another server":        {endScript{identify: states("other", testStarted)}, runCrashed},
	"back under its id":     {endScript{identify: states("0", testStarted+1)}, runCrashed},
	"only accepts":          {endScript{}, runIncomplete},
	"answers late":          {endScript{identify: answersLate}, runIncomplete},
	"does not say who":      {endScript{identify: answersNotFound}, runIncomplete},
	"closes at the request": {endScript{identify: func(c net.Conn) { _ = c.Close() }}, runIncomplete},
}

func answersLate(c net.Conn) {
	time.Sleep(serverCheckTimeout + 50*time.Millisecond)
	states("0", testStarted)(c)
}

func answersNotFound(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
}

// TestUnconfirmedEndOfResumableStream guards against a stream without framing that ends as
// complete because its server's process ended between two events.
func TestUnconfirmedEndOfResumableStream(t *testing.T) {
	for name, test := range unconfirmedEnds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.addEndingServer(&endingServer{endScript: test.script, id: "0", part: 2})
			s.addEndingServer(&endingServer{id: "1", part: testPieces, endScript: endScript{identify: states("1", testStarted)}})
			s.preferFirst()
			got := s.call(http.MethodPost, "/stream/x", "ask", testParts, "xx")
			is.True(!got.truncated)
			is.Equal(eventIDs(got.body), []string{"1", "2", "3", "4"})
			is.Equal(s.suspects.recorded(), []runEnd{test.end, runComplete})
		})
	}
}

// TestUnconfirmedEnd guards against a part of an answer that looks whole to the caller because
// the end of its connection was the end of its server's process.
func TestUnconfirmedEnd(t *testing.T) {
	for name, test := range unconfirmedEnds {
		for path, lost := range map[string]reply{
			"/plain-stream/x": {status: http.StatusOK, truncated: true},
			"/once/x":         {status: http.StatusBadGateway},
			"/stream/x":       {status: http.StatusOK, truncated: true}, // no server to go on at
			"/safe/x":         {status: http.StatusBadGateway},          // no server to try again
		} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				s := newTestStack(t)
				s.addEndingServer(&endingServer{endScript: test.script, id: "0", part: 2})
				got := s.call(http.MethodPost, path, "ask", testParts, "xx", testLeft, "1000")
				is.Equal(got.status, lost.status)
				is.Equal(got.truncated, lost.truncated)
				is.True(!strings.Contains(got.body, `"not_run":true`))
				is.Equal(s.suspects.recorded()[0], test.end)
			})
		}
	}
}

// TestUnconfirmedEndOfFailure guards against a part of a server's failure that looks whole: an
// answer that ends early must not, whatever its status.
func TestUnconfirmedEndOfFailure(t *testing.T) {
	for name, test := range unconfirmedEnds {
		for _, path := range []string{"/plain-stream/x", "/once/x", "/stream/x", "/safe/x"} {
			for _, status := range []int{http.StatusFound, http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError} {
				t.Run(fmt.Sprint(name, path, status), func(t *testing.T) {
					is := is.New(t)
					s := newTestStack(t)
					s.addEndingServer(&endingServer{endScript: test.script, id: "0", part: 2, status: status})
					got := s.call(http.MethodPost, path, "ask", testParts, "xx", testLeft, "1000")
					is.Equal(got.status, http.StatusBadGateway)
					checkNoPromise(t, got)
					if status < http.StatusInternalServerError { // others may be dropped with their head
						is.Equal(s.suspects.recorded()[0], test.end)
					}
				})
			}
		}
	}
}

// TestSoundUnframedFailure guards against a server's own failure that is lost although the
// server is still there.
func TestSoundUnframedFailure(t *testing.T) {
	for _, path := range []string{"/plain-stream/x", "/once/x", "/stream/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.addEndingServer(&endingServer{id: "0", part: testPieces, status: http.StatusConflict, endScript: endScript{identify: states("0", testStarted)}})
			got := s.call(http.MethodPost, path, "ask")
			is.Equal(got.status, http.StatusConflict)
			is.Equal(got.body, "1234")
			is.Equal(got.header.Get(testSigned), "0")
		})
	}
}

// TestUnconfirmedPlainAnswerIsTriedAgain guards against a part of a plain answer that is given
// to a caller whose request may be repeated.
func TestUnconfirmedPlainAnswerIsTriedAgain(t *testing.T) {
	for name, test := range unconfirmedEnds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.addEndingServer(&endingServer{endScript: test.script, id: "0", part: 2})
			s.addEndingServer(&endingServer{id: "1", part: testPieces, endScript: endScript{identify: states("1", testStarted)}})
			s.preferFirst()
			got := s.call(http.MethodGet, "/safe/x", "", testParts, "xx")
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "1234")
			is.Equal(s.suspects.recorded(), []runEnd{test.end, runComplete})
		})
	}
}

// TestEndAtDeadline guards against an answer that its server cut short at the deadline and
// that looks whole because the server is still there.
func TestEndAtDeadline(t *testing.T) {
	for path, status := range map[string]int{
		"/stream/x": http.StatusOK, "/plain-stream/x": http.StatusOK, "/safe/x": http.StatusGatewayTimeout, "/once/x": http.StatusGatewayTimeout,
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.addEndingServer(&endingServer{id: "0", part: 2, endScript: endScript{untilDeadline, states("0", testStarted)}})
			got := s.call(http.MethodPost, path, "ask", testLeft, "150")
			is.Equal(got.status, status)
			is.Equal(got.truncated, status == http.StatusOK)
			is.Equal(s.suspects.recorded()[0], runIncomplete)
		})
	}
}

// TestLongUnconfirmedAnswerIsBrokenOff guards against a plain answer, too long to be kept until
// its end, that ends as complete when its server crashes.
func TestLongUnconfirmedAnswerIsBrokenOff(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.addRawServer("0", func(r *http.Request) (string, bool) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0\r\n\r\n", testAttempt, r.Header.Get(testAttempt), testSigned)
		return head + strings.Repeat("x", maxBufferedBytes+1), true
	})
	s.servers[0].StartedMillis = testStarted + 1 // of another process
	s.balancer.SetServers(s.servers)
	got := s.call(http.MethodPost, "/once/x", "ask")
	is.Equal(got.status, http.StatusOK)
	is.True(got.truncated)
}

// TestSoundUnframedAnswer guards against a sound answer without framing that is lost or run
// twice although its server is still there.
func TestSoundUnframedAnswer(t *testing.T) {
	for name, identify := range map[string]func(net.Conn){
		"states its start": states("0", testStarted),
		"states its id":    states("0", 0),
	} {
		for _, path := range []string{"/stream/x", "/plain-stream/x", "/safe/x", "/once/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				s := newTestStack(t)
				s.addEndingServer(&endingServer{id: "0", part: testPieces, endScript: endScript{identify: identify}})
				got := s.call(http.MethodPost, path, "ask", testParts, "xx")
				is.Equal(got.status, http.StatusOK)
				is.True(!got.truncated)
				is.True(strings.Contains(got.body, strconv.Itoa(testPieces)))
				is.Equal(s.suspects.recorded(), []runEnd{runComplete})
			})
		}
	}
}

// TestServerThatResetsConnectionsIsAskedAgain guards against a sound answer that is lost
// because its server resets connections beyond its limit.
func TestServerThatResetsConnectionsIsAskedAgain(t *testing.T) {
	for _, path := range []string{"/stream/x", "/plain-stream/x", "/safe/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			var asked atomic.Int64
			s.addEndingServer(&endingServer{id: "0", part: testPieces, endScript: endScript{identify: func(c net.Conn) {
				if asked.Add(1) < serverCheckTries {
					_ = c.Close()
					return
				}
				states("0", testStarted)(c)
			}}})
			got := s.call(http.MethodPost, path, "ask")
			is.Equal(got.status, http.StatusOK)
			is.True(!got.truncated)
			is.Equal(asked.Load(), int64(serverCheckTries))
			is.Equal(s.suspects.recorded(), []runEnd{runComplete})
		})
	}
}

// TestUnconfirmedEndWithoutRetryBudget guards against a stream that ends as complete, or is
// repeated beyond the budget, when its server crashes and no retry is left.
func TestUnconfirmedEndWithoutRetryBudget(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.addEndingServer(&endingServer{id: "0", part: 2, endScript: endScript{beforeEnd: killed}})
	s.addEndingServer(&endingServer{id: "1", part: testPieces, endScript: endScript{identify: states("1", testStarted)}})
	s.preferFirst()
	for s.balancer.TryRetry("s") {
	}
	got := s.call(http.MethodPost, "/stream/x", "ask")
	is.True(got.truncated)
	is.Equal(eventIDs(got.body), []string{"1", "2"})
	is.Equal(len(s.suspects.recorded()), 1)
}

// TestAnswerToHeadNeedsNoProof guards against an answer to a HEAD request that is refused
// since it has neither a length nor chunks.
func TestAnswerToHeadNeedsNoProof(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.addEndingServer(&endingServer{id: "0", part: 0, endScript: endScript{beforeEnd: killed}})
	got := s.call(http.MethodHead, "/once/x", "")
	is.Equal(got.status, http.StatusOK)
}

// TestCheckBeginsAfterTheEnd guards against an answer that is believed since its server
// answered a check that another answer's end had begun before.
func TestCheckBeginsAfterTheEnd(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	asked := make(chan struct{})
	answered := make(chan struct{})
	var once sync.Once
	e := &endingServer{id: "0", part: 2}
	e.identify = func(c net.Conn) {
		once.Do(func() {
			close(asked)
			<-answered
			states("0", testStarted)(c)
		})
	}
	s.addEndingServer(e)
	first, second := make(chan reply, 1), make(chan reply, 1)
	go func() { first <- s.call(http.MethodPost, "/once/x", "a") }()
	<-asked
	go func() { second <- s.call(http.MethodPost, "/once/x", "b", testAttempt, "b") }()
	time.Sleep(50 * time.Millisecond) // the second answer ends while the first check runs
	close(answered)
	is.Equal((<-first).status, http.StatusOK)
	is.Equal((<-second).status, http.StatusBadGateway)
}

// TestServerThatStopsAfterItsAnswer guards against streams that are lost because their
// server stopped right after them, and against parts that pass. It logs a table.
func TestServerThatStopsAfterItsAnswer(t *testing.T) {
	const runs = 10
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		for _, path := range []string{"/stream/x", "/plain-stream/x", "/safe/x", "/once/x"} {
			lost, passed := 0, 0
			for range runs {
				if !isWhole(stopAfterAnswer(t, path, testPieces, delay)) {
					lost++
				}
				if got := stopAfterAnswer(t, path, 2, delay); got.status == http.StatusOK && !got.truncated && !isWhole(got) {
					passed++
				}
			}
			t.Logf("%v after the end, %s: %d of %d sound answers lost, %d of %d parts passed", delay, path, lost, runs, passed, runs)
			if passed > 0 {
				t.Errorf("%s, %v: %d parts passed as whole", path, delay, passed)
			}
			if lost > 0 && slices.Contains([]string{"/stream/x", "/safe/x"}, path) {
				t.Errorf("%s, %v: %d answers lost that another server could give", path, delay, lost)
			}
		}
	}
}

func isWhole(r reply) bool {
	return r.status == http.StatusOK && !r.truncated && (r.body == "1234" || slices.Equal(eventIDs(r.body), []string{"1", "2", "3", "4"}))
}

// stopAfterAnswer returns the answer of a server that stops the time delay after part
// pieces. A sound server, whose answer is whole, says who it is until then. The process of
// the others ends with the answer.
func stopAfterAnswer(t *testing.T, path string, part int, delay time.Duration) reply {
	s := newTestStack(t)
	first := &endingServer{id: "0", part: part}
	first.beforeEnd = func(e *endingServer, _ *http.Request) {
		if delay == 0 {
			e.kill()
			return
		}
		time.AfterFunc(delay, e.kill)
	}
	if part == testPieces {
		first.identify = states("0", testStarted)
	}
	s.addEndingServer(first)
	s.addEndingServer(&endingServer{id: "1", part: testPieces, endScript: endScript{identify: states("1", testStarted)}})
	s.preferFirst()
	got := s.call(http.MethodPost, path, "ask", testLeft, "3000")
	s.front.Close()
	return got
}

// preferFirst makes the balancer choose the first server for a first attempt.
func (s *testStack) preferFirst() {
	s.servers[0].Zone, s.servers[1].Zone = "z", "z"
	s.servers[1].Capacity = 1
	s.balancer.SetServers(s.servers)
}

// TestOtherAnswerToTheCheckIsNotFinal guards against a sound answer that is lost because a late
// answer to an earlier request met the question who the server is.
func TestOtherAnswerToTheCheckIsNotFinal(t *testing.T) {
	for _, path := range []string{"/stream/x", "/plain-stream/x", "/safe/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			var asked atomic.Int64
			s.addEndingServer(&endingServer{id: "0", part: testPieces, endScript: endScript{identify: func(c net.Conn) {
				if asked.Add(1) == 1 {
					answersNotFound(c)
					return
				}
				states("0", testStarted)(c)
			}}})
			got := s.call(http.MethodPost, path, "ask")
			is.Equal(got.status, http.StatusOK)
			is.True(!got.truncated)
		})
	}
}
