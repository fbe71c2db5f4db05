package streamorigin

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// maxWatched bounds the versions of one service that are remembered.
const maxWatched = 64

// View is the list of servers at one moment. It must not be changed.
type View struct {
	// AsOf is an instant at which the list was current. Zero means that it was not read yet.
	AsOf boottime.Instant
	// Services holds the number of servers that take new requests by service and version. A
	// version whose servers all leave has zero. A RouteGroup has the services that the route
	// leads to in place of versions, and their weights in place of numbers.
	Services map[string]map[string]int
}

// lists reports whether a server of the version is listed.
func (v View) lists(service, version string) bool {
	_, ok := v.Services[service][version]
	return ok
}

// presenceOf is what was seen of one version of a service.
type presenceOf struct {
	listed bool
	// since is when the version was first seen or, if it is not listed, first missing. Both are
	// counted from the time the list was read, not from when it was current.
	since boottime.Instant
}

// watch remembers which versions were listed when. It is not safe for concurrent use.
type watch struct {
	asOf  boottime.Instant
	first boottime.Instant // when the first list was seen
	// whole is when the watch began without an interruption.
	whole boottime.Instant
	// fromStart is true if nothing was missed since the first start of the system at created,
	// but what was listed only before the first list, settling at most.
	fromStart bool
	created   boottime.Instant
	services  map[string]map[string]presenceOf
	// began is when each service was seen first.
	began map[string]boottime.Instant
}

func newWatch(now boottime.Instant, bootstrap bool) *watch {
	return &watch{created: now, fromStart: bootstrap, services: map[string]map[string]presenceOf{}, began: map[string]boottime.Instant{}}
}

// observe records a list. Lists that are further apart than maxGap interrupt the watch.
func (w *watch) observe(now boottime.Instant, v View, maxGap time.Duration) {
	if v.AsOf.IsZero() {
		return
	}
	if w.whole.IsZero() {
		w.first, w.whole = now, now
		w.fromStart = w.fromStart && now.Sub(w.created) <= settling
	} else if v.AsOf.Sub(w.asOf) > maxGap {
		w.interrupt(now)
	}
	w.asOf = v.AsOf
	for service := range v.Services {
		if w.began[service].IsZero() {
			w.began[service] = now
			w.services[service] = map[string]presenceOf{}
		}
	}
	for service, seen := range w.services {
		if observeService(now, seen, v.Services[service]) {
			w.whole, w.fromStart = now, false
		}
	}
}

// interrupt starts the watch anew: versions may have been listed unseen.
func (w *watch) interrupt(now boottime.Instant) {
	w.whole, w.fromStart = now, false
	for service, seen := range w.services {
		w.began[service] = now
		for version := range seen {
			seen[version] = presenceOf{listed: seen[version].listed, since: now}
		}
	}
}

// observeService records which versions of a service are listed. It reports whether it had to
// forget one.
func observeService(now boottime.Instant, seen map[string]presenceOf, listed map[string]int) (forgot bool) {
	for version := range listed {
		if p, ok := seen[version]; !ok || !p.listed {
			seen[version] = presenceOf{listed: true, since: now}
		}
	}
	for version, p := range seen {
		if _, ok := listed[version]; p.listed && !ok {
			seen[version] = presenceOf{since: now}
		}
	}
	for len(seen) > maxWatched+len(listed) {
		forgetOldest(seen)
		forgot = true
	}
	return forgot
}

// forgetOldest forgets the version that has been missing for longest.
func forgetOldest(seen map[string]presenceOf) {
	oldest, found := "", false
	for version, p := range seen {
		if !p.listed && (!found || p.since.Before(seen[oldest].since)) {
			oldest, found = version, true
		}
	}
	delete(seen, oldest)
}

// sinceFirst reports whether a service was in all lists so far.
func (w *watch) sinceFirst(service string) bool { return w.began[service] == w.first }

// missingFor returns for how long the version was missing up to the last list. It is zero if the
// version is listed.
func (w *watch) missingFor(service, version string) time.Duration {
	p, ok := w.services[service][version]
	switch {
	case !ok:
		return max(0, w.asOf.Sub(w.whole))
	case p.listed:
		return 0
	}
	return max(0, w.asOf.Sub(p.since))
}

// onlyFor reports whether no version but one was listed for a time up to the last list. The requests
// of a route that came later may have been those of another one, with other services.
func (w *watch) onlyFor(service, version string, d time.Duration) bool {
	fromStart, whole := w.fromStart, w.whole
	if isRouteGroup(service) {
		fromStart, whole = fromStart && w.sinceFirst(service), max(whole, w.began[service])
	}
	for other := range w.services[service] {
		if other != version && (fromStart || w.missingFor(service, other) < d) {
			return false
		}
	}
	return fromStart || w.asOf.Sub(whole) >= d
}
