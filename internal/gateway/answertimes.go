package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// answerSamples is the number of the newest answers of a route that are kept.
	answerSamples = 64
	// usualQuantile is the quantile of their times that is considered usual.
	usualQuantile = 0.95
	// maxTimedRoutes bounds the routes of which answers are kept.
	maxTimedRoutes = 1024
)

// answerTimes holds the times of the newest complete answers by route. It is safe for
// concurrent use.
type answerTimes struct {
	mu     sync.Mutex
	routes map[string]*answerRing
}

// answerRing holds the newest times of one route.
type answerRing struct {
	times [answerSamples]time.Duration
	count int // of all times ever added
}

func newAnswerTimes() *answerTimes { return &answerTimes{routes: map[string]*answerRing{}} }

// add records the time from a request's arrival to the end of its answer.
func (t *answerTimes) add(route string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring := t.routes[route]
	if ring == nil {
		if len(t.routes) >= maxTimedRoutes {
			clear(t.routes)
		}
		ring = &answerRing{}
		t.routes[route] = ring
	}
	ring.times[ring.count%answerSamples] = d
	ring.count++
}

// usual returns the time within which most answers of the route are complete, or zero if
// it has answered none.
func (t *answerTimes) usual(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring := t.routes[route]
	if ring == nil {
		return 0
	}
	known := slices.Clone(ring.times[:min(ring.count, answerSamples)])
	slices.Sort(known)
	return known[min(int(usualQuantile*float64(len(known))), len(known)-1)]
}

// longest returns the longest time known of the route, or zero if it has answered none.
func (t *answerTimes) longest(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring := t.routes[route]
	if ring == nil {
		return 0
	}
	return slices.Max(ring.times[:min(ring.count, answerSamples)])
}
