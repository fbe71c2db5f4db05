package platform

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	api "github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/platform/httpapi"
	"github.com/matryer/is"
)

func TestTableConditionalCommit(t *testing.T) {
	is := is.New(t)
	table := New(Options{}).Caller("a").Table()
	versions, err := table.Commit(t.Context(), api.Txn{
		Checks: []api.Check{{Key: "k"}},
		Writes: []api.Write{{Key: "k", Value: []byte("1")}},
	})
	is.NoErr(err)
	_, err = table.Commit(t.Context(), api.Txn{
		Checks: []api.Check{{Key: "k"}},
		Writes: []api.Write{{Key: "k", Value: []byte("2")}, {Key: "l", Value: []byte("2")}},
	})
	var conflict *api.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, versions[0])
	rows, err := table.Get(t.Context(), "k", "l")
	is.NoErr(err)
	is.Equal(string(rows[0].Value), "1") // the rejected transaction wrote nothing
	is.Equal(rows[1].Version, uint64(0))
}

func TestTableVersionsSurviveDeletion(t *testing.T) {
	is := is.New(t)
	table := New(Options{}).Caller("a").Table()
	set := api.Txn{Writes: []api.Write{{Key: "k"}}}
	first, err := table.Commit(t.Context(), set)
	is.NoErr(err)
	_, err = table.Commit(t.Context(), api.Txn{Writes: []api.Write{{Key: "k", Delete: true}}})
	is.NoErr(err)
	second, err := table.Commit(t.Context(), set)
	is.NoErr(err)
	is.True(second[0] > first[0])
}

func TestDelayedCallOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(Options{})
		table := p.Caller("a").Table()
		p.SetFault(TableInterface, Fault{Delay: 5 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := table.Commit(ctx, api.Txn{Writes: []api.Write{{Key: "k"}}})
		is.True(errors.Is(err, api.ErrUnavailable))
		p.SetFault(TableInterface, Fault{})
		rows, err := table.Get(t.Context(), "k")
		is.NoErr(err)
		is.Equal(rows[0].Version, uint64(0)) // the delay has not passed
		time.Sleep(5 * time.Second)
		rows, err = table.Get(t.Context(), "k")
		is.NoErr(err)
		is.True(rows[0].Version > 0)
	})
}

func TestClearingFaultEndsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(Options{})
		p.SetFault(TableInterface, Fault{Paused: true})
		done := make(chan error, 1)
		go func() {
			_, err := p.Caller("a").Table().Get(t.Context(), "k")
			done <- err
		}()
		time.Sleep(time.Minute)
		is.Equal(len(done), 0)
		p.SetFault(TableInterface, Fault{})
		is.NoErr(<-done)
	})
}

func TestStartsShareWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(Options{StartTime: 10 * time.Second, WeightRate: 1 << 30, WeightBytes: 20 << 30})
		defer p.Close()
		servers := p.Caller("a").Servers()
		for _, id := range []string{"o1", "o2"} {
			_, err := servers.Place(t.Context(), api.Order{ID: id, Kind: api.OrderStart, Zone: "z1"})
			is.NoErr(err)
		}
		time.Sleep(31 * time.Second)
		is.Equal(runningServers(p), 0) // two loads of 20 s share the rate limit
		time.Sleep(20 * time.Second)
		is.Equal(runningServers(p), 2)
	})
}

func runningServers(p *Platform) int {
	n := 0
	for _, s := range p.ServerList() {
		if s.State == api.ServerRunning {
			n++
		}
	}
	return n
}

func TestPlaceIsIdempotentAndFenced(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	defer p.Close()
	servers := p.Caller("a").Servers()
	p.SetFault(ServersInterface, Fault{LoseReplies: 1})
	order := api.Order{ID: "o1", Duty: "orders", Token: 2, Kind: api.OrderStart}
	_, err := servers.Place(t.Context(), order)
	is.True(errors.Is(err, api.ErrUnavailable))
	out, err := servers.Lookup(t.Context(), "o1")
	is.NoErr(err)
	again, err := servers.Place(t.Context(), order)
	is.NoErr(err)
	is.Equal(again, out)
	is.Equal(p.Orders(), 1)
	_, err = servers.Place(t.Context(), api.Order{ID: "o2", Duty: "orders", Token: 1, Kind: api.OrderStart})
	var stale *api.StaleTokenError
	is.True(errors.As(err, &stale))
	is.Equal(p.Orders(), 1)
}

func TestUsageReportViolation(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	sink := p.Caller("a").Usage()
	report := api.UsageReport{Window: "w", Lines: []api.UsageLine{{Organisation: "o", InputTokens: 1}}}
	is.NoErr(sink.Report(t.Context(), report))
	is.NoErr(sink.Report(t.Context(), report))
	is.Equal(len(p.Violations()), 0)
	report.Lines = []api.UsageLine{{Organisation: "o", InputTokens: 2}}
	is.NoErr(sink.Report(t.Context(), report))
	is.Equal(len(p.Violations()), 1)
}

func TestInstanceListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(Options{ListLag: 10 * time.Second, InstanceTTL: time.Minute})
		list := func() []api.Instance {
			found, err := p.Caller("a").Instances().List(t.Context())
			is.NoErr(err)
			return found
		}
		p.Register(api.Instance{Name: "a"})
		is.Equal(len(list()), 0)
		time.Sleep(10 * time.Second)
		is.Equal(len(list()), 1)
		p.Register(api.Instance{Name: "a", Draining: true})
		is.Equal(list()[0].Draining, false)
		time.Sleep(10 * time.Second)
		is.Equal(list()[0].Draining, true)
		time.Sleep(2 * time.Minute)
		is.Equal(len(list()), 0)
	})
}

func TestHTTPClientMapsErrors(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	defer p.Close()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := httpapi.New(httpapi.Options{Caller: "a", Endpoint: server.URL})
	defer client.Close()

	versions, err := client.Table().Commit(t.Context(), api.Txn{Writes: []api.Write{{Key: "k", Value: []byte("v")}}})
	is.NoErr(err)
	_, err = client.Table().Commit(t.Context(), api.Txn{Checks: []api.Check{{Key: "k", Version: 99}}})
	var conflict *api.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, api.ConflictError{Key: "k", Current: versions[0]})
	_, err = client.Objects().Get(t.Context(), "absent")
	is.True(errors.Is(err, api.ErrNotFound))
	_, err = client.Servers().Place(t.Context(), api.Order{ID: "1", Duty: "d", Token: 7, Kind: api.OrderStart})
	is.NoErr(err)
	_, err = client.Servers().Place(t.Context(), api.Order{ID: "2", Duty: "d", Token: 6, Kind: api.OrderStart})
	var stale *api.StaleTokenError
	is.True(errors.As(err, &stale))
	is.Equal(*stale, api.StaleTokenError{Token: 6, Seen: 7})

	p.SetFault(TableInterface, Fault{LoseReplies: 1})
	_, err = client.Table().Commit(t.Context(), api.Txn{Writes: []api.Write{{Key: "l"}}})
	is.True(errors.Is(err, api.ErrUnavailable))
	rows, err := client.Table().List(t.Context(), "", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 2) // the lost reply's write took effect
	is.Equal(p.Counts("a", TableInterface).WriteCalls, int64(3))
}

func TestHTTPClientTimeout(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := httpapi.New(httpapi.Options{Caller: "a", Endpoint: server.URL, Timeout: 50 * time.Millisecond})
	defer client.Close()
	p.SetFault(TableInterface, Fault{Paused: true})
	_, err := client.Table().Get(t.Context(), "k")
	is.True(errors.Is(err, api.ErrUnavailable))
	p.SetFault(TableInterface, Fault{})
	_, err = client.Table().Get(t.Context(), "k")
	is.NoErr(err)
	p.Close()
}
