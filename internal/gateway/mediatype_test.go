package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/eventstream"
)

// looseProtocol is testProtocol for servers whose events follow no rule.
type looseProtocol struct{ testProtocol }

func (looseProtocol) EventRules() eventstream.Rules { return eventstream.Rules{} }

// useLooseEvents replaces the rules of events. Call it before the first request.
func (s *testStack) useLooseEvents() { s.gateway.options.Protocol = looseProtocol{} }

// typedText returns a stream answer with the given Content-Type, or without one.
func typedText(r *http.Request, contentType, body string) string {
	line := ""
	if contentType != "" {
		line = fmt.Sprintf("Content-Type: %s\r\n", contentType)
	}
	return strings.Replace(streamText(r, body, true), "Content-Type: text/event-stream\r\n", line, 1)
}

// emptyText returns an answer without a body that has the given Content-Type, or none.
func emptyText(r *http.Request, contentType string) string {
	fields := ""
	if contentType != "" {
		fields = fmt.Sprintf("Content-Type: %s\r\n", contentType)
	}
	return plainText(r, "200 OK", fields, "")
}

// TestStreamOfOtherMediaTypeIsChecked guards against a stream that lacks pieces and is relayed
// unchecked because its Content-Type is missing or written in another way.
func TestStreamOfOtherMediaTypeIsChecked(t *testing.T) {
	for _, contentType := range []string{
		"", "text/event-stream", "TEXT/Event-Stream", "text/event-stream; charset=utf-8", "text/event-stream;;", "text/plain", "application/json",
	} {
		for _, path := range []string{"/stream/x", "/plain-stream/x"} {
			t.Run(contentType+path, func(t *testing.T) {
				is := is.New(t)
				body := events("1", "2")
				s := newTestStack(t)
				s.addRawServer("0", func(r *http.Request) (string, bool) { return typedText(r, contentType, body), false })
				got := s.call(http.MethodPost, path, "", testLeft, "2000")
				is.True(!got.truncated)
				is.Equal(got.body, body)
				if contentType != "" {
					is.Equal(got.header.Get("Content-Type"), contentType)
				}

				body = events("1", "2", "5")
				got = s.call(http.MethodPost, path, "", testLeft, "400", testAttempt, "b")
				is.True(got.truncated)
				is.Equal(got.body, events("1", "2"))

				body = `{"text":"no stream"}`
				got = s.call(http.MethodPost, path, "", testLeft, "400", testAttempt, "c")
				is.Equal(got.status, http.StatusBadGateway)
			})
		}
	}
}

// TestStreamRouteMayAnswerWithoutStream guards against an answer that is no stream and is
// broken off as one, where the servers' streams follow no rules.
func TestStreamRouteMayAnswerWithoutStream(t *testing.T) {
	is := is.New(t)
	const object = `{"text":"no stream"}`
	s := newTestStack(t)
	s.useLooseEvents()
	contentType, body := "application/json", object
	s.addRawServer("0", func(r *http.Request) (string, bool) { return typedText(r, contentType, body), false })
	got := s.call(http.MethodPost, "/stream/x", "", testLeft, "400")
	is.Equal(got.body, object)
	is.True(!got.truncated)
	for _, contentType = range []string{"TEXT/Event-Stream ; charset=utf-8", "text/event-stream;;"} {
		body = "id: 1\ndata\n\nid: 1\ndata\n\n"
		got = s.call(http.MethodPost, "/stream/x", "", testLeft, "400")
		is.Equal(got.body, "id: 1\ndata\n\n")
		is.True(got.truncated)
	}
}

// TestEmptyAnswerOfOtherMediaTypeEndsNoStream guards against a stream that ends as complete
// because a server that was to resume it sent an empty answer that is no stream.
func TestEmptyAnswerOfOtherMediaTypeEndsNoStream(t *testing.T) {
	for _, contentType := range []string{"", "text/plain", "application/json"} {
		t.Run(contentType, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			answer := func(r *http.Request) (string, bool) {
				if r.Header.Get(testResume) == "" {
					return streamText(r, events("1", "2")+"id: 3\nda", true), true
				}
				return emptyText(r, contentType), true
			}
			s.addRawServer("0", answer)
			s.addRawServer("1", answer)
			got := s.call(http.MethodPost, "/stream/x", "", testLeft, "400")
			is.True(got.truncated)
			is.Equal(got.body, events("1", "2"))
		})
	}
}
