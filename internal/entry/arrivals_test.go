package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

func TestArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newArrivals()
		first, second := net.Pipe()
		a.connState(first, http.StateNew)
		a.connState(second, http.StateNew)
		is.Equal(a.unread(), 2)
		a.connState(first, http.StateActive)
		a.connState(first, http.StateIdle)
		a.connState(second, http.StateClosed)
		is.Equal(a.unread(), 0)
		is.True(!a.settled())
		time.Sleep(settledAfter)
		is.True(a.settled())
		a.begin()
		time.Sleep(time.Minute)
		is.True(!a.settled()) // a request runs
		a.end()
		is.True(a.settled())
		third, _ := net.Pipe()
		a.connState(third, http.StateNew)
		time.Sleep(settledAfter)
		is.True(!a.settled()) // a request may be on its way
		time.Sleep(unreadAfter)
		is.True(a.settled())
	})
}

// TestRequestOnItsWayAtShutdownIsAnswered guards against requests that are read after the
// listener closed, on connections accepted or kept before, and end without an answer.
func TestRequestOnItsWayAtShutdownIsAnswered(t *testing.T) {
	for name, keep := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := Listen(ListenerOptions{Address: "127.0.0.1:0", MaxHeaderBytes: 1 << 12, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
				http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), hclog.NewNullLogger())
			is.NoErr(err)
			go func() { _ = l.Serve() }()
			c, err := net.Dial("tcp", l.Address())
			is.NoErr(err)
			defer c.Close()
			answers := bufio.NewReader(c)
			exchange := func() error {
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					return err
				}
				response, err := http.ReadResponse(answers, nil)
				if err != nil {
					return err
				}
				return response.Body.Close()
			}
			if keep {
				is.NoErr(exchange())
			}
			time.Sleep(20 * time.Millisecond) // the connection is accepted
			done := make(chan error, 1)
			go func() { done <- l.Shutdown(t.Context()) }()
			time.Sleep(50 * time.Millisecond)
			is.NoErr(exchange())
			is.NoErr(<-done)
		})
	}
}
