package fanout

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	// minSourceBackoff and maxSourceBackoff bound the backoff after a source has failed.
	// It doubles with each consecutive failure.
	minSourceBackoff = time.Second
	maxSourceBackoff = 16 * time.Second
	// proxyDuration is how long tables are read through a proxy after a failure of the
	// store, before the store is tried again.
	proxyDuration = 3 * time.Second
)

// Values of timeline.Event.State in a timeline.FeedSource event.
const (
	stateStore  = "store"  // read from the store, not served to others
	stateServes = "serves" // read from the store and served to others
	stateSource = "source" // read from another instance
)

// GroupOptions configure a Group. All fields are required.
type GroupOptions struct {
	// Instance and Zone name this instance.
	Instance, Zone string
	// Recorder receives an event whenever the tables are read from another place.
	Recorder timeline.Recorder
	// Now returns the current time.
	Now func() boottime.Instant
}

// sourceBackoff is the backoff after failures of a source.
type sourceBackoff struct {
	failures int
	until    boottime.Instant
}

// Group selects the instance through which the tables are read. It is safe for
// concurrent use.
type Group struct {
	options GroupOptions

	mu         sync.Mutex
	serves     bool
	sources    []Member                 // of the zone, most preferred first; empty when this instance is one
	proxies    []Member                 // instances that may proxy for the store, most preferred first
	proxyUntil boottime.Instant         // end of the use of a proxy; zero if none was used
	backoffs   map[string]sourceBackoff // by token
	state      string                   // state and peer of the last event
	peer       string
	readers    int // number of instances that read the store directly

	answered, failed uint64 // calls to sources
}

// NewGroup returns a group without members, whose tables are read from the store.
func NewGroup(o GroupOptions) *Group {
	return &Group{options: o, backoffs: map[string]sourceBackoff{}, state: stateStore}
}

// SetMembers sets all live instances, this one included.
func (g *Group) SetMembers(members []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sources := Sources(members, g.options.Zone)
	self := func(m Member) bool { return m.Name == g.options.Instance }
	g.serves = slices.ContainsFunc(sources, self)
	g.sources = nil
	if !g.serves {
		g.sources = rankFor(sources, g.options.Instance)
	}
	g.proxies = proxyCandidates(members, g.options.Instance, g.options.Zone)
	g.readers = len(StoreReaders(members))
	g.pruneBackoffs()
	g.recordIfChanged("")
}

// pruneBackoffs drops the backoffs of instances that are no longer members.
func (g *Group) pruneBackoffs() {
	for token := range g.backoffs {
		if !slices.ContainsFunc(g.proxies, func(m Member) bool { return m.Token == token }) {
			delete(g.backoffs, token)
		}
	}
}

// IsSource reports whether this instance is a source of its zone.
func (g *Group) IsSource() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serves
}

// ReadsStore reports whether this instance reads the store directly now. Only then may it
// serve others.
func (g *Group) ReadsStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, follows := g.source()
	return !follows
}

// ReportStoreFailure records a failed call to the store and switches to a proxy for
// proxyDuration, if there is one. In a zone with sources it does nothing: the sources
// are tried first anyway, and in an outage for all instances every failure would cost
// one more call.
func (g *Group) ReportStoreFailure(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.serves || len(g.sources) > 0 {
		return
	}
	g.proxyUntil = g.options.Now().Add(proxyDuration)
	g.recordIfChanged("store: " + err.Error())
}

// EndProxy ends the use of a proxy, because the proxy cannot reach the store either. It
// reports whether one was in use.
func (g *Group) EndProxy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	inUse := g.options.Now().Before(g.proxyUntil)
	g.proxyUntil = 0
	return inUse
}

// UsesProxy reports whether a proxy may be used now.
func (g *Group) UsesProxy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.options.Now().Before(g.proxyUntil)
}

// StoreReaders returns the number of instances that read the store directly, 0 while the
// members are unknown.
func (g *Group) StoreReaders() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers
}

// Source returns the source or proxy to call now; false when the store is to be read.
func (g *Group) Source() (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.source()
}

func (g *Group) source() (Member, bool) {
	now := g.options.Now()
	if m, ok := g.firstAvailable(g.sources, now); ok {
		return m, true
	}
	if now.Before(g.proxyUntil) {
		return g.firstAvailable(g.proxies, now)
	}
	return Member{}, false
}

// firstAvailable returns the first member that is not in backoff.
func (g *Group) firstAvailable(members []Member, now boottime.Instant) (Member, bool) {
	for _, m := range members {
		if !now.Before(g.backoffs[m.Token].until) {
			return m, true
		}
	}
	return Member{}, false
}

// ReportFailure records that a source gave no usable answer and starts its backoff.
func (g *Group) ReportFailure(m Member, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed++
	b := g.backoffs[m.Token]
	b.failures++
	if errors.Is(err, errStoreUnavailable) {
		b.failures = 1 // failure of the store: retry the source soon after the store recovers
	}
	b.until = g.options.Now().Add(min(minSourceBackoff<<min(b.failures-1, 10), maxSourceBackoff))
	g.backoffs[m.Token] = b
	g.recordIfChanged(m.Name + ": " + err.Error())
}

// ReportSuccess records a usable answer of a source and ends its backoff.
func (g *Group) ReportSuccess(m Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered++
	delete(g.backoffs, m.Token)
	g.recordIfChanged("")
}

// WriteMetrics writes where the tables are read from and the number of calls to
// sources, in the Prometheus text format.
func (g *Group) WriteMetrics(w io.Writer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range []string{stateStore, stateServes, stateSource} {
		current := 0
		if state == g.state {
			current = 1
		}
		fmt.Fprintf(w, "hawthornwick_feed_source{state=%q} %d\n", state, current)
	}
	fmt.Fprintf(w, "hawthornwick_source_calls_total{outcome=\"answered\"} %d\n", g.answered)
	fmt.Fprintf(w, "hawthornwick_source_calls_total{outcome=\"failed\"} %d\n", g.failed)
}

// recordIfChanged records an event when the place that the tables are read from has
// changed.
func (g *Group) recordIfChanged(reason string) {
	state, peer := stateStore, ""
	if m, ok := g.source(); ok {
		state, peer = stateSource, m.Name
	} else if g.serves {
		state = stateServes
	}
	if state == g.state && peer == g.peer {
		return
	}
	g.state, g.peer = state, peer
	g.options.Recorder.Record(timeline.Event{Kind: timeline.FeedSource, State: state, Peer: peer, Detail: reason})
}
