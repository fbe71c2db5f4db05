package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProbeBeginsAfterTheEnd guards against a crash that is not counted because a probe that began
// before it found the server.
func TestProbeBeginsAfterTheEnd(t *testing.T) {
	is := is.New(t)
	var crashed atomic.Bool
	dialling, release := make(chan struct{}), make(chan struct{})
	var dials atomic.Int64
	p := newProber()
	p.dial = func(context.Context, string, string) (net.Conn, error) {
		down := crashed.Load()
		if dials.Add(1) == 1 {
			close(dialling)
			<-release
		}
		if down {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		here, _ := net.Pipe()
		return here, nil
	}
	early, late := make(chan reachability, 1), make(chan reachability, 1)
	go func() { early <- p.probe("s") }()
	<-dialling
	crashed.Store(true)
	go func() { late <- p.probe("s") }()
	time.Sleep(50 * time.Millisecond) // the second probe finds the first one running
	close(release)
	is.Equal(<-early, reachable)
	is.Equal(<-late, refused)
}
