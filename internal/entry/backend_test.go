package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// replaceBackend replaces a service's backend server by a handler.
func (e *testServer) replaceBackend(service string, h http.HandlerFunc) {
	s := httptest.NewServer(h)
	e.t.Cleanup(s.Close)
	e.apply(func(c *config.Config, _ map[config.KeyDigest]config.KeyState) {
		c.Services = append([]config.Service(nil), c.Services...)
		for i := range c.Services {
			if c.Services[i].Name == service {
				c.Services[i].Servers = []config.Endpoint{{Address: strings.TrimPrefix(s.URL, "http://"), Zone: "a"}}
			}
		}
	})
}

func echoAttempt(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
}

func discardBody(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

func itoa(n int) string { return strconv.Itoa(n) }

// readResponse reads an answer from a raw connection.
func readResponse(t *testing.T, c net.Conn) reply {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{response, string(text)}
}
