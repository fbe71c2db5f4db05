package streamorigin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// TestBaseRowsOfManyRoutesKeepToTheRate guards against a transaction for each new route at once, at
// more than the rate that the registry may use of the store.
func TestBaseRowsOfManyRoutesKeepToTheRate(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRoutedWorld(t, "s")
		for i := range 2000 {
			w.lead(fmt.Sprintf("host/route-%d/", i), "s")
		}
		n := w.start(true)
		n.link.delay = time.Millisecond
		w.hold(n)
		most, before := 0, 0
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			now := w.store.commitCount()
			most, before = max(most, now-before), now
		}
		t.Logf("at most %d transactions in 100 ms, the rate is %v", most, w.rate)
		is.True(float64(most) <= w.rate/10)
	})
}

// TestBaseRowsOfRemovedRoutesGo guards against base rows of routes that are no longer configured, which
// each instance reads again and again.
func TestBaseRowsOfRemovedRoutesGo(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRoutedWorld(t, "s")
		n := w.start(false)
		w.hold(n)
		time.Sleep(10 * time.Minute)
		for i := range 100 {
			pattern := fmt.Sprintf("host/route-%d/", i)
			w.lead(pattern, "s")
			time.Sleep(10 * time.Minute)
			w.mu.Lock()
			delete(w.routes, pattern)
			w.mu.Unlock()
		}
		time.Sleep(24 * time.Hour)
		rows := len(w.store.rows(basePrefix))
		t.Logf("%d base rows for 2 services and 1 route", rows)
		is.True(rows <= 10)
	})
}

// TestRouteThatComesBackJoinsNoServices guards against a stream that began at one service, while a route
// of its requests was gone, and goes on at the service of that route once it is back.
func TestRouteThatComesBackJoinsNoServices(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRoutedWorld(t, "s")
		const narrow = "host/path/narrow/"
		w.lead(narrow, "s2")
		first, second := w.start(true), w.start(true)
		w.hold(first)
		time.Sleep(5 * time.Second)
		is.True(!second.beginRouted(t, narrow, "before", "s2", "w1"))
		w.mu.Lock()
		delete(w.routes, narrow)
		w.mu.Unlock()
		time.Sleep(time.Minute)
		is.True(!second.beginRouted(t, testPattern, "a", "s", "v1")) // needs no record
		w.lead(narrow, "s2")
		time.Sleep(2 * time.Second)
		version, err := first.ForRoute(narrow).Find(t.Context(), "a", "s2")
		t.Logf("the stream of service s at v1 goes on at service s2 at %q: %v", version, err)
		_, refused := retryAfter(err)
		is.True(refused)
	})
}

// TestRemovedRouteJoinsNoServices guards against a stream that began at the service of a route, and goes
// on at the service of the wider route that takes its requests once the route is gone.
func TestRemovedRouteJoinsNoServices(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRoutedWorld(t, "s")
		const narrow = "host/path/narrow/"
		w.lead(narrow, "s2")
		first, second := w.start(true), w.start(true)
		w.hold(first)
		time.Sleep(5 * time.Second)
		is.True(!second.beginRouted(t, narrow, "a", "s2", "w1")) // needs no record
		w.mu.Lock()
		delete(w.routes, narrow)
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		version, err := first.ForRoute(testPattern).Find(t.Context(), "a", "s")
		t.Logf("the stream of service s2 at w1 goes on at service s at %q: %v", version, err)
		_, refused := retryAfter(err)
		is.True(refused)
	})
}
