package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// TestBrokenAnswerLeavesEarlierOneWhole guards against a complete answer, not read yet, that is
// lost because the next answer on the HTTP/1.0 connection is broken off.
func TestBrokenAnswerLeavesEarlierOneWhole(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	body := strings.Repeat("0123456789abcdef", 16<<10)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/broken" {
			fmt.Fprint(w, "part")
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(w, body)
	})
	l, err := Listen(ListenerOptions{Address: "127.0.0.1:0"}, h, hclog.NewNullLogger())
	is.NoErr(err)
	go func() { _ = l.Serve() }()
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp", l.Address())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(16 << 10))
	fmt.Fprint(c, "GET /whole HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /broken HTTP/1.0\r\n\r\n")
	time.Sleep(300 * time.Millisecond) // the second answer is broken off meanwhile
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	got, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(got), len(body))
}
