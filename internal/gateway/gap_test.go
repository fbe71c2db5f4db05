package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// event returns the text of an event.
func event(id string) string { return fmt.Sprintf("id: %s\ndata: chunk %s\n\n", id, id) }

// events returns the text of events with the given ids.
func events(ids ...string) string {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString(event(id))
	}
	return text.String()
}

// TestGapBreaksStreamOff guards against a stream that lacks pieces inside, or has none, and
// reaches its caller as complete.
func TestGapBreaksStreamOff(t *testing.T) {
	for name, c := range map[string]struct{ sent, passed []string }{
		"inside":            {sent: []string{"1", "2", "5", "6"}, passed: []string{"1", "2"}},
		"at the start":      {sent: []string{"3", "4"}},
		"starts at zero":    {sent: []string{"0", "1"}},
		"huge":              {sent: []string{"1", "2", "900719925474"}, passed: []string{"1", "2"}},
		"leading zeros":     {sent: []string{"1", "2", "003"}, passed: []string{"1", "2"}},
		"no event":          {},
		"whole run again":   {sent: []string{"1", "2", "1", "2", "3"}, passed: []string{"1", "2"}},
		"piece comes twice": {sent: []string{"1", "2", "2", "3"}, passed: []string{"1", "2"}},
	} {
		for _, path := range []string{"/stream/x", "/plain-stream/x"} {
			for framing, chunked := range map[string]bool{"in chunks": true, "without framing": false} {
				t.Run(strings.Join([]string{name, path, framing}, " "), func(t *testing.T) {
					is := is.New(t)
					s := newTestStack(t)
					s.addRawServer("0", func(r *http.Request) (string, bool) {
						return streamText(r, events(c.sent...), chunked), true
					})
					got := s.call(http.MethodPost, path, "", testLeft, "400")
					is.True(got.truncated || got.status >= http.StatusInternalServerError)
					if !got.truncated {
						is.True(!strings.Contains(got.body, `"not_run":true`))
					}
					is.Equal(eventIDs(got.body), c.passed)
					is.True(s.recordedFailure(result.StreamBroken, ""))

					s.addServer("1", streamEvents(5, false))
					if path != "/stream/x" {
						return
					}
					got = s.call(http.MethodPost, path, "", testLeft, "2000", testAttempt, "b")
					is.True(!got.truncated)
					is.Equal(eventIDs(got.body), []string{"1", "2", "3", "4", "5"})
				})
			}
		}
	}
}

// TestResumedRunGoesOnAfterLastEvent guards against pieces that are missing or come twice
// where a resumed run is joined to what the caller has.
func TestResumedRunGoesOnAfterLastEvent(t *testing.T) {
	for name, c := range map[string]struct {
		second []string
		whole  bool
	}{
		"goes on":         {second: []string{"3", "4"}, whole: true},
		"had ended":       {whole: true},
		"leaves one out":  {second: []string{"4", "5"}},
		"starts at five":  {second: []string{"5", "6"}},
		"begins again":    {second: []string{"1", "2", "3"}},
		"repeats a piece": {second: []string{"2", "3"}},
	} {
		for framing, chunked := range map[string]bool{"in chunks": true, "without framing": false} {
			t.Run(name+" "+framing, func(t *testing.T) {
				is := is.New(t)
				s := newTestStack(t)
				answer := func(r *http.Request) (string, bool) {
					if r.Header.Get(testResume) == "" {
						return streamText(r, events("1", "2")+"id: 3\nda", chunked), true
					}
					return streamText(r, events(c.second...), chunked), true
				}
				s.addRawServer("0", answer)
				s.addRawServer("1", answer)
				got := s.call(http.MethodPost, "/stream/x", "", testLeft, "400")
				is.Equal(got.truncated, !c.whole)
				want := events("1", "2")
				if c.whole {
					want += events(c.second...)
				}
				is.Equal(got.body, want)
			})
		}
	}
}

// TestHeadOfStreamIsRelayed guards against an answer to HEAD that is broken off as a run
// without events.
func TestHeadOfStreamIsRelayed(t *testing.T) {
	is := is.New(t)
	s := newTestStack(t, streamEvents(2, false))
	got := s.call(http.MethodHead, "/stream/x", "", testLeft, "400")
	is.Equal(got.status, http.StatusOK)
	is.True(!got.truncated)
}
