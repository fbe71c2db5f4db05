package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/demo"
)

// TestKilledProcessResetsHTTP10Caller guards against a stream that looks complete to a
// caller without chunks because the kernel ends a killed process's connections normally.
func TestKilledProcessResetsHTTP10Caller(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, demo.Options{BetweenTokens: time.Second})
	p := c.processes[0]
	conn, err := net.Dial("tcp", p.callers)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(readyTimeout)))
	body := `{"model":"label-2b","stream":true,"messages":[{"role":"user","content":"label"}]}`
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		c.keys["setubal-depot"], len(body), body)
	answer := bufio.NewReader(conn)
	for line := ""; !strings.HasPrefix(line, "data: "); {
		line, err = answer.ReadString('\n')
		is.NoErr(err)
	}
	p.signal(syscall.SIGKILL)
	_, err = io.ReadAll(answer)
	is.True(err != nil)
}
