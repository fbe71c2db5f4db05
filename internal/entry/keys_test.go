package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

func TestAmbiguousCredentials(t *testing.T) {
	e := startTestServer(t, testServerOptions{})
	for name, c := range map[string]struct {
		lines  []string
		status int
	}{
		"one key":                   {[]string{"Bearer " + clubKey}, http.StatusOK},
		"other case of the scheme":  {[]string{"bEARER  " + clubKey}, http.StatusOK},
		"no key":                    {nil, http.StatusOK},
		"unknown key":               {[]string{"Bearer nobody"}, http.StatusUnauthorized},
		"scheme without key":        {[]string{"Bearer"}, http.StatusUnauthorized},
		"another scheme":            {[]string{"Basic " + clubKey}, http.StatusUnauthorized},
		"two keys":                  {[]string{"Bearer " + clubKey, "Bearer " + depotKey}, http.StatusBadRequest},
		"a key after other schemes": {[]string{"Basic x", "Bearer nobody"}, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var header []string
			for _, line := range c.lines {
				header = append(header, "Authorization", line)
			}
			got := e.call(http.MethodGet, "/services/results/x", "", "", header...)
			is.Equal(got.StatusCode, c.status)
			is.Equal(got.Header.Get(NotRunHeader) == "true", c.status != http.StatusOK)
		})
	}
}

// requireKeyAbsent fails the test if the key reached a backend server, log line or event.
func (e *testServer) requireKeyAbsent(key string) {
	e.t.Helper()
	if strings.Contains(e.logs.String(), key) {
		e.t.Errorf("key found in the log: %s", e.logs.String())
	}
	for _, ring := range []*timeline.Ring{e.ring, e.backends} {
		all, _ := ring.Snapshot()
		for _, event := range all {
			if strings.Contains(event.Detail, key) || event.Kind == timeline.BackendReceived && event.KeyDigest != "" {
				e.t.Errorf("key found in event: %+v", event)
			}
		}
	}
}

// Guards against a caller's key in a request to a backend server, a log line or an
// event. Requests with the key in the path or body are refused.
func TestKeyNotDisclosed(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	seen := make(chan *http.Request, 20)
	e.captureRequests("entries", seen)
	for _, path := range []string{"/services/entries/x", "/services/entries/x?api_key=" + clubKey + "&a=1", "/services/entries/x?club=" + clubKey} {
		got := e.call(http.MethodGet, path, clubKey, "",
			"Cookie", "theme=dark; club="+clubKey, "X-Club", "my key is "+clubKey, "X-Api-Key", clubKey, "Accept", "text/plain")
		is.Equal(got.StatusCode, http.StatusOK)
		r := <-seen
		is.Equal(r.Header.Get("Accept"), "text/plain")
		is.Equal(r.Header.Get("Cookie"), "theme=dark")
		for name, values := range r.Header {
			is.True(!strings.Contains(strings.Join(values, " "), clubKey)) // header field
			_ = name
		}
		is.True(!strings.Contains(r.RequestURI, clubKey))
	}
	for _, got := range []reply{
		e.call(http.MethodGet, "/services/entries/"+clubKey, clubKey, ""),
		e.call(http.MethodGet, "/"+clubKey, clubKey, ""),
		e.call(http.MethodGet, "/v1/models/"+clubKey, clubKey, ""),
		e.call(http.MethodGet, "/services/entries/x", clubKey, "", ClassHeader, clubKey),
		e.call(http.MethodPost, "/services/bookings/x", clubKey, `{"key":"`+clubKey+`"}`, IdempotencyHeader, "k1"),
		e.call(http.MethodPost, "/v1/chat/completions", clubKey, strings.Replace(chat, "hi", clubKey, 1)),
		e.call(http.MethodPost, "/v1/chat/completions", clubKey, strings.Replace(chat, `"m"`, `"`+clubKey+`"`, 1)),
	} {
		is.True(got.StatusCode >= 400 && got.StatusCode < 500)
		is.Equal(got.Header.Get(NotRunHeader), "true")
		is.True(!strings.Contains(got.text, clubKey))
	}
	is.Equal(e.bookings.TotalRuns(), 0)
	e.requireKeyAbsent(clubKey)
}

// captureRequests replaces a service's backend server by one that sends each
// request it receives to the channel.
func (e *testServer) captureRequests(service string, seen chan<- *http.Request) {
	e.replaceBackend(service, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Clone(r.Context())
		echoAttempt(w, r)
	})
}

func TestKeyInTrailer(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	trailers := make(chan http.Header, 1)
	e.replaceBackend("entries", func(w http.ResponseWriter, r *http.Request) {
		echoAttempt(w, r)
		discardBody(r)
		trailers <- r.Trailer
	})
	r, err := http.NewRequest(http.MethodPut, e.base+"/services/entries/x", strings.NewReader("body"))
	is.NoErr(err)
	r.ContentLength = -1
	r.Header.Set("Authorization", "Bearer "+clubKey)
	r.Trailer = http.Header{"Authorization": {"Bearer " + clubKey}}
	is.Equal(e.send(http.DefaultClient, r).StatusCode, http.StatusOK)
	is.Equal(len(<-trailers), 0)
}

func TestKeyWithdrawnDuringBodyRead(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	c := e.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey +
		"\r\nContent-Length: " + itoa(len(chat)) + "\r\n\r\n" + chat[:10])
	e.await("the request is being read", func() bool { return e.server.Active() == 1 })
	e.withdraw(clubKey)
	_, err := c.Write([]byte(chat[10:]))
	is.NoErr(err)
	got := readResponse(t, c)
	is.Equal(got.StatusCode, http.StatusUnauthorized)
	is.Equal(got.refusal(t).Code, result.KeyWithdrawn)
	is.True(got.refusal(t).NotRun)
	is.Equal(len(events(e.ring, timeline.AttemptStarted)), 0)
}

// Guards against a withdrawal between authentication and registration of the
// running request, which no later update would apply.
func TestKeyWithdrawnBeforeRegistration(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	snap := e.newSnapshot(func(_ *config.Config, keys map[config.KeyDigest]config.KeyState) {
		keys[config.DigestKey(clubKey)] = config.KeyState{Organisation: "club", Withdrawn: true}
	})
	hook := func(event timeline.Event) {
		if event.Kind == timeline.KeyAccepted {
			e.source.setWithoutNotify(snap)
		}
	}
	e.onEvent.Store(&hook)
	got := e.call(http.MethodGet, "/services/entries/x", clubKey, "")
	is.Equal(got.refusal(t).Code, result.KeyWithdrawn)
	is.True(got.refusal(t).NotRun)
	is.Equal(len(events(e.ring, timeline.KeyAccepted)), 1) // it was valid at first
	is.Equal(e.entries.TotalRuns(), 0)
}

func TestConfigStaleDuringBodyRead(t *testing.T) {
	for path, service := range map[string]bool{"/v1/chat/completions": false, "/services/bookings/x": true} {
		is := is.New(t)
		e := startTestServer(t, testServerOptions{})
		c := e.raw("POST " + path + " HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nAuthorization: Bearer " + clubKey +
			"\r\nContent-Length: " + itoa(len(chat)) + "\r\n\r\n" + chat[:10])
		e.await("the request is being read", func() bool { return e.server.Active() == 1 })
		e.source.setStale(true)
		_, err := c.Write([]byte(chat[10:]))
		is.NoErr(err)
		is.Equal(readResponse(t, c).refusal(t).Code, result.ConfigurationStale)
		is.True(!service || e.bookings.TotalRuns() == 0)
	}
}

func TestServiceClosedDuringBodyRead(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	c := e.raw("POST /services/bookings/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nAuthorization: Bearer " + clubKey +
		"\r\nContent-Length: 2\r\n\r\n{")
	e.await("the request is being read", func() bool { return e.server.Active() == 1 })
	e.apply(func(c *config.Config, _ map[config.KeyDigest]config.KeyState) {
		c.Services = append([]config.Service(nil), c.Services...)
		c.Services[2].Organisations = []string{"depot"}
	})
	_, err := c.Write([]byte("}"))
	is.NoErr(err)
	is.Equal(readResponse(t, c).refusal(t).Code, result.NotPermitted)
	is.Equal(e.bookings.TotalRuns(), 0)
}

// startQueuedRequest fills the model's only slot and returns the reply channel of
// a second request, which waits in the queue.
func startQueuedRequest(t *testing.T, e *testServer) <-chan reply {
	t.Helper()
	e.begin(http.MethodPost, "/v1/chat/completions", depotKey, chat)
	e.await("the first runs", func() bool { return e.engine.InFlight() == 1 })
	waiting := e.begin(http.MethodPost, "/v1/chat/completions", clubKey, chat)
	e.await("the second waits", func() bool { return len(events(e.ring, timeline.RequestQueued)) > 0 })
	return waiting
}

// A queued request that a newer configuration forbids must end as "not run".
func TestQueuedRequestCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*config.Config, map[config.KeyDigest]config.KeyState)
		code   result.Code
	}{
		"key withdrawn": {func(_ *config.Config, keys map[config.KeyDigest]config.KeyState) {
			keys[config.DigestKey(clubKey)] = config.KeyState{Organisation: "club", Withdrawn: true}
		}, result.KeyWithdrawn},
		"key granted to another organisation": {func(_ *config.Config, keys map[config.KeyDigest]config.KeyState) {
			keys[config.DigestKey(clubKey)] = config.KeyState{Organisation: "depot"}
		}, result.KeyWithdrawn},
		"organisation removed": {func(c *config.Config, _ map[config.KeyDigest]config.KeyState) {
			c.Organisations = c.Organisations[1:]
		}, result.NotPermitted},
		"model removed": {func(c *config.Config, _ map[config.KeyDigest]config.KeyState) {
			c.Models = nil
		}, result.NoBackendServer},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startTestServer(t, testServerOptions{limit: 1})
			e.engine.Set(fault.Settings{Paused: true})
			waiting := startQueuedRequest(t, e)
			e.apply(c.change)
			got := <-waiting
			is.Equal(got.refusal(t).Code, c.code)
			is.True(got.refusal(t).NotRun)
			e.engine.Set(fault.Settings{})
		})
	}
}

func TestOpenStreamCancelled(t *testing.T) {
	for name, change := range map[string]func(*config.Config, map[config.KeyDigest]config.KeyState){
		"key withdrawn": func(_ *config.Config, keys map[config.KeyDigest]config.KeyState) {
			keys[config.DigestKey(clubKey)] = config.KeyState{Organisation: "club", Withdrawn: true}
		},
		"key removed": func(_ *config.Config, keys map[config.KeyDigest]config.KeyState) {
			delete(keys, config.DigestKey(clubKey))
		},
		"organisation removed": func(c *config.Config, _ map[config.KeyDigest]config.KeyState) {
			c.Organisations = c.Organisations[1:]
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startTestServer(t, testServerOptions{engine: engine.Options{AnswerTokens: 4000, BetweenTokens: 5 * time.Millisecond}})
			done := e.begin(http.MethodPost, "/v1/chat/completions", clubKey, streamedChat)
			e.await("tokens flow", func() bool { return e.engine.Tokens() > 3 })
			e.apply(change)
			got := <-done
			is.True(strings.Contains(got.text, `"code":2005`))
			is.True(strings.Contains(got.text, `"not_run":false`))
			is.True(!strings.Contains(got.text, "[DONE]"))
			e.await("the engine stops", func() bool { return e.engine.InFlight() == 0 })
		})
	}
}

func TestKeyGrantedAgain(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	e.withdraw(clubKey)
	got := e.call(http.MethodGet, "/services/entries/x", clubKey, "")
	is.Equal(got.refusal(t).Code, result.KeyWithdrawn)
	is.True(got.refusal(t).NotRun)
	e.apply(func(_ *config.Config, keys map[config.KeyDigest]config.KeyState) {
		keys[config.DigestKey(clubKey)] = config.KeyState{Organisation: "club"}
	})
	is.Equal(e.call(http.MethodGet, "/services/entries/x", clubKey, "").StatusCode, http.StatusOK)
}

// A run that continues after its caller disconnected must still end when the key
// is withdrawn.
func TestKeyWithdrawnAfterCallerLeft(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	e.bookings.Set(fault.Settings{Paused: true})
	c := e.raw("POST /services/bookings/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nAuthorization: Bearer " + clubKey +
		"\r\nContent-Length: 2\r\n\r\n{}")
	e.await("the run is sent", func() bool { return len(events(e.backends, timeline.BackendReceived)) == 1 })
	is.NoErr(c.Close())
	time.Sleep(20 * time.Millisecond) // time to detect the disconnect
	is.Equal(e.server.Active(), int64(1))
	e.withdraw(clubKey)
	e.await("the run has ended", func() bool { return e.server.Active() == 0 })
	e.bookings.Set(fault.Settings{})
}

func TestKeyWithdrawnDuringUpload(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	c := e.raw("PUT /services/entries/echo HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clubKey + "\r\nContent-Length: 100\r\n\r\n{")
	e.await("the upload is sent", func() bool { return len(events(e.backends, timeline.BackendReceived)) == 1 })
	e.withdraw(clubKey)
	_, _ = io.Copy(io.Discard, c) // until the connection is closed
	e.await("the request ends", func() bool { return e.server.Active() == 0 })
	failed := events(e.ring, timeline.RequestFailed)
	is.Equal(len(failed), 1)
	is.Equal(failed[0].Code, result.StreamKeyWithdrawn)
}

// A duplicate that waits for the first run's answer must not be answered with "not
// run" when the key is withdrawn, because the first run may have run.
func TestKeyWithdrawnWhileDuplicateWaits(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	e.bookings.Set(fault.Settings{Paused: true})
	first := e.begin(http.MethodPost, "/services/bookings/x", clubKey, "{}", IdempotencyHeader, "k")
	e.await("the run is sent", func() bool { return len(events(e.backends, timeline.BackendReceived)) == 1 })
	reads := func() int64 { return e.platform.Counts("i1", platform.TableInterface).ReadCalls }
	before := reads()
	second := e.begin(http.MethodPost, "/services/bookings/x", clubKey, "{}", IdempotencyHeader, "k")
	e.await("the duplicate waits", func() bool { return reads() >= before+2 })
	e.withdraw(clubKey)
	for _, done := range []<-chan reply{first, second} {
		got := <-done
		is.Equal(got.StatusCode, http.StatusUnauthorized)
		is.True(!got.refusal(t).NotRun)
	}
	e.bookings.Set(fault.Settings{})
}
