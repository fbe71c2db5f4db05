package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/plain"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	s := startPlain(t)
	is.NoErr(s.Refuse(true))
	out, _ := do(t, newDispatcher(t, Options{}), plainCall(plainTargets(s)))
	is.True(out.Err.NotRun())
	is.Equal(out.Err.Code, result.ConnectFailed)
	is.Equal(s.TotalRuns(), 0)
}

// An unsent non-idempotent request may go to another server, under the id that
// its idempotency record bears.
func TestUnsentRequestKeepsItsAttemptID(t *testing.T) {
	is := is.New(t)
	ring := timeline.NewRing("d", 0, nil)
	down, up := startPlain(t), startPlain(t)
	is.NoErr(down.Refuse(true))
	l := plainTargets(down)
	l.targets = append(l.targets, plainTargets(up).targets...)
	out, _ := do(t, newDispatcher(t, Options{Recorder: ring}), plainCall(l))
	is.True(out.Err == nil)
	is.Equal(out.Attempt, "attempt-1")
	is.Equal(up.Runs("record"), 1)
	is.Equal(kinds(ring, timeline.AttemptStarted), 2)
	is.Equal(kinds(ring, timeline.AttemptSent), 1)
}

func TestLostAnswerOfNonIdempotentRequest(t *testing.T) {
	for name, settings := range map[string]fault.Settings{
		"crash":   {Poison: "{}"},
		"silence": {Paused: true},
		"crossed": {Crossed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startPlain(t)
			s.Set(settings)
			l := plainTargets(s)
			c := plainCall(l)
			c.Timeouts.Headers = 50 * time.Millisecond
			out, w := do(t, newDispatcher(t, Options{}), c)
			is.Equal(out.Err.Code, result.OutcomeUnknown)
			is.True(!out.Err.NotRun())
			is.Equal(l.handed, 1) // no second attempt
			is.True(s.TotalRuns() <= 1)
			is.Equal(w.Body.Len(), 0) // nothing of a wrong answer is given
		})
	}
}

// dyingServer answers the first request of each connection and closes the
// connection on any later one, having read it.
func dyingServer(t *testing.T) (address string, received func(attempt string) int) {
	type countKey struct{}
	var mu sync.Mutex
	byAttempt := make(map[string]int)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(engineapi.AttemptHeader)
		mu.Lock()
		byAttempt[id]++
		mu.Unlock()
		requests := r.Context().Value(countKey{}).(*int)
		*requests++
		if *requests > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(engineapi.AttemptHeader, id)
		_, _ = w.Write([]byte("{}"))
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, countKey{}, new(int))
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), func(attempt string) int {
		mu.Lock()
		defer mu.Unlock()
		return byAttempt[attempt]
	}
}

// The standard transport sends a request again when a kept connection dies on
// reuse and the request bears an Idempotency-Key. That must not happen.
func TestDeadKeptConnectionDoesNotRepeatRequest(t *testing.T) {
	is := is.New(t)
	address, received := dyingServer(t)
	d := newDispatcher(t, Options{})
	l := &list{targets: []traffic.Target{{Server: "s", Address: address}}}
	warm := plainCall(l)
	warm.Request.Idempotent, warm.Attempt, warm.Method, warm.Body = true, "warm", http.MethodGet, nil
	out, _ := do(t, d, warm)
	is.True(out.Err == nil)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		c := plainCall(l)
		c.Attempt, c.Method, c.Body = "once-"+method, method, nil
		out, _ = do(t, d, c)
		is.True(out.Err == nil)
		is.Equal(received(c.Attempt), 1)
	}
	l.handed = 0
	again := warm
	again.Attempt = "idempotent"
	again.Request.Gate = new(result.Gate)
	out, _ = do(t, d, again)
	is.True(out.Err == nil)
	is.Equal(l.handed, 1)               // the dead connection is replaced; the server is kept
	is.Equal(received("idempotent"), 1) // the second sending is an attempt of its own
}

func TestAnswerOfAnotherAttemptIsDiscarded(t *testing.T) {
	is := is.New(t)
	ring := timeline.NewRing("d", 0, nil)
	crossed, sound := startEngine(t, engine.Options{}), startEngine(t, engine.Options{})
	crossed.Set(fault.Settings{Crossed: true})
	l := engineTargets(crossed, sound)
	out, _ := do(t, newDispatcher(t, Options{Recorder: ring}), modelCall(chatBody, l))
	is.True(out.Err == nil)
	is.Equal(out.Server, sound.Address())
	is.Equal(kinds(ring, timeline.AttemptDiscarded), 1)
	is.Equal(l.failures[0].Code, result.AnswerCrossed)
}

func TestLateAnswerOnKeptConnectionIsDiscarded(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{})
	e.Set(fault.Settings{Late: true})
	d := newDispatcher(t, Options{})
	for _, content := range []string{"first", "second", "third"} {
		c := modelCall(strings.Replace(chatBody, "hi", content, 1), engineTargets(e))
		c.Request.ID = content
		out, w := do(t, d, c)
		is.True(out.Err == nil)
		is.True(strings.Contains(w.Body.String(), "chatcmpl-"+content)) // its own answer
	}
}

func TestSilentKeptConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Options{})
	d := newDispatcher(t, Options{})
	out, _ := do(t, d, modelCall(streamBody, engineTargets(e)))
	is.True(out.Err == nil)
	e.SilenceConnections()
	l := engineTargets(e)
	c := modelCall(streamBody, l)
	c.Timeouts.Headers = 50 * time.Millisecond
	out, _ = do(t, d, c)
	is.True(out.Err == nil)
	is.Equal(len(l.failures), 1)
	is.True(l.failures[0].Reused) // the connection is suspect, not the server
	is.True(!l.failures[0].Crashed)
}

func TestBrokenWholeAnswerIsNotGiven(t *testing.T) {
	is := is.New(t)
	broken, sound := startEngine(t, engine.Options{}), startEngine(t, engine.Options{})
	broken.Set(fault.Settings{BreakAfter: 1})
	out, w := do(t, newDispatcher(t, Options{}), modelCall(chatBody, engineTargets(broken, sound)))
	is.True(out.Err == nil)
	is.True(json.Valid(w.Body.Bytes()))
	is.True(out.Usage.OutputTokens > 0)
}

func TestCrashIsToldFromDeadConnection(t *testing.T) {
	is := is.New(t)
	poisoned, sound := startEngine(t, engine.Options{}), startEngine(t, engine.Options{})
	poisoned.Set(fault.Settings{Poison: "hi"})
	runs := &countingSuspects{}
	l := engineTargets(poisoned, sound)
	c := modelCall(chatBody, l)
	c.Request.Fingerprint = 7
	out, _ := do(t, newDispatcher(t, Options{Suspects: runs}), c)
	is.True(out.Err == nil)
	is.True(l.failures[0].Crashed)
	is.Equal(*runs, countingSuspects{started: 2, ended: 1, crashed: 1})
	runs.refuses = true
	c.Request.Gate = new(result.Gate)
	out, _ = do(t, newDispatcher(t, Options{Suspects: runs}), c)
	is.Equal(out.Err.Code, result.RequestQuarantined)
	is.True(out.Err.NotRun())
}

// The same request crashes every engine that runs it. It may do so twice.
func TestPoisonousRequestCrashesTwoServers(t *testing.T) {
	is := is.New(t)
	tracker := quarantine.New(quarantine.Options{})
	d := newDispatcher(t, Options{Suspects: Quarantine(tracker)})
	var engines []*engine.Engine
	for range 4 {
		e := startEngine(t, engine.Options{})
		e.Set(fault.Settings{Poison: "poison"})
		engines = append(engines, e)
	}
	crashes := func() (n uint64) {
		for _, e := range engines {
			n += e.Epoch() - 1
		}
		return n
	}
	poisonous := strings.Replace(chatBody, "hi", "poison", 1)
	c := modelCall(poisonous, engineTargets(engines...))
	c.Request.Fingerprint = 1
	out, _ := do(t, d, c)
	is.True(out.Err != nil)
	is.Equal(crashes(), uint64(2))
	eventually(t, func() bool { return tracker.Refused(1, time.Now()) })
	c.Request.Gate = new(result.Gate)
	out, _ = do(t, d, c)
	is.Equal(out.Err.Code, result.RequestQuarantined)
	is.Equal(crashes(), uint64(2))
	bystander := modelCall(chatBody, engineTargets(engines...))
	bystander.Request.Fingerprint = 2
	out, _ = do(t, d, bystander)
	is.True(out.Err == nil)
}

type countingSuspects struct {
	started, ended, crashed int
	refuses                 bool
}

func (s *countingSuspects) Refused(uint64, time.Time) bool { return s.refuses }

func (s *countingSuspects) Start(uint64, string, uint64, time.Time) (Run, bool) {
	s.started++
	return s, true
}

func (s *countingSuspects) Ended(bool, time.Time) { s.ended++ }

func (s *countingSuspects) Crashed(time.Time) { s.crashed++ }

func TestSealedGateAndPassedLimitSendNothing(t *testing.T) {
	is := is.New(t)
	s := startPlain(t)
	sealed := plainCall(plainTargets(s))
	_, ok := sealed.Request.Gate.Seal()
	is.True(ok)
	late := plainCall(plainTargets(s))
	late.SendBefore = time.Now().Add(-time.Second)
	for _, c := range []Call{sealed, late} {
		out, _ := do(t, newDispatcher(t, Options{}), c)
		is.True(out.Err.NotRun())
		is.Equal(s.TotalRuns(), 0)
	}
}

func TestHedgeTakesTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	slow, quick := startEngine(t, engine.Options{FirstToken: time.Hour}), startEngine(t, engine.Options{})
	l := engineTargets(slow, quick)
	c := modelCall(streamBody, l)
	c.Request.Class.HedgeAfter = config.Duration(10 * time.Millisecond)
	out, w := do(t, newDispatcher(t, Options{}), c)
	is.True(out.Err == nil)
	is.Equal(out.Server, quick.Address())
	is.True(same(w.Body.String(), whole(t, streamBody, engine.Options{})))
	is.Equal(len(l.observed), 2) // the loser too

	l = engineTargets(slow, quick)
	c.Targets, c.Request.Gate = l, new(result.Gate)
	cancelled := &cancelOnFlush{ResponseRecorder: httptest.NewRecorder(), cancel: func() {
		eventually(t, func() bool { return slow.InFlight() == 0 }) // while the winner streams
	}}
	out = newDispatcher(t, Options{}).Do(t.Context(), c, cancelled)
	is.True(out.Err == nil)

	l = engineTargets(startEngine(t, engine.Options{FirstToken: 100 * time.Millisecond}))
	c = modelCall(streamBody, l)
	c.Request.Class.HedgeAfter = config.Duration(time.Millisecond)
	c.Request.Idempotent = false
	out, _ = do(t, newDispatcher(t, Options{}), c)
	is.True(out.Err == nil)
	is.Equal(l.hedges, 0)
}

func TestBackendServerSeesNoKeyAndUnknownFields(t *testing.T) {
	is := is.New(t)
	var header http.Header
	var query, body string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header, query = r.Header.Clone(), r.URL.RawQuery
		read, _ := io.ReadAll(r.Body)
		body = string(read)
		w.Header().Set(engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
	}))
	defer s.Close()
	c := modelCall(streamBody, &list{targets: []traffic.Target{{Server: "s", Address: s.Listener.Addr().String()}}})
	c.RawQuery = "api_key=secret&page=2"
	c.Header = http.Header{
		"Authorization": {"Bearer secret"}, "X-Api-Key": {"secret"}, "Cookie": {"a=1; api_key=secret"},
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Vendor": {"kept"}, engineapi.PriorityHeader: {"1"}, engineapi.ResumeHeader: {"5"},
	}
	_, _ = do(t, newDispatcher(t, Options{}), c)
	for name, values := range header {
		is.True(!strings.Contains(strings.Join(values, ","), "secret")) // key in a header
		is.True(name != "X-Hop")
	}
	is.Equal(query, "page=2")
	is.Equal(header.Get("Cookie"), "a=1")
	is.Equal(header.Get("X-Vendor"), "kept")
	is.Equal(header.Get(engineapi.PriorityHeader), "2") // the class's, not the caller's
	is.Equal(header.Get(engineapi.ResumeHeader), "")
	is.True(strings.Contains(body, `"vendor_field":{"a":1}`))
	is.True(strings.Contains(body, `"include_usage":true`))
}

// callerServer serves one call over a real connection.
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

func TestPlainBodiesStreamBothWays(t *testing.T) {
	is := is.New(t)
	backend := startPlain(t)
	s := callerServer(t, func(r *http.Request) Call {
		c := plainCall(plainTargets(backend))
		c.Path, c.Stream, c.ContentLength = plain.EchoPath, r.Body, -1
		return c
	})
	body, feed := io.Pipe()
	response, err := http.Post(s.URL, "text/plain", body)
	is.NoErr(err)
	defer response.Body.Close()
	piece := make([]byte, 5)
	for range 3 {
		_, err = feed.Write([]byte("hello"))
		is.NoErr(err)
		_, err = io.ReadFull(response.Body, piece)
		is.NoErr(err)
	}
	is.NoErr(feed.Close())
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(backend.TotalRuns(), 1)
}

func TestCutPlainAnswerIsCutForTheCaller(t *testing.T) {
	for _, path := range []string{"/credit", plain.EchoPath} { // with and without a length
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
		is.True(err != nil) // never a short answer that looks whole
		is.NoErr(response.Body.Close())
		is.Equal(backend.TotalRuns(), 1)
	}
}

// A streamed body can't be sent a second time, even for an idempotent request.
func TestStreamedBodyIsSentOnce(t *testing.T) {
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
	is.Equal(l.handed, 1)

	unsent := newExchange(t.Context(), newDispatcher(t, Options{}), c, httptest.NewRecorder())
	defer unsent.close()
	unsent.bodyRead.Store(true) // read, but the connection broke before a write
	err := &attemptError{code: result.ConnectFailed, cause: io.EOF}
	is.True(unsent.mustEnd(err, &traffic.Failure{}, 1) != nil)
}
