package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// newBalancer returns a balancer with one server of service "s".
func newBalancer(t *testing.T) *balance.Balancer {
	t.Helper()
	table, err := routes.Compile(routes.Config{Services: []routes.Service{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	b := balance.New(balance.Options{Instance: "i"})
	b.SetTable(table)
	b.SetServers([]directory.Server{{Entry: directory.Entry{ID: "a", Service: "s", Capacity: 64}}})
	b.SetMembers([]string{"i"})
	return b
}

// TestGrownDemandPublishedEarly guards against a burst of demand that the instance which
// orders servers receives only after the burst is over.
func TestGrownDemandPublishedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(t)
		m := &members{balancer: b, outdated: wait.NewSignal()}
		start := time.Now()
		is.NoErr(m.awaitPublish(t.Context(), b.TakeDemand()))
		is.Equal(time.Since(start), minPresenceInterval) // demand has not changed
		start = time.Now()
		published := b.TakeDemand()
		for range 20 {
			_, err := b.Acquire(t.Context(), &balance.Query{Service: "s", MaxWait: time.Second})
			is.NoErr(err)
		}
		is.NoErr(m.awaitPublish(t.Context(), published))
		is.Equal(time.Since(start), demandCheckInterval)
		start = time.Now()
		is.NoErr(m.awaitPublish(t.Context(), b.TakeDemand()))
		is.Equal(time.Since(start), minPresenceInterval) // the grown demand was published already
	})
}

func TestPlanningReadInterval(t *testing.T) {
	is := is.New(t)
	m := &members{balancer: newBalancer(t)}
	m.reads.Store(startupReads)
	m.planning.Store(true)
	is.Equal(m.readInterval(), planningReadInterval)
}
