package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// traceEvent is one entry of the Chrome trace event format.
type traceEvent struct {
	Name      string     `json:"name"`
	Category  string     `json:"cat,omitempty"`
	Phase     tracePhase `json:"ph"`
	Timestamp float64    `json:"ts"` // microseconds
	Process   int        `json:"pid"`
	Thread    int        `json:"tid"`
	ID        string     `json:"id,omitempty"`    // pairs the begin and the end of a span
	Scope     string     `json:"s,omitempty"`     // scope of an instant event
	Arguments any        `json:"args,omitempty"`  // Event or traceName
	Colour    string     `json:"cname,omitempty"` // reserved colour name
}

// traceName holds the arguments of a metadata event.
type traceName struct {
	Name string `json:"name"`
}

type tracePhase string

const (
	phaseMetadata tracePhase = "M"
	phaseBegin    tracePhase = "b" // of an asynchronous span
	phaseEnd      tracePhase = "e"
	phaseInstant  tracePhase = "i"
)

const colourFailure = "terrible"

// span is the begin or the end of a span that an event causes.
type span struct {
	phase    tracePhase
	category string
}

const (
	spanRequest = "request"
	spanQueue   = "queue"
	spanAttempt = "attempt"
)

var spans = map[Kind][]span{
	RequestReceived:  {{phaseBegin, spanRequest}},
	RequestAnswered:  {{phaseEnd, spanRequest}},
	RequestRefused:   {{phaseEnd, spanRequest}},
	RequestFailed:    {{phaseEnd, spanRequest}},
	RequestQueued:    {{phaseBegin, spanQueue}},
	RequestAdmitted:  {{phaseEnd, spanQueue}},
	RequestShed:      {{phaseEnd, spanQueue}},
	AttemptStarted:   {{phaseBegin, spanAttempt}},
	AttemptAnswered:  {{phaseEnd, spanAttempt}},
	AttemptFailed:    {{phaseEnd, spanAttempt}},
	AttemptDeclined:  {{phaseEnd, spanAttempt}},
	AttemptDiscarded: {{phaseEnd, spanAttempt}},
}

// WriteChrome writes the events in the Chrome trace event format, which
// Perfetto and chrome://tracing open. Each instance is a process; requests,
// queue waits and attempts are spans; every event is an instant event with its fields.
func WriteChrome(w io.Writer, events []Event) error {
	t := tracer{processes: make(map[string]int), open: make(map[string]traceEvent)}
	for _, e := range events {
		t.add(e)
	}
	out := struct {
		TraceEvents []traceEvent `json:"traceEvents"`
		TimeUnit    string       `json:"displayTimeUnit"`
	}{t.events, "ms"}
	if err := json.NewEncoder(w).Encode(out); err != nil {
		return fmt.Errorf("write Chrome trace: %w", err)
	}
	return nil
}

// tracer converts events into trace events.
type tracer struct {
	processes map[string]int        // by instance
	open      map[string]traceEvent // begin events of the spans that have not ended, by category and id
	events    []traceEvent
}

func (t *tracer) add(e Event) {
	process := t.process(e.Instance)
	at := float64(e.Time.UnixNano()) / float64(time.Microsecond)
	for _, s := range spans[e.Kind] {
		t.span(s, e, process, at)
	}
	instant := traceEvent{
		Name: string(e.Kind), Category: group(e.Kind), Phase: phaseInstant, Timestamp: at,
		Process: process, Thread: process, Scope: "p", Arguments: e,
	}
	if e.Kind == RequestFailed || e.Kind == AttemptFailed || e.Kind == RequestShed {
		instant.Colour = colourFailure
	}
	t.events = append(t.events, instant)
}

// span begins or ends a span. An end without a recorded begin is dropped. Begin and
// end carry the same name and process, by which viewers pair them.
func (t *tracer) span(s span, e Event, process int, at float64) {
	id, name := e.Request, e.Request
	if s.category == spanAttempt {
		id, name = e.Attempt, e.Server
	}
	key := s.category + " " + id
	begun, open := t.open[key]
	if id == "" || open == (s.phase == phaseBegin) {
		return
	}
	if open {
		delete(t.open, key)
		begun.Phase, begun.Timestamp = s.phase, at
		t.events = append(t.events, begun)
		return
	}
	begun = traceEvent{
		Name: s.category + " " + name, Category: s.category, Phase: s.phase, Timestamp: at,
		Process: process, Thread: process, ID: key,
	}
	t.open[key] = begun
	t.events = append(t.events, begun)
}

// process returns the process number of an instance, and emits its name on first use.
func (t *tracer) process(instance string) int {
	if n, ok := t.processes[instance]; ok {
		return n
	}
	n := len(t.processes) + 1
	t.processes[instance] = n
	t.events = append(t.events, traceEvent{
		Name: "process_name", Phase: phaseMetadata, Process: n, Thread: n, Arguments: traceName{instance},
	})
	return n
}

// group returns the part of a kind before the first dot.
func group(k Kind) string {
	name, _, _ := strings.Cut(string(k), ".")
	return name
}
