package dispatch

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// newRelayFixture returns an exchange and an attempt whose answer has the given
// body.
func newRelayFixture(t testing.TB, body io.ReadCloser, w http.ResponseWriter) (*exchange, *attempt) {
	c := modelCall(streamBody, &targetList{targets: []traffic.Target{{Server: "s"}}})
	x := newExchange(t.Context(), newDispatcher(t, Options{}), c, w)
	t.Cleanup(x.close)
	a := x.newAttempt(traffic.Target{Server: "s"}, true)
	a.response = &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: body}
	a.body = bufio.NewReader(&answerBody{a: a})
	a.relaying = true
	return x, a
}

// For any bytes from an engine, the caller's stream ends with the terminal
// event exactly if relayStream returns no error, and the caller never receives
// a truncated event.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("event: x\r\ndata: {\"choices\":[],\"usage\":{}}\r\n\r\ndata: [DONE]"))
	f.Add([]byte(": comment\n\ndata: {\"error\":{}}\n\n"))
	f.Add([]byte("data: {\ndata: }\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		w := httptest.NewRecorder()
		x, a := newRelayFixture(t, io.NopCloser(bytes.NewReader(answer)), w)
		err := x.relayStream(a)
		written := w.Body.String()
		if complete := strings.HasSuffix(written, "data: [DONE]\n\n"); complete != (err == nil) {
			t.Fatalf("error %v after %q", err, written)
		}
		if written != "" && !strings.HasSuffix(written, "\n\n") {
			t.Fatalf("truncated event in %q", written)
		}
	})
}

// StripKeys must remove all header fields, cookies and query parameters that
// can carry a key, and must keep other cookies.
func FuzzStripKeys(f *testing.F) {
	f.Add("Authorization", "Bearer s3cret", "a=1; api_key=s3cret", "key=s3cret&page=2")
	f.Add("x-API-key", "s3cret", "token=s3cret", "%61pi_key=s3cret;x=1")
	f.Add("Accept", "*/*", "Key =s3cret; =", "access-token=%zz&&=&a")
	f.Fuzz(func(t *testing.T, name, value, cookie, query string) {
		h := http.Header{name: {value}, "Cookie": {cookie, "kept=1"}, "cookie": {"key=s3cret"}}
		StripKeys(h, nil)
		for kept, values := range h {
			if isKeyHeader(kept) {
				t.Fatalf("header %q kept", kept)
			}
			if !strings.EqualFold(kept, "Cookie") {
				continue
			}
			request := http.Request{Header: http.Header{"Cookie": values}}
			for _, c := range request.Cookies() {
				if isKeyName(c.Name) {
					t.Fatalf("cookie %q kept in %q", c.Name, values)
				}
			}
		}
		if !strings.EqualFold(name, "Cookie") && !strings.Contains(strings.Join(h["Cookie"], ""), "kept=1") {
			t.Fatalf("cookie without a key removed: %q", h)
		}
		stripped, _ := url.ParseQuery(stripQuery(query))
		for kept := range stripped {
			if isKeyName(kept) {
				t.Fatalf("parameter %q kept of %q", kept, query)
			}
		}
	})
}
