package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// startTextServer starts a server that answers each request with the text, in which %s stands
// for its fields.
func startTextServer(t *testing.T, text string) traffic.Target {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, text, fmt.Sprintf("%s: %s\r\n", engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader)))
	}))
	t.Cleanup(s.Close)
	return traffic.Target{Server: "raw", Address: s.Listener.Addr().String()}
}

// TestInvalidAnswerIsNotRelayed guards against callers that get as an answer what is none in
// the protocol.
func TestInvalidAnswerIsNotRelayed(t *testing.T) {
	const plain = "Content-Length: 4\r\n\r\nodd!"
	for name, text := range map[string]string{
		"status 000":           "HTTP/1.1 000 Nothing\r\n%s" + plain,
		"status 999":           "HTTP/1.1 999 Beyond\r\n%s" + plain,
		"other protocol":       "HTTP/1.1 101 Switching Protocols\r\n%s\r\n",
		"blank within a name":  "HTTP/1.1 200 OK\r\n%sOdd Field: odd!\r\n" + plain,
		"blank before a colon": "HTTP/1.1 200 OK\r\n%sOdd-Field : odd!\r\n" + plain,
		"blank before a name":  "HTTP/1.1 200 OK\r\n%s Odd-Field: odd!\r\n" + plain,
		"length with a blank":  "HTTP/1.1 200 OK\r\n%sContent-Length : 4\r\n\r\nodd! and more",
		"trailer":              "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\nOdd Field: odd!\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startTextServer(t, text)
			out, w := do(t, newDispatcher(t, Options{MaxAttempts: 1}), plainCall(&targetList{targets: []traffic.Target{target}}))
			is.True(out.Err != nil)
			is.True(!out.Err.NotRun())
			is.True(out.Abort || !strings.Contains(w.Body.String(), "odd!"))
			is.True(!strings.Contains(fmt.Sprint(w.Header()), "odd!"))

			l := engineTargets(startEngine(t, engine.Options{}))
			l.targets = append([]traffic.Target{target}, l.targets...)
			out, _ = do(t, newDispatcher(t, Options{MaxAttempts: 2}), modelCall(chatBody, l))
			is.True(out.Err == nil)
			is.Equal(out.Attempts, 2)
		})
	}
}

// TestInvalidReportIsNotBelieved guards against a server that counts as alive by a report that
// is no answer.
func TestInvalidReportIsNotBelieved(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 Nothing\r\n%s", "HTTP/1.1 200 OK\r\n%sOdd Field: 1\r\n", "HTTP/1.1 200 OK\r\n%sOdd-Field : 1\r\n"} {
		is := is.New(t)
		target := startTextServer(t, head+"Content-Length: 11\r\n\r\n"+`{"epoch":7}`)
		var report engineapi.LoadReport
		err := getJSON(t.Context(), target.Address, engineapi.LoadPath, &report)
		is.True(err != nil)
		is.Equal(report.Epoch, uint64(0))
	}
}
