package entry

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

func TestRefusalFormat(t *testing.T) {
	e := startTestServer(t, testServerOptions{bodyBytes: 200})
	for name, c := range map[string]struct {
		method, path, key, body string
		header                  []string
		code                    result.Code
	}{
		"unknown key":     {"GET", "/services/entries/x", "nobody", "", nil, result.KeyUnknown},
		"no key":          {"GET", "/v1/models", "", "", nil, result.KeyMissing},
		"not JSON":        {"POST", "/v1/completions", clubKey, "x", nil, result.BadRequest},
		"unknown model":   {"POST", "/v1/completions", clubKey, `{"model":"z","prompt":"x"}`, nil, result.UnknownModel},
		"body too large":  {"POST", "/v1/completions", clubKey, strings.Repeat("x", 300), nil, result.BodyTooLarge},
		"closed service":  {"GET", "/services/bookings/x", depotKey, "", nil, result.NotPermitted},
		"no Idempotency":  {"POST", "/services/bookings/x", clubKey, "", nil, result.IdempotencyKeyMissing},
		"two Idempotency": {"POST", "/services/bookings/x", clubKey, "", []string{IdempotencyHeader, "a", IdempotencyHeader, "b"}, result.BadRequest},
		"method":          {"DELETE", "/v1/models", clubKey, "", nil, result.MethodNotAllowed},
		"websocket":       {"GET", "/services/entries/x", clubKey, "", []string{"Connection", "Upgrade", "Upgrade", "websocket"}, result.UpgradeUnsupported},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := e.call(c.method, c.path, c.key, c.body, c.header...)
			refusal := got.refusal(t)
			is.Equal(refusal.Code, c.code)
			is.Equal(got.StatusCode, c.code.HTTPStatus())
			is.Equal(refusal.Type, c.code.String())
			is.True(refusal.Message != "")
			is.True(refusal.NotRun)
			is.Equal(got.Header.Get(NotRunHeader), "true")
			is.Equal(got.Header.Get(ResultHeader), strconv.Itoa(int(c.code)))
			is.True(refusal.Request != "")
			is.Equal(got.Header.Get(RequestHeader), refusal.Request)
			is.Equal(got.Header.Get("Retry-After"), "") // waiting does not help
			line := logLine(t, e, refusal.Request)
			is.True(strings.Contains(line, `"result":`+strconv.Itoa(int(c.code))))
		})
	}
	e.requireKeyAbsent(clubKey)
	stats := timeline.Stats(eventsOf(e.ring.Snapshot()))
	received, refused := 0, 0
	for _, s := range stats {
		received, refused = received+s.Received, refused+s.Refused
	}
	is := is.New(t)
	is.Equal(received, 10) // including those refused before a class was selected
	is.Equal(refused, 10)
}

func eventsOf(events []timeline.Event, _ uint64) []timeline.Event { return events }

// logLine returns the log line of a request.
func logLine(t *testing.T, e *testServer, request string) string {
	t.Helper()
	for line := range strings.Lines(e.logs.String()) {
		if strings.Contains(line, `"request":"`+request+`"`) {
			return line
		}
	}
	t.Fatalf("no log line of request %s", request)
	return ""
}

func TestAnswerLog(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	got := e.call(http.MethodPost, "/v1/chat/completions", clubKey, chat)
	is.Equal(got.StatusCode, http.StatusOK)
	request := got.Header.Get(RequestHeader)
	e.await("the line is written", func() bool { return strings.Contains(e.logs.String(), request) })
	line := logLine(t, e, request)
	for _, field := range []string{`"organisation":"club"`, `"class":"label"`, `"backend_server":"e1"`, `"status":200`} {
		is.True(strings.Contains(line, field))
	}
	e.requireKeyAbsent(clubKey)
}

func TestRetryAfterJitter(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	e.source.setStale(true)
	seconds, millis := make(map[string]bool), make(map[string]bool)
	for range 40 {
		got := e.call(http.MethodGet, "/services/entries/x", clubKey, "")
		is.Equal(got.refusal(t).Code, result.ConfigurationStale)
		seconds[got.Header.Get("Retry-After")] = true
		millis[got.Header.Get(RetryAfterMillisHeader)] = true
		s, err := strconv.Atoi(got.Header.Get("Retry-After"))
		is.NoErr(err)
		is.True(s >= 1 && s <= 4)
	}
	is.True(len(seconds) >= 3) // whole seconds alone also spread retries
	is.True(len(millis) > 30)
}

func TestRetryJitterSeed(t *testing.T) {
	is := is.New(t)
	a, b, c := newRetryJitter(1), newRetryJitter(1), newRetryJitter(2)
	equal := 0
	for range 20 {
		d := a.delay(10 * time.Second)
		is.True(d >= 10*time.Second && d < 20*time.Second)
		is.Equal(d, b.delay(10*time.Second))
		if d == c.delay(10*time.Second) {
			equal++
		}
	}
	is.True(equal < 3)
}

func TestWaitingHelps(t *testing.T) {
	is := is.New(t)
	for _, code := range []result.Code{
		result.Shed, result.QueueTimeout, result.DeadlineHopeless, result.Preempted, result.ConfigurationStale, result.LedgerUnavailable,
		result.NoBackendServer, result.DependencyDown, result.RetryBudgetSpent, result.InstanceDraining, result.ConnectFailed, result.AlreadyRunning,
	} {
		is.True(code.SendsRetryAfter())
	}
	for _, code := range []result.Code{result.BadRequest, result.KeyUnknown, result.OutcomeUnknown, result.WillNotRunAgain, result.RequestQuarantined} {
		is.True(!code.SendsRetryAfter())
	}
}

// A panic in a handler must be answered with a numbered result.
func TestPanicAnsweredAsResult(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	e.server.mux.HandleFunc("/broken", e.server.route(func(*exchange) { panic("broken") }))
	got := e.call(http.MethodGet, "/broken", clubKey, "")
	is.Equal(got.refusal(t).Code, result.Internal)
	is.True(got.refusal(t).NotRun)
	is.Equal(e.server.Active(), int64(0))
}

func TestFailureLog(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	e.bookings.Set(fault.Settings{BreakAfter: 3})
	got := e.call(http.MethodPost, "/services/bookings/x", clubKey, "{}", IdempotencyHeader, "k")
	is.Equal(got.refusal(t).Code, result.OutcomeUnknown)
	is.True(!got.refusal(t).NotRun)
	line := logLine(t, e, got.Header.Get(RequestHeader))
	is.True(strings.Contains(line, `"backend_server":"`+events(e.ring, timeline.AttemptSent)[0].Server+`"`))
	is.True(strings.Contains(line, `"result":4010`))
}
