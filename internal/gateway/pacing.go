package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/pace"
	"github.com/hawthornwick/hawthornwick/internal/routes"
)

// maxRelayTime is the time of sending one event to the caller from which the caller's
// connection counts as blocked.
const maxRelayTime = 5 * time.Millisecond

// Reasons for which a measurement is dropped, as values of a label.
const (
	droppedDelayed = "delayed" // this process did not run in time
	droppedBlocked = "blocked" // the caller's connection did not accept data
	droppedResumed = "resumed" // the stream was resumed
	droppedCold    = "cold"    // the server was cold, so that its cache is not known
	droppedFull    = "full"    // the server had as many requests as it runs concurrently
)

// pacing measures one attempt for the estimates of the servers' performance. It is not
// safe for concurrent use.
type pacing struct {
	a       *attempt // nil if nothing is measured
	subject pace.Subject
	resumed bool

	events     int
	receivedAt time.Time // of the newest event
	// gaps are those of the current section, which began at sectionAt.
	gaps      [pace.SectionEvents]time.Duration
	count     int
	sectionAt time.Time
	blocked   bool // the caller's connection was blocked in this section
}

// start begins to measure an attempt, until stop is called.
func (p *pacing) start(a *attempt) {
	g := a.x.gateway
	if g.options.Pace == nil {
		return
	}
	p.a, p.resumed = a, a.x.responseStarted || a.x.lastEventID != ""
	p.subject = pace.Subject{
		Server: pace.KeyOf(a.assignment.Server, a.assignment.StartedMillis), Service: a.x.query.Service,
		InFlight: a.assignment.InFlight + a.assignment.Others.InFlight + 1,
	}
	g.delays.begin()
}

func (p *pacing) stop() {
	if p.a != nil {
		p.a.x.gateway.delays.end()
	}
}

// received records that an event of a stream has arrived from the server.
func (p *pacing) received(at time.Time) {
	if p.a == nil {
		return
	}
	previous := p.receivedAt
	p.receivedAt = at
	if p.events++; p.events == 1 {
		p.firstEvent(at)
		p.sectionAt = at
		return
	}
	p.gaps[p.count] = at.Sub(previous)
	if p.count++; p.count == len(p.gaps) {
		p.endSection(at)
	}
}

// relayed records that the event was sent to the caller. The next one cannot be read
// earlier.
func (p *pacing) relayed(at time.Time) {
	if p.a != nil && at.Sub(p.receivedAt) > maxRelayTime {
		p.blocked = true
	}
}

// endSection reports a section and begins the next one.
func (p *pacing) endSection(at time.Time) {
	switch {
	case p.resumed:
		p.drop(droppedResumed)
	case p.blocked:
		p.drop(droppedBlocked)
	case p.delayedSince(p.sectionAt, at):
		p.drop(droppedDelayed)
	default:
		p.a.x.gateway.options.Pace.Section(p.subject, p.gaps[:])
	}
	p.count, p.sectionAt, p.blocked = 0, at, false
}

// firstEvent reports the time to the first event. On a full server, a request also waits
// for others to end.
func (p *pacing) firstEvent(at time.Time) {
	assignment := p.a.assignment
	switch {
	case p.resumed:
		p.drop(droppedResumed)
	case assignment.Cold:
		p.drop(droppedCold)
	case assignment.Slots > 0 && p.subject.InFlight > assignment.Slots:
		p.drop(droppedFull)
	case p.delayedSince(p.a.started, at):
		p.drop(droppedDelayed)
	default:
		p.a.x.gateway.options.Pace.FirstEvent(p.subject, assignment.PrefillAhead, assignment.Uncached, at.Sub(p.a.started))
	}
}

// answered reports the time of a complete answer that is not a stream. Errors are often
// faster than what was asked for.
func (p *pacing) answered(at time.Time) {
	if p.a == nil || p.a.x.route.Kind == routes.Stream || p.a.response.StatusCode >= http.StatusMultipleChoices {
		return
	}
	if p.delayedSince(p.a.started, at) {
		p.drop(droppedDelayed)
		return
	}
	p.a.x.gateway.options.Pace.Answer(p.subject, p.a.x.routeName(), at.Sub(p.a.started))
}

func (p *pacing) delayedSince(from, at time.Time) bool {
	return p.a.x.gateway.delays.since(from, at)
}

func (p *pacing) drop(reason string) { p.a.x.gateway.counters.paceDropped(reason) }

// paceDropped counts a measurement that was not used.
func (c *counters) paceDropped(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_pace_dropped_total{reason=%q}`, reason)).Inc()
}
