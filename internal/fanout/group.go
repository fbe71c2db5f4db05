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
	// shunFirst and shunMost bound how long a source that failed is not asked; the
	// time doubles with each failure in a row.
	shunFirst = time.Second
	shunMost  = 16 * time.Second
	// standInTime is how long another instance stands in for a store that failed,
	// before the store is tried again.
	standInTime = 3 * time.Second
)

// Values of the state of an event about where the tables are read.
const (
	stateStore  = "store"  // from the store, for this instance alone
	stateServes = "serves" // from the store, for others as well
	stateSource = "source" // from another instance
)

// GroupOptions configure a Group. All fields are required.
type GroupOptions struct {
	// Instance and Zone name this instance.
	Instance, Zone string
	// Recorder hears from where the tables are read.
	Recorder timeline.Recorder
	// Now is the clock.
	Now func() boottime.Instant
}

// shunned is a source that failed.
type shunned struct {
	failures int
	until    boottime.Instant
}

// Group is the instances of a zone, with this instance's part among them. It is
// safe for concurrent use.
type Group struct {
	options GroupOptions

	mu       sync.Mutex
	serves   bool
	sources  []Member           // to be asked, best first; empty for a source
	others   []Member           // that may stand in for the store, best first
	standsIn boottime.Instant   // until then one of them does
	shunned  map[string]shunned // by token
	state    string             // of the last event
	peer     string
	direct   int // instances that read the store themselves

	answered, failed uint64 // calls to sources
}

// NewGroup returns a group of unknown members, in which the store is read.
func NewGroup(o GroupOptions) *Group {
	return &Group{options: o, shunned: map[string]shunned{}, state: stateStore}
}

// SetMembers takes all live instances.
func (g *Group) SetMembers(members []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sources := Sources(members, g.options.Zone)
	self := func(m Member) bool { return m.Name == g.options.Instance }
	g.serves = slices.ContainsFunc(sources, self)
	g.sources = nil
	if !g.serves {
		g.sources = preferred(sources, g.options.Instance)
	}
	g.others = standIns(members, g.options.Instance, g.options.Zone)
	g.direct = len(Readers(members))
	g.forget()
	g.note("")
}

// forget drops what is known of instances that are gone.
func (g *Group) forget() {
	for token := range g.shunned {
		if !slices.ContainsFunc(g.others, func(m Member) bool { return m.Token == token }) {
			delete(g.shunned, token)
		}
	}
}

// Serves reports whether this instance is a source.
func (g *Group) Serves() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serves
}

// Reads reports whether this instance reads the store itself now, so that it may
// answer others.
func (g *Group) Reads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, follows := g.source()
	return !follows
}

// StoreFailed takes a failed call to the store. Another instance stands in for a
// time, if there is one that may. In a zone with sources none does: these are asked
// anyway, and in an outage for all each failure would cost a call more.
func (g *Group) StoreFailed(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.serves || len(g.sources) > 0 {
		return
	}
	g.standsIn = g.options.Now().Add(standInTime)
	g.note("store: " + err.Error())
}

// EndStandIn ends that another instance stands in for the store, since that one has
// lost it too, and reports whether one did.
func (g *Group) EndStandIn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	did := g.options.Now().Before(g.standsIn)
	g.standsIn = 0
	return did
}

// StandsIn reports whether another instance may stand in for the store now.
func (g *Group) StandsIn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.options.Now().Before(g.standsIn)
}

// Readers is the number of instances that read the store themselves, 0 while the
// members are unknown.
func (g *Group) Readers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.direct
}

// Source returns the source to ask now; false when the store is to be read.
func (g *Group) Source() (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.source()
}

func (g *Group) source() (Member, bool) {
	now := g.options.Now()
	if m, ok := g.fit(g.sources, now); ok {
		return m, true
	}
	if now.Before(g.standsIn) {
		return g.fit(g.others, now)
	}
	return Member{}, false
}

// fit returns the first member that has not failed lately.
func (g *Group) fit(members []Member, now boottime.Instant) (Member, bool) {
	for _, m := range members {
		if !now.Before(g.shunned[m.Token].until) {
			return m, true
		}
	}
	return Member{}, false
}

// Failed takes a source that gave no fit answer.
func (g *Group) Failed(m Member, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed++
	s := g.shunned[m.Token]
	s.failures++
	if errors.Is(err, errStoreLost) {
		s.failures = 1 // the store's fault: the source is fit once that is back
	}
	s.until = g.options.Now().Add(min(shunFirst<<min(s.failures-1, 10), shunMost))
	g.shunned[m.Token] = s
	g.note(m.Name + ": " + err.Error())
}

// Answered takes a source that gave a fit answer.
func (g *Group) Answered(m Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered++
	delete(g.shunned, m.Token)
	g.note("")
}

// WriteMetrics writes from where the tables are read, and the calls to sources, in
// the text format.
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

// note adds an event when the tables are read from elsewhere than before.
func (g *Group) note(why string) {
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
	g.options.Recorder.Record(timeline.Event{Kind: timeline.FeedSource, State: state, Peer: peer, Detail: why})
}
