package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRestartedServerOfOtherVersionBeginsNoStreamAsTheFormer guards against a stream that is noted
// at the version of the directory's entry, while a later process of another version began it.
func TestRestartedServerOfOtherVersionBeginsNoStreamAsTheFormer(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	origins := &testOrigins{}
	s.gateway.options.Origins = origins
	runs := s.addRestarted(testStarted + 1) // listed as v1, writes as v2
	for n := range 10 {
		got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, strconv.Itoa(n))
		// The caller has events of v2 and takes the stream up at another instance, which goes by
		// what Confirm has stated: v1.
		confirmed := 0
		for _, c := range origins.calls {
			if c == "confirm" {
				confirmed++
			}
		}
		is.True(versionsOf(got.body)["v2"] == 0 || confirmed == 0)
	}
	is.True(runs.Load() > 0) // otherwise nothing was tested
}

// TestStreamOfRestartedServerIsNotJoined guards against an answer whose first events come from a
// process that the directory does not list yet, and whose others come from the listed version.
func TestStreamOfRestartedServerIsNotJoined(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Origins = &testOrigins{}
	runs := s.addRestarted(testStarted + 1) // listed as v1, writes as v2
	s.addVersions(fourEvents, "v1")
	for n := range 20 {
		got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, strconv.Itoa(n))
		is.Equal(len(versionsOf(got.body)), 1)
	}
	is.True(runs.Load() > 0) // otherwise nothing was tested
}

// TestTakeUpAtServerWithoutFreeConnection guards against a sound take-up that is dropped because the
// server, at its limit of connections, resets the one on which it is asked who it is.
func TestTakeUpAtServerWithoutFreeConnection(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t)
	s.gateway.options.Origins = &testOrigins{version: "v1"}
	for id := range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == testIdentityPath {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(testAttempt, r.Header.Get(testAttempt))
			w.Header().Set(testSigned, strconv.Itoa(id))
			versionEvents("v1", 4)(w, r)
		}))
		t.Cleanup(server.Close)
		s.addAddress(strconv.Itoa(id), strings.TrimPrefix(server.URL, "http://"))
		s.servers[id].Version, s.servers[id].Capacity = "v1", 64
	}
	s.balancer.SetServers(s.servers)
	got := s.call(http.MethodPost, "/stream/x", "ask", testAttempt, "n", testResume, "2", testResumed, "first")
	t.Log(got.status, got.body)
	is.Equal(got.status, http.StatusOK)
	is.Equal(versionsOf(got.body), map[string]int{"v1": 2})
}
