package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
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
					return streamText(r, events(c.second...), chunked || c.whole), true
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

// TestStreamGoesOnElsewhereAfterGap guards against a stream that is lost, or holds an event
// twice, because the server that sent its first events left some out.
func TestStreamGoesOnElsewhereAfterGap(t *testing.T) {
	whole := []string{"1", "2", "3", "4", "5", "6"}
	for name, c := range map[string]struct {
		sent, rest []string
		after      string
	}{
		"inside":       {sent: []string{"1", "2", "5", "6"}, after: "2", rest: []string{"3", "4", "5", "6"}},
		"at the start": {sent: []string{"3", "4", "5", "6"}, rest: whole},
		"no event":     {rest: whole},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			var runs atomic.Int64
			var after atomic.Value
			answer := func(r *http.Request) (string, bool) {
				if runs.Add(1) == 1 {
					return streamText(r, events(c.sent...), true), true
				}
				after.Store(r.Header.Get(testResume))
				return streamText(r, events(c.rest...), true), true
			}
			s.addRawServer("0", answer)
			s.addRawServer("1", answer)
			got := s.call(http.MethodPost, "/stream/x", "", testLeft, "2000")
			is.True(!got.truncated)
			is.Equal(got.body, events(whole...))
			is.Equal(after.Load(), c.after)
			is.Equal(runs.Load(), int64(2))
		})
	}
}

// TestCallerResumes guards against a run that does not go on after the event that the caller
// states, on routes that may be resumed and on others.
func TestCallerResumes(t *testing.T) {
	for name, c := range map[string]struct {
		after string
		sent  []string
		sound bool
	}{
		"goes on":                   {after: "2", sent: []string{"3", "4"}, sound: true},
		"had ended":                 {after: "2", sound: true},
		"begins again":              {after: "2", sent: []string{"1", "2", "3"}},
		"leaves one out":            {after: "2", sent: []string{"4", "5"}},
		"no number, begins":         {after: "abc", sent: []string{"1", "2"}, sound: true},
		"no number, starts inside":  {after: "abc", sent: []string{"3"}},
		"no number, has no event":   {after: "abc"},
		"zero, begins":              {after: "0", sent: []string{"1"}, sound: true},
		"zero, has no event":        {after: "0"},
		"leading zeros, goes on":    {after: "02", sent: []string{"3"}, sound: true},
		"larger than any, starts":   {after: "9999999999999999999", sent: []string{"1"}, sound: true},
		"larger than any, goes on":  {after: "9999999999999999999", sent: []string{"10000000000000000000"}},
		"largest number, goes on":   {after: "999999999999999998", sent: []string{"999999999999999999"}, sound: true},
		"negative number, goes on":  {after: "-3", sent: []string{"-2", "-1"}},
		"negative number, at start": {after: "-3", sent: []string{"1"}, sound: true},
	} {
		for _, path := range []string{"/stream/x", "/plain-stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				s := newTestStack(t)
				s.addRawServer("0", func(r *http.Request) (string, bool) { return streamText(r, events(c.sent...), true), true })
				got := s.call(http.MethodPost, path, "", testLeft, "400", testResume, c.after)
				is.Equal(got.status == http.StatusOK && !got.truncated, c.sound)
				if c.sound {
					is.Equal(got.body, events(c.sent...))
					return
				}
				is.Equal(eventIDs(got.body), nil)
				is.True(s.recordedFailure(result.StreamBroken, ""))
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
