package guardconn

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recorder is a connection that counts written bytes.
type recorder struct {
	net.Conn
	bytes atomic.Int64
}

func (r *recorder) Write(p []byte) (int, error) {
	r.bytes.Add(int64(len(p)))
	return len(p), nil
}

func guarded(p *Permit) (*Conn, *recorder) {
	r := &recorder{}
	c := &Conn{EndConn: EndConn{Conn: r}}
	p.Attach(httptrace.GotConnInfo{Conn: c})
	return c, r
}

func TestWriteWithoutPermit(t *testing.T) {
	is := is.New(t)
	r := &recorder{}
	c := &Conn{EndConn: EndConn{Conn: r}}
	_, err := c.Write([]byte("x"))
	is.True(errors.Is(err, ErrNotPermitted))
	is.Equal(r.bytes.Load(), int64(0))
}

func TestPermitDecidesOnce(t *testing.T) {
	is := is.New(t)
	asked := 0
	p := NewPermit(func() Grant { asked++; return Allow(0) })
	c, r := guarded(p)
	for range 3 {
		_, err := c.Write([]byte("x"))
		is.NoErr(err)
	}
	is.Equal(asked, 1)
	is.Equal(r.bytes.Load(), int64(3))
	is.True(!p.Revoke()) // bytes were already written
}

func TestWriteWithRevokedPermit(t *testing.T) {
	is := is.New(t)
	p := NewPermit(func() Grant { return Allow(0) })
	c, r := guarded(p)
	is.True(p.Revoke())
	is.True(!p.Denied())
	_, err := c.Write([]byte("x"))
	is.True(errors.Is(err, ErrNotPermitted))
	is.Equal(r.bytes.Load(), int64(0))
	is.True(p.Revoke()) // a second call returns the same result
}

// TestRevokeWaitsForDecision revokes a permit while the first write is being
// decided. The result must hold for that write too.
func TestRevokeWaitsForDecision(t *testing.T) {
	is := is.New(t)
	deciding, decide := make(chan struct{}), make(chan struct{})
	p := NewPermit(func() Grant {
		close(deciding)
		<-decide
		return Allow(0)
	})
	c, r := guarded(p)
	var writing sync.WaitGroup
	writing.Go(func() { _, _ = c.Write([]byte("x")) })
	<-deciding
	revoked := make(chan bool, 1)
	go func() { revoked <- p.Revoke() }()
	time.AfterFunc(50*time.Millisecond, func() { close(decide) })
	unwritten := <-revoked
	writing.Wait()
	is.Equal(unwritten, r.bytes.Load() == 0)
}
