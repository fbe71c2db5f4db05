package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// pacedEvents is the number of events after which the time between two events of a stream
// is judged, so that a slow stream need not end first. minPacedEvents is the least number
// at the end of a stream.
const (
	pacedEvents    = 9
	minPacedEvents = 4
)

// VersionSample is what an attempt says about the version of its server.
type VersionSample struct {
	Service, Version, Route string
	// StartedMillis is the server's start in Unix milliseconds. Zero means unknown.
	StartedMillis int64
	// Cold is true when the server was cold at the time of assignment.
	Cold bool
	// Ended is true if the attempt ended with a response of the server or with its failure,
	// Failed in the latter case.
	Ended, Failed bool
	// Response is the time to the first event relative to the time expected at the server's
	// load, or the seconds to the end of a response that is no stream. Zero means that it
	// was not measured.
	Response float64
	// EventInterval is the mean time between two events. Zero means that it was not measured.
	EventInterval time.Duration
}

// versionSampler takes the samples of an attempt.
type versionSampler struct {
	suspected    bool // the quarantine suspects the request
	callerFailed bool // the caller did not take the response
	events       int
	firstEvent   time.Time
	lastEvent    time.Time
}

// suspects reports whether the quarantine suspects the request. It is false, without an
// assessment of the quarantine, if no samples are taken.
func (g *Gateway) suspects(r quarantine.Request, now time.Time) bool {
	return g.options.Versions != nil && g.options.Suspected != nil && g.options.Suspected(r, now)
}

// describeVersion returns the version of the server as a key=value pair, or "".
func (a *attempt) describeVersion() string {
	if a.assignment.Version == "" {
		return ""
	}
	return fmt.Sprintf("version=%q ", a.assignment.Version)
}

// sampleEvent takes samples at the events of a stream.
func (a *attempt) sampleEvent() {
	v := &a.version
	v.lastEvent = time.Now()
	v.events++
	switch v.events {
	case 1:
		v.firstEvent = v.lastEvent
		if expected := a.assignment.ExpectedFirstEvent(); expected > 0 {
			a.sample(VersionSample{Response: float64(v.firstEvent.Sub(a.started)) / float64(expected)})
			return
		}
		a.sample(VersionSample{Response: v.firstEvent.Sub(a.started).Seconds()})
	case pacedEvents:
		a.sample(VersionSample{EventInterval: v.interval()})
	}
}

// interval returns the mean time between two events.
func (v *versionSampler) interval() time.Duration {
	return v.lastEvent.Sub(v.firstEvent) / time.Duration(v.events-1)
}

// sampleEnd takes the sample at the end of an attempt.
func (a *attempt) sampleEnd(failed *failure) {
	s, counts := a.endSample(failed)
	if counts {
		a.sample(s)
	}
}

// endSample returns the sample at the end of an attempt. counts is false if the end says
// nothing about the server: the router or the caller cancelled the attempt, or the server
// declined it.
func (a *attempt) endSample(failed *failure) (s VersionSample, counts bool) {
	s.Ended = true
	v := &a.version
	if v.events >= minPacedEvents && v.events < pacedEvents {
		s.EventInterval = v.interval()
	}
	if failed != nil {
		s.Failed = true
		return s, a.isServerFailure(failed)
	}
	if a.answer.NotRun {
		return s, false
	}
	s.Failed = a.response.StatusCode >= http.StatusInternalServerError
	if v.events == 0 && !s.Failed && a.x.route.Kind != routes.Stream {
		s.Response = time.Since(a.started).Seconds()
	}
	return s, true
}

// isServerFailure reports whether the server failed the attempt. A response that never
// began before the request's deadline is one.
func (a *attempt) isServerFailure(f *failure) bool {
	switch {
	case f.notRun || a.version.callerFailed || a.x.r.Context().Err() != nil || errors.Is(f.cause, errStalled):
		return false
	case f.outcome == balance.Failed || f.outcome == balance.Broken || f.outcome == balance.Unreached || f.outcome == balance.Silent:
		return true
	}
	return f.sent && a.response == nil && errors.Is(context.Cause(a.ctx), errDeadline)
}

// sample passes a sample on, and records an event if the response is bad.
func (a *attempt) sample(s VersionSample) {
	report := a.x.gateway.options.Versions
	if report == nil || a.version.suspected {
		return
	}
	s.Service, s.Version, s.Route = a.x.query.Service, a.assignment.Version, a.x.route.Name
	s.StartedMillis, s.Cold = a.assignment.StartedMillis, a.assignment.Cold
	if bad := report(s); bad != "" {
		a.record(timeline.RolloutBad, 0, a.describeVersion()+bad)
	}
}

// LongestAnswer returns the longest time of the newest complete answers of the routes, or
// zero if none is known.
func (g *Gateway) LongestAnswer(routes []string) time.Duration {
	longest := time.Duration(0)
	for _, r := range routes {
		longest = max(longest, g.answerTimes.longest(r))
	}
	return longest
}
