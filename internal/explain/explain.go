// Package explain reconstructs the history of one request from the events in the
// logs of several instances: the decisions about the request in order, and the
// state of the instances at that time.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// stateKey returns the key of the state that an event changes in an instance, such as
// that of a server; a later event with the same key replaces an earlier one. It
// returns "" for events that change no lasting state.
func stateKey(e timeline.Event) string {
	switch e.Kind {
	case timeline.ConfigApplied, timeline.ConfigRefused, timeline.InstanceStale:
		return string(e.Kind)
	case timeline.InstanceStarted, timeline.InstanceDraining:
		return "instance"
	case timeline.ZoneDrained, timeline.ZoneRestored:
		return "zone " + e.Zone
	case timeline.TableUnavailable, timeline.TableRecovered:
		return "table " + e.Subject
	case timeline.ServerState:
		return "entry of " + e.Server
	case timeline.ServerSuspect, timeline.ServerRecovered:
		return "trust in " + e.Server
	case timeline.ServerCold:
		return "warmth of " + e.Server
	case timeline.ServerLeaving, timeline.ServerPaused, timeline.ServerRateLimit:
		return string(e.Kind) + " " + e.Server
	case timeline.RolloutOrdered, timeline.RolloutVerdict, timeline.RolloutStep:
		return string(e.Kind) + " " + e.Service
	}
	return ""
}

// History collects the events of one request. The zero value is not usable; use New.
type History struct {
	request string
	events  []timeline.Event
	states  []timeline.Event // events that belong to no request
	// MalformedLines is the number of log lines that could not be parsed.
	MalformedLines int
}

// New returns an empty History of the request with this id.
func New(request string) *History { return &History{request: request} }

// AddLog adds the events of one log. If reading fails, the events read so far are kept.
func (s *History) AddLog(r io.Reader) error {
	log, err := timeline.ReadLog(r)
	s.MalformedLines += log.MalformedLines
	for _, e := range log.Events {
		switch e.Request {
		case s.request:
			s.events = append(s.events, e)
		case "":
			s.states = append(s.states, e)
		}
	}
	return err
}

// Write writes the events and the state as text. It writes nothing and returns false if
// the logs hold no event of the request.
func (s *History) Write(w io.Writer) (bool, error) {
	if len(s.events) == 0 {
		return false, nil
	}
	s.events = timeline.Merge(s.events)
	s.states = timeline.Merge(s.states)
	out := bufio.NewWriter(w)
	first := s.events[0]
	fmt.Fprintf(out, "request %s: organisation %q, route %q, service %q\n", s.request, first.Organisation, first.Class, first.Service)
	for _, e := range s.events {
		writeEvent(out, first.Time, e)
	}
	writeStreams(out, first.Time, timeline.Streams(s.events))
	fmt.Fprintln(out, "state then:")
	for _, e := range s.stateEvents() {
		writeEvent(out, first.Time, e)
	}
	return true, out.Flush()
}

// stateEvents returns state events of the instances that handled the request: the
// last event for each state key before the request arrived, and all events until it
// ended. Events of backend servers that the request was not sent to are omitted, unless
// they tell why a server of the request's service got no requests.
func (s *History) stateEvents() []timeline.Event {
	start, end := s.events[0].Time, s.events[len(s.events)-1].Time
	instances, servers, services := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, e := range s.events {
		instances[e.Instance] = true
		servers[e.Server] = true
		services[e.Service] = true
	}
	concerns := func(e timeline.Event) bool {
		return e.Server == "" || servers[e.Server] || excludesServer(e) && services[e.Service]
	}
	before := map[string]map[string]timeline.Event{} // by instance and state key
	var during []timeline.Event
	for _, e := range s.states {
		key := stateKey(e)
		switch {
		case !instances[e.Instance] || e.Time.After(end) || !concerns(e):
		case !e.Time.Before(start):
			during = append(during, e)
		case key != "":
			if before[e.Instance] == nil || e.Kind == timeline.InstanceStarted {
				before[e.Instance] = map[string]timeline.Event{} // a restarted process has no earlier state
			}
			before[e.Instance][key] = e
		}
	}
	var all []timeline.Event
	for _, latest := range before {
		all = slices.AppendSeq(all, maps.Values(latest))
	}
	return timeline.Merge(all, during)
}

// excludesServer reports whether an event says why a backend server gets no or few
// requests.
func excludesServer(e timeline.Event) bool {
	return e.Kind == timeline.ServerLeaving || e.Kind == timeline.ServerPaused || e.Kind == timeline.ServerRateLimit
}

// writeEvent writes one line with the time since start, the instance, the kind and the
// fields that are set.
func writeEvent(w io.Writer, start time.Time, e timeline.Event) {
	fmt.Fprintf(w, "  %9s  %s  %s", since(start, e.Time), e.Instance, e.Kind)
	if e.Server != "" {
		fmt.Fprintf(w, "  server %s", e.Server)
	}
	if e.Zone != "" {
		fmt.Fprintf(w, "  zone %s", e.Zone)
	}
	for _, field := range optionalFields(e) {
		fmt.Fprintf(w, "  %s", field)
	}
	if e.Code != 0 {
		fmt.Fprintf(w, "  result %d (%s), not run: %t", int(e.Code), e.Code, e.NotRun)
	}
	if e.Detail != "" {
		fmt.Fprintf(w, "  %s", e.Detail)
	}
	fmt.Fprintln(w)
}

// optionalFields returns the less common fields that are set, each with its name.
func optionalFields(e timeline.Event) []string {
	var list []string
	add := func(name string, value any, set bool) {
		if set {
			list = append(list, fmt.Sprintf("%s %v", name, value))
		}
	}
	add("table", e.Subject, e.Subject != "" && strings.HasPrefix(string(e.Kind), "table."))
	add("version", e.Version, e.Version != 0 && e.Request == "")
	add("duty", e.Duty, e.Duty != "")
	add("token", e.Token, e.Token != 0)
	add("window", e.Window, e.Window != "")
	add("peer", e.Peer, e.Peer != "")
	add("count", e.Count, e.Count > 0)
	add("state", e.State, e.State != "")
	add("for", e.Duration, e.Kind == timeline.ServerPaused)
	add("age", e.Duration, e.Kind == timeline.AttemptUnframed)
	return list
}

func since(start, at time.Time) string { return fmt.Sprintf("%+.3fs", at.Sub(start).Seconds()) }
