package edge

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/streamorigin"
)

// newStreamsPlatform returns a platform with a table for the origins of streams.
func newStreamsPlatform(t *testing.T) *testPlatform {
	t.Helper()
	w := newTestPlatform(t)
	w.adjust = func(p *Platform) { p.Streams = []platform.Table{w.store.Table("streams")} }
	return w
}

// TestOriginsSurviveRestart guards against an instance that does not know, after a restart of all,
// at which version a stream began.
func TestOriginsSurviveRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newStreamsPlatform(t)
	w.addServer("a", 0)
	one := w.startReady("one")
	begin := func(attempt, version string) error {
		c := one.origins.Track(attempt, "s")
		defer c.Ended()
		c.Sending(version)
		return c.Confirm(t.Context())
	}
	is.NoErr(begin("x", "v9")) // no base yet: recorded
	one.stop()
	err := <-one.done
	one.done <- err // for the cleanup
	is.NoErr(err)
	two := w.startReady("two")
	version, err := two.origins.Find(t.Context(), "x", "s")
	is.NoErr(err)
	is.Equal(version, "v9")
	_, err = two.origins.Find(t.Context(), "y", "s")
	var unknown *gateway.OriginUnknownError
	is.True(errors.As(err, &unknown)) // no base
	is.True(unknown.RetryAfter > 0)
	var text strings.Builder
	two.writeMetrics(&text)
	is.True(strings.Contains(text.String(), `hawthornwick_stream_origin_lookups_total{result="record"} 1`))
}

// TestBaseIsDecidedAtFirstStart checks that the holder of the duty decides the base, and that the
// other instance then writes no records of streams at it.
func TestBaseIsDecidedAtFirstStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newStreamsPlatform(t)
	w.bootstrap = true
	w.addServer("a", 0)
	one, two := w.startReady("one"), w.startReady("two")
	known := func(r *testInstance) bool {
		var text strings.Builder
		r.origins.WriteMetrics(&text)
		return strings.Contains(text.String(), `hawthornwick_stream_base{service="s",version="",closed="false"} 1`)
	}
	eventually(t, 10*time.Second, "both know the base", func() bool { return known(one) && known(two) })
	c := two.origins.Track("x", "s")
	c.Sending("")
	is.NoErr(c.Confirm(t.Context()))
	c.Ended()
	rows, err := w.store.Table("streams").List(t.Context(), "origin/", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 0)
	version, err := one.origins.Find(t.Context(), "x", "s")
	is.NoErr(err)
	is.Equal(version, "")
}

// TestVersionsOfServices checks the list of versions and when it was current.
func TestVersionsOfServices(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newStreamsPlatform(t)
	w.addServer("a", 0)
	w.addServer("b", 0)
	one := w.startReady("one")
	eventually(t, 3*time.Second, "both servers are listed", func() bool { return one.view.versions().Services["s"][""] == 2 })
	is.True(!one.view.versions().AsOf.IsZero())
}

// TestLongestTimeoutIsOfStreams guards against a plain route without a timeout that makes records
// of streams live for long.
func TestLongestTimeoutIsOfStreams(t *testing.T) {
	is := is.New(t)
	split := []routes.Share{{Service: "s", Weight: 1}}
	route := func(kind routes.Kind, prefix string, timeout time.Duration) routes.Route {
		return routes.Route{Name: prefix, Host: "test", Prefix: prefix, Kind: kind, Split: split, Timeout: timeout}
	}
	longest := func(list ...routes.Route) time.Duration {
		table, err := routes.Compile(routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}, Routes: list})
		is.NoErr(err)
		v := &storeView{}
		v.table.Store(table)
		return v.longestTimeout()
	}
	plain := route(routes.Idempotent, "/plain/", 0)
	is.Equal((&storeView{}).longestTimeout(), time.Duration(0))
	is.Equal(longest(plain), time.Duration(0))
	is.Equal(longest(plain, route(routes.Stream, "/a/", time.Second), route(routes.Stream, "/b/", 2*time.Second)), 2*time.Second)
	is.Equal(longest(plain, route(routes.Stream, "/a/", 0)), noTimeout)
}

// TestServicesOfRoutes checks which services the streams of a route may reach.
func TestServicesOfRoutes(t *testing.T) {
	is := is.New(t)
	route := func(kind routes.Kind, prefix string, split ...routes.Share) routes.Route {
		return routes.Route{Name: prefix, Host: "Test", Prefix: prefix, Kind: kind, Split: split}
	}
	table, err := routes.Compile(routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}, {Name: "s2"}}, Routes: []routes.Route{
		route(routes.Idempotent, "/plain/", routes.Share{Service: "s", Weight: 1}),
		route(routes.Stream, "/one/", routes.Share{Service: "s", Weight: 0}),
		route(routes.Stream, "/split/", routes.Share{Service: "s", Weight: 0.2}, routes.Share{Service: "s2", Weight: 0.8}),
		route(routes.Stream, "/moved/", routes.Share{Service: "s", Weight: 1}, routes.Share{Service: "s2", Weight: 0}),
	}})
	is.NoErr(err)
	groups := servicesOfRoutes(table)
	is.Equal(len(groups), 3)
	is.Equal(groups[streamorigin.RouteGroup("test/one/")], map[string]int{"s": 1})
	is.Equal(groups[streamorigin.RouteGroup("test/moved/")], map[string]int{"s": 1 + weightScale})
	split := groups[streamorigin.RouteGroup("test/split/")]
	is.Equal(len(split), 2)
	is.True(split["s"] < split["s2"])
}
