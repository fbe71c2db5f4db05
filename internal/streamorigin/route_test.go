package streamorigin

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const testPattern = "host/path/"

// routedWorld is a world with the services s (v1) and s2 (w1), and one route, which leads to services.
type routedWorld struct {
	*world
	routes map[string]map[string]int // services by pattern; guarded by world.mu
}

func newRoutedWorld(t *testing.T, services ...string) *routedWorld {
	t.Helper()
	w := &routedWorld{world: newWorld(t, "v1"), routes: map[string]map[string]int{}}
	w.lead(testPattern, services...)
	return w
}

// lead sets the services that a route leads to.
func (w *routedWorld) lead(pattern string, services ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	group := map[string]int{}
	for i, s := range services {
		group[s] = 10 - i
	}
	w.routes[pattern] = group
}

func (w *routedWorld) start(bootstrap bool) *node {
	n := w.world.start(bootstrap)
	n.kill()
	synctest.Wait()
	o := n.options
	o.View = func() View { return w.look(n) }
	n.Registry = New(o)
	ctx, kill := context.WithCancel(w.t.Context())
	n.kill = kill
	w.t.Cleanup(kill)
	go n.Run(ctx)
	return n
}

func (w *routedWorld) look(n *node) View {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut {
		return n.view
	}
	n.link.follow()
	w.mu.Lock()
	defer w.mu.Unlock()
	n.view = View{AsOf: w.now(), Services: map[string]map[string]int{"s": maps.Clone(w.servers), "s2": {"w1": 3}}}
	for pattern, services := range w.routes {
		n.view.Services[RouteGroup(pattern)] = services
	}
	return n.view
}

// beginRouted begins a stream of a route at a service. It returns whether that took a record.
func (n *node) beginRouted(t *testing.T, pattern, attempt, service, version string) (recorded bool) {
	t.Helper()
	before := len(n.link.store.rows(originPrefix))
	c := n.ForRoute(pattern).Track(attempt, service)
	defer c.Ended()
	c.Sending(version)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := c.Confirm(ctx); err != nil {
		t.Fatal(err)
	}
	return len(n.link.store.rows(originPrefix)) > before
}

// TestMovedRouteRefusesUnrecordedStreams guards against a stream that goes on at the service to which
// its route has moved since, also at instances that started after the move.
func TestMovedRouteRefusesUnrecordedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRoutedWorld(t, "s")
		first, second := w.start(true), w.start(true)
		w.hold(first)
		time.Sleep(5 * time.Second)
		is.True(!first.beginRouted(t, testPattern, "a", "s", "v1"))
		version, err := second.ForRoute(testPattern).Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
		w.lead(testPattern, "s2")
		time.Sleep(2 * time.Second)
		is.True(second.beginRouted(t, testPattern, "b", "s2", "w1"))
		for _, n := range []*node{first, second, w.start(false)} {
			_, err := n.ForRoute(testPattern).Find(t.Context(), "a", "s2")
			after, refused := retryAfter(err)
			is.True(refused)
			is.Equal(after, time.Duration(0))
			version, err := n.ForRoute(testPattern).Find(t.Context(), "b", "s2")
			is.NoErr(err)
			is.Equal(version, "w1")
		}
	})
}

// TestMovedRouteNeedsNoRecordsInTheEnd checks that streams at the new service of a route need no
// record once those of the former one have ended, and not before.
func TestMovedRouteNeedsNoRecordsInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRoutedWorld(t, "s")
		first, second := w.start(true), w.start(true)
		w.hold(first)
		time.Sleep(5 * time.Second)
		second.setCut(true) // it goes on to begin streams at s
		w.lead(testPattern, "s2")
		times := timesFor(10 * time.Second)
		time.Sleep(times.trust - 5*time.Second)
		is.True(!second.beginRouted(t, testPattern, "a", "s", "v1"))
		for began := time.Now(); time.Since(began) < times.life; time.Sleep(time.Second) {
			_, err := first.ForRoute(testPattern).Find(t.Context(), "a", "s2")
			_, refused := retryAfter(err)
			is.True(refused)
		}
		second.setCut(false)
		time.Sleep(times.quiet - times.trust)
		is.True(!first.beginRouted(t, testPattern, "b", "s2", "w1"))
		version, err := second.ForRoute(testPattern).Find(t.Context(), "b", "s2")
		is.NoErr(err)
		is.Equal(version, "w1")
	})
}

// TestNewRouteWaits guards against a stream of another route, to which its requests went before, that
// goes on at the service of a new route.
func TestNewRouteWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRoutedWorld(t, "s")
		n := w.start(true)
		w.hold(n)
		time.Sleep(5 * time.Second)
		is.True(!n.beginRouted(t, testPattern, "a", "s", "v1"))
		const longer = testPattern + "longer/"
		w.lead(longer, "s2")
		time.Sleep(5 * time.Second)
		_, err := w.start(false).ForRoute(longer).Find(t.Context(), "a", "s2")
		_, refused := retryAfter(err)
		is.True(refused)
		is.True(n.beginRouted(t, longer, "b", "s2", "w1"))
		time.Sleep(timesFor(10*time.Second).quiet + 5*time.Second)
		is.True(!n.beginRouted(t, longer, "c", "s2", "w1"))
	})
}

// TestSplitRouteRecordsTheSmallerShare guards against streams of a split route that go on at its other
// service.
func TestSplitRouteRecordsTheSmallerShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRoutedWorld(t, "s", "s2")
		first, second := w.start(true), w.start(true)
		w.hold(first)
		time.Sleep(5 * time.Second)
		is.True(!first.beginRouted(t, testPattern, "a", "s", "v1"))
		is.True(first.beginRouted(t, testPattern, "b", "s2", "w1"))
		version, err := second.ForRoute(testPattern).Find(t.Context(), "b", "s2")
		is.NoErr(err)
		is.Equal(version, "w1")
		for attempt, service := range map[string]string{"a": "s2", "b": "s"} {
			_, err := second.ForRoute(testPattern).Find(t.Context(), attempt, service)
			_, refused := retryAfter(err)
			is.True(refused)
		}
	})
}

// TestManyBaseRowsAreRead guards against base rows beyond the first page that are never known.
func TestManyBaseRowsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRoutedWorld(t, "s")
		for i := range baseRowsPage {
			w.lead(fmt.Sprint("host/", i, "/"), "s")
		}
		n := w.start(true)
		w.hold(n)
		time.Sleep(10 * time.Second)
		other := w.start(false)
		time.Sleep(10 * time.Second)
		for pattern := range w.routes {
			is.True(other.mayOmit(RouteGroup(pattern), "s", "v1"))
		}
	})
}
