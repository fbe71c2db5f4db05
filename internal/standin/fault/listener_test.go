package fault

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefusingListenerKeepsItsPort guards against a stand-in that cannot listen again because a
// connection took its port as the local one meanwhile.
func TestRefusingListenerKeepsItsPort(t *testing.T) {
	is := is.New(t)
	l, err := Listen("")
	is.NoErr(err)
	defer l.Close()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer other.Close()
	is.NoErr(l.Refuse(true))
	_, err = net.DialTimeout("tcp", l.Address(), time.Second)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	dialer := net.Dialer{LocalAddr: l.Addr()}
	taken, err := dialer.Dial("tcp", other.Addr().String())
	if err == nil {
		defer taken.Close()
	}
	is.NoErr(l.Refuse(false))
	is.True(errors.Is(err, syscall.EADDRINUSE))
	c, err := net.DialTimeout("tcp", l.Address(), time.Second)
	is.NoErr(err)
	is.NoErr(c.Close())
	is.NoErr(l.Close())
	again, err := Listen(l.Address())
	is.NoErr(err)
	is.NoErr(again.Close())
}
