package invariant

import (
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// checkWholeAnswer reads request.received, request.answered (Request, Attempt,
// Record; Count: events delivered), request.refused, request.failed,
// attempt.answered (Count: events of the whole answer, including those before a
// resume; 0 if unknown), attempt.discarded and backend.crossed. Each request
// ends once, with the answer of its own attempt or of its own idempotency record.
func checkWholeAnswer(h *history, report reportFunc) {
	answered := recordsAnswered(h)
	for _, e := range h.events {
		if e.Kind == timeline.RequestAnswered {
			checkAnswer(h, e, answered, report)
		}
	}
	for _, r := range h.requests {
		checkEnds(h, r, report)
	}
}

// recordsAnswered returns the idempotency records that have an answer: either it
// was stored, or the record's attempt received it. The second case is needed
// because another instance may replay a stored answer before the first instance
// has recorded that it is stored.
func recordsAnswered(h *history) map[string]bool {
	answered := make(map[string]bool)
	for _, e := range h.events {
		if e.Kind == timeline.RecordAnswered {
			answered[e.Record] = true
		}
	}
	for _, a := range h.attempts {
		if a.answered != nil && a.first() != nil && a.first().Record != "" {
			answered[a.first().Record] = true
		}
	}
	return answered
}

func checkAnswer(h *history, e timeline.Event, answered map[string]bool, report reportFunc) {
	if e.Attempt == "" {
		if h.Complete && !answered[e.Record] {
			report(e, "request %q was answered by no attempt and no idempotency record", e.Request)
		}
		return
	}
	a, ok := h.attempts[e.Attempt]
	if !ok || a.first() == nil {
		if h.Complete {
			report(e, "request %q was answered by attempt %q, which was never started", e.Request, e.Attempt)
		}
		return
	}
	first := a.first()
	sameRecord := e.Record != "" && e.Record == first.Record && answered[e.Record]
	if first.Request != e.Request && !sameRecord {
		report(e, "request %q got the answer of request %q", e.Request, first.Request)
		return
	}
	if a.crossed {
		report(e, "request %q was answered by attempt %q, whose answer has another id", e.Request, e.Attempt)
		return
	}
	if a.discarded {
		report(e, "request %q was answered by discarded attempt %q", e.Request, e.Attempt)
		return
	}
	if a.answered == nil {
		if h.Complete {
			report(e, "request %q was answered by attempt %q, which did not complete", e.Request, e.Attempt)
		}
		return
	}
	if a.answered.Count > 0 && e.Count != a.answered.Count && !sameRecord {
		report(e, "request %q got %d events of %d", e.Request, e.Count, a.answered.Count)
	}
}

// checkEnds reports a request that ended twice or never.
func checkEnds(h *history, r *request, report reportFunc) {
	if len(r.ends) > 1 {
		report(r.ends[1], "request %q ended as %s and as %s", r.id, r.ends[0].Kind, r.ends[1].Kind)
		return
	}
	if len(r.ends) == 1 || r.received == nil {
		return
	}
	deadline := r.received.Time.Add(h.RequestBound)
	if h.last.After(deadline) && h.recordedAfter(r.received.Instance, r.received.Sequence) > 0 && !h.crashedAfter(*r.received) {
		report(*r.received, "request %q never ended", r.id)
	}
}

// recordedAfter counts the events that an instance recorded after a sequence.
func (h *history) recordedAfter(instance string, sequence uint64) int {
	n := 0
	for _, e := range h.events {
		if e.Instance == instance && e.Sequence > sequence {
			n++
		}
	}
	return n
}

// crashedAfter reports whether the process that recorded e ended without a planned
// stop: it started again without draining in between.
func (h *history) crashedAfter(e timeline.Event) bool {
	for _, later := range h.events {
		if later.Instance != e.Instance || later.Time.Before(e.Time) {
			continue
		}
		switch later.Kind {
		case timeline.InstanceDraining:
			return false
		case timeline.InstanceStarted:
			return true
		}
	}
	return false
}

// checkNotRunIsTrue reads request.refused and request.failed with NotRun,
// attempt.sent, attempt.declined, backend.received and backend.ran. A request that
// was declared not run never reached a backend server, before or after, except one
// that proved that it did not run it. A code that was derived from an idempotency
// record applies to all requests of that record.
func checkNotRunIsTrue(h *history, report reportFunc) {
	reached := make(map[string]bool) // requests that may run or have run
	ran := make(map[string]bool)     // requests and idempotency records
	for _, e := range h.events {
		switch e.Kind {
		case timeline.BackendRan, timeline.BackendReceived:
			if r := h.requestOf(e.Attempt); r != nil {
				reached[r.id] = true
				ran[r.id] = ran[r.id] || e.Kind == timeline.BackendRan
			}
			if e.Record != "" {
				ran[e.Record] = true
			}
		case timeline.AttemptSent:
			reached[e.Request] = true
		case timeline.AttemptDeclined:
			reached[e.Request] = ran[e.Request]
		}
	}
	for _, r := range h.requests {
		for _, e := range r.ends {
			if !e.NotRun {
				continue
			}
			if reached[r.id] {
				report(e, "request %q was declared not run but reached a backend server", r.id)
			}
			if decidedFromRecord(e.Code) && ran[e.Record] {
				report(e, "request %q was declared not run but its idempotency record ran", r.id)
			}
		}
	}
}

func decidedFromRecord(c result.Code) bool {
	return c == result.AlreadyRunning || c == result.WillNotRunAgain || c == result.OutcomeUnknown
}

// checkAtMostOnce reads record.inserted, record.released, attempt.sent
// (Idempotent, Record), attempt.declined and backend.ran (Attempt, Record). Of the
// attempts of one non-idempotent request, identified by its record, at most one is
// sent to a backend server that does not prove that it did not run it. That
// attempt is the one that inserted the record.
func checkAtMostOnce(h *history, report reportFunc) {
	inserted := make(map[string]string) // record to attempt
	sent := make(map[string]string)     // record or request to attempt
	ran := make(map[string]bool)        // record
	for _, e := range h.events {
		switch e.Kind {
		case timeline.RecordInserted:
			inserted[e.Record] = e.Attempt
		case timeline.RecordReleased:
			if a, ok := h.attempts[e.Attempt]; ok && a.sent != nil {
				report(e, "record %q was released though attempt %q was sent", e.Record, e.Attempt)
			}
		case timeline.AttemptSent:
			if !e.Idempotent {
				checkSentOnce(h, e, inserted, sent, report)
			}
		case timeline.AttemptDeclined:
			delete(sent, atMostOnceKey(e))
		case timeline.BackendRan:
			checkRanOnce(h, e, ran, report)
		}
	}
}

// atMostOnceKey identifies what may run at most once: the attempt's record, or its
// request if it has no record.
func atMostOnceKey(e timeline.Event) string {
	if e.Record == "" {
		return "request " + e.Request
	}
	return e.Record
}

func checkSentOnce(h *history, e timeline.Event, inserted, sent map[string]string, report reportFunc) {
	if e.Record == "" {
		report(e, "attempt %q of a non-idempotent request has no record", e.Attempt)
	}
	owner, ok := inserted[e.Record]
	if e.Record != e.Attempt && (ok || h.Complete) && owner != e.Attempt {
		report(e, "attempt %q was sent, but record %q belongs to attempt %q", e.Attempt, e.Record, owner)
	}
	id := atMostOnceKey(e)
	if other, ok := sent[id]; ok {
		report(e, "record %q was sent by attempts %q and %q", e.Record, other, e.Attempt)
	}
	sent[id] = e.Attempt
}

func checkRanOnce(h *history, e timeline.Event, ran map[string]bool, report reportFunc) {
	a, ok := h.attempts[e.Attempt]
	if ok && a.first() != nil && a.first().Idempotent {
		return
	}
	id := e.Record
	if id == "" && ok && a.first() != nil {
		id = a.first().Record
	}
	if id == "" {
		id = "attempt " + e.Attempt
	}
	if ran[id] {
		report(e, "record %q ran twice, now as attempt %q", e.Record, e.Attempt)
	}
	ran[id] = true
}
