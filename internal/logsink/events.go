package logsink

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	// ordinaryPerSecond limits the lines that every request causes, so that under
	// load the buffer has room for lines about refusals and failures.
	ordinaryPerSecond = 2000
	ordinaryBurst     = 4000
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// ordinary holds the kinds that every request causes, or may cause if its server answers
// without framing. They are rate limited.
var ordinary = map[timeline.Kind]bool{
	timeline.RequestReceived: true,
	timeline.RequestQueued:   true,
	timeline.AttemptSent:     true,
	timeline.AttemptUnframed: true,
	timeline.RequestAnswered: true,
}

// Events is a timeline.Recorder that passes events on to another recorder and writes
// each as one JSON line. It is safe for concurrent use.
type Events struct {
	next  timeline.Recorder
	sink  *Sink
	name  string
	count atomic.Uint64
	limit *rate.Limiter

	mu         sync.Mutex
	reported   map[string]uint64 // dropped lines by kind at the last report
	reportedAt time.Time         // time of the last report
}

var _ timeline.Recorder = (*Events)(nil)

// NewEvents returns a recorder for the named instance that passes each event on to next
// and writes it to sink.
func NewEvents(instance string, sink *Sink, next timeline.Recorder) *Events {
	return &Events{
		next: next, sink: sink, name: instance, reported: map[string]uint64{},
		limit: rate.NewLimiter(ordinaryPerSecond, ordinaryBurst),
	}
}

// Record implements timeline.Recorder.
func (e *Events) Record(event timeline.Event) {
	if event.Time.IsZero() {
		event.Time = time.Now()
	}
	e.next.Record(event)
	event.Instance = e.name
	event.Sequence = e.count.Add(1)
	if ordinary[event.Kind] && !e.limit.AllowN(event.Time, 1) {
		e.sink.countDropped(string(event.Kind), 1)
		return
	}
	e.reportDropped(event.Time)
	e.write(event)
}

// write queues one event as a JSON line.
func (e *Events) write(event timeline.Event) {
	line, err := json.Marshal(event)
	if err != nil {
		line = []byte(`{"kind":"event.unwritable","detail":` + strconv.Quote(err.Error()) + `}`)
	}
	e.sink.put(string(event.Kind), append(line, '\n'))
}

// reportDropped writes an event for each kind of which lines were dropped since the
// last report.
func (e *Events) reportDropped(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.reportedAt) < dropReportInterval {
		return
	}
	e.reportedAt = now
	all := e.sink.Dropped()
	for _, kind := range slices.Sorted(maps.Keys(all)) {
		dropped := all[kind] - e.reported[kind]
		if dropped == 0 {
			continue
		}
		event := timeline.Event{Time: now, Kind: timeline.LogLinesDropped, Subject: kind, Count: int64(dropped)}
		e.next.Record(event)
		event.Instance = e.name
		event.Sequence = e.count.Add(1)
		e.write(event)
	}
	e.reported = all
}
