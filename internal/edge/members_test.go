package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/routes"
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

// TestDemandThatGrowsIsToldBeforeTheIntervalIsOver: the instance that orders
// servers must not learn of a burst when it is over.
func TestDemandThatGrowsIsToldBeforeTheIntervalIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(t)
		m := &members{balancer: b}
		start := time.Now()
		is.NoErr(m.awaitNews(t.Context(), b.TakeDemand()))
		is.Equal(time.Since(start), presenceLeast) // nothing new
		start = time.Now()
		told := b.TakeDemand()
		for range 20 {
			_, err := b.Acquire(t.Context(), &balance.Query{Service: "s", Patience: time.Second})
			is.NoErr(err)
		}
		is.NoErr(m.awaitNews(t.Context(), told))
		is.Equal(time.Since(start), demandInterval)
		start = time.Now()
		is.NoErr(m.awaitNews(t.Context(), b.TakeDemand()))
		is.Equal(time.Since(start), presenceLeast) // told already
	})
}

func TestInstanceThatOrdersServersReadsTheOthersRowsOften(t *testing.T) {
	is := is.New(t)
	m := &members{balancer: newBalancer(t)}
	m.reads.Store(earlyReads)
	m.planning.Store(true)
	is.Equal(m.readInterval(), planningReadInterval)
}
