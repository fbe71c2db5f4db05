package invariant

import (
	"strconv"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// checkWholeStream reads attempt.sent (Detail: resume_after), attempt.failed and
// request.answered (Detail: framing, number and ids of the run's events; Count: events
// delivered) and attempt.unframed (State). The runs of a stream that was answered in full
// join: each is resumed after the last event that the caller has, and its ids are greater
// than that one's. Ids that count the events have no gap. If the last run ended with its
// connection, a check confirmed its server before the request was answered.
//
// The details do not say whether ids count the events of a run. They are taken to do so
// if the first one is 1, or the one after the id that the caller resumed after. Streams
// without these details, such as those of the product's own listener, are not checked.
func checkWholeStream(h *history, report reportFunc) {
	for _, s := range timeline.Streams(h.events) {
		if !s.Complete() || s.Ambiguous || s.Runs[len(s.Runs)-1].Framing == "" {
			continue
		}
		if s.Delivered() != s.End.Count {
			checkDelivered(h, s, report)
			continue
		}
		checkJoins(s, report)
		checkStreamEnd(h, s, report)
	}
}

// checkDelivered reports runs that do not add up to what the caller got. Without
// h.Complete the event of a run may be missing.
func checkDelivered(h *history, s timeline.Stream, report reportFunc) {
	if h.Complete {
		report(s.End, "request %q got %d events, but its attempts received %d", s.Request, s.End.Count, s.Delivered())
	}
}

// checkJoins reports runs of which events are missing, come twice or belong to another
// position of the stream.
func checkJoins(s timeline.Stream, report reportFunc) {
	j := joiner{stream: s, report: report}
	for i, run := range s.Runs {
		j.resume(i, run)
		if run.FirstID != "" {
			j.join(run)
		}
	}
}

// joiner follows the ids that the caller of one stream has received.
type joiner struct {
	stream timeline.Stream
	report reportFunc
	last   string // id of the last event that the caller has; empty if none had one
	known  bool   // last is known
	joined bool   // a run with ids was joined
	counts bool   // ids count the events
}

// resume checks after which event the run with this index was to be resumed.
func (j *joiner) resume(index int, run timeline.StreamRun) {
	if !run.Sent {
		return
	}
	if !j.known && index == 0 {
		j.last, j.known = run.ResumeAfter, true
		return
	}
	if j.known && run.ResumeAfter != j.last {
		j.report(j.stream.End, "request %q was resumed after id %q on %q, but its caller had %q", j.stream.Request, run.ResumeAfter, run.Server, j.last)
	}
}

// join checks the ids of a run that has any against the last one that the caller has.
func (j *joiner) join(run timeline.StreamRun) {
	first, firstIsNumber := eventNumber(run.FirstID)
	last, lastIsNumber := eventNumber(run.LastID)
	before, beforeIsNumber := eventNumber(j.last)
	if !j.joined {
		j.counts = firstIsNumber && j.known && (j.last == "" || beforeIsNumber) && first == before+1
	}
	switch request := j.stream.Request; {
	case firstIsNumber && beforeIsNumber && first <= before:
		j.report(j.stream.End, "request %q got ids %s to %s of %q after id %s", request, run.FirstID, run.LastID, run.Server, j.last)
	case firstIsNumber && lastIsNumber && last < first:
		j.report(j.stream.End, "request %q got ids that fall from %s to %s", request, run.FirstID, run.LastID)
	case j.counts && (!firstIsNumber || !lastIsNumber):
		j.report(j.stream.End, "request %q got ids %q to %q of %q after numbers", request, run.FirstID, run.LastID, run.Server)
	case j.counts && first > before+1:
		j.report(j.stream.End, "request %q got no events between ids %q and %s of %q", request, j.last, run.FirstID, run.Server)
	case j.counts && run.LargestStep > 1:
		j.report(j.stream.End, "request %q got ids %s to %s of %q with a step of %d", request, run.FirstID, run.LastID, run.Server, run.LargestStep)
	case j.counts && run.Events <= last-first:
		j.report(j.stream.End, "request %q got %d events of %q with ids %s to %s", request, run.Events, run.Server, run.FirstID, run.LastID)
	}
	j.last, j.known, j.joined = run.LastID, true, true
}

// eventNumber returns an id as a number. It returns 0 and false if it is none.
func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0, false
	}
	return n, true
}

// checkStreamEnd reports a stream that was believed although its server was not confirmed.
func checkStreamEnd(h *history, s timeline.Stream, report reportFunc) {
	last := s.Runs[len(s.Runs)-1]
	if last.Framing != timeline.FramingConnection {
		return
	}
	switch {
	case last.Check == nil:
		if h.Complete || last.Sent && !h.leftOut(timeline.AttemptUnframed) {
			report(s.End, "request %q was answered by %q without framing, and the server was not checked", s.Request, last.Server)
		}
	case last.Check.Sequence > s.End.Sequence:
		report(s.End, "request %q was answered by %q without framing, and the server was found %s only later", s.Request, last.Server, last.Check.State)
	case !last.Confirmed():
		report(s.End, "request %q was answered by %q without framing, and the server was found %s", s.Request, last.Server, last.Check.State)
	}
}

// leftOut reports whether log lines of a kind were left out.
func (h *history) leftOut(kind timeline.Kind) bool {
	for _, e := range h.events {
		if e.Kind == timeline.LogLinesDropped && e.Subject == string(kind) {
			return true
		}
	}
	return false
}
