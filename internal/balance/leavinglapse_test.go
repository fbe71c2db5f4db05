package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/directory"
)

// TestLeavingServerIsNotForgotten guards against requests to a server that has said that it
// leaves, since its row changed, lapsed and returned, or its address was used in between.
func TestLeavingServerIsNotForgotten(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t, "i", "i")
	b.add("engine", "a", func(s *directory.Server) { s.StartedMillis = 5 })
	a := b.mustAcquire(prompt(1))
	a.Observe(leavingAnswer)
	a.End(Abandoned)
	known := b.Balancer.servers["a"].Server
	leaves := func() bool { return b.Balancer.servers["a"].leaving() }
	is.True(leaves())

	changed := known
	changed.Sequence++
	b.SetServers([]directory.Server{changed})
	is.True(leaves())
	other := known
	other.ID = "b" // at the same address
	b.SetServers([]directory.Server{other})
	b.SetServers([]directory.Server{other, known})
	is.True(leaves())
	is.True(!b.Balancer.servers["b"].leaving())

	restarted := known
	restarted.StartedMillis++
	b.SetServers([]directory.Server{restarted})
	is.True(!leaves()) // another process
	b.SetServers([]directory.Server{known})
	is.True(leaves()) // a copy of the store lists the one before
}
