package gatewayfile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/logsink"
)

// TestUnframedAnswersOfServerWithoutEpoch guards against a service whose every answer without
// framing is lost, since its servers state no restart epoch, and that is sent foreign requests.
func TestUnframedAnswersOfServerWithoutEpoch(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	paths := make(chan string, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				paths <- r.URL.Path
				fmt.Fprintf(c, "HTTP/1.0 200 OK\r\n%s: %s\r\n\r\nwhole", engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
			}
			_ = c.Close()
		}
	}()
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	writeFile(t, path, l.Addr().String(), "/a/")
	f, err := Load(path)
	is.NoErr(err)
	s, err := New(f, logsink.New(io.Discard, 0))
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx, path, make(chan os.Signal)) }()
	r, err := http.NewRequest(http.MethodGet, "http://"+s.Address()+"/a/x", nil)
	is.NoErr(err)
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	_ = response.Body.Close()
	stop()
	is.NoErr(<-done)
	close(paths)
	is.Equal(string(body), "whole")
	for got := range paths {
		is.Equal(got, "/a/x")
	}
}
