package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// payload is the body of a request: either bytes, or a stream that is forwarded
// as it arrives.
type payload struct {
	bytes  []byte
	stream io.Reader
	length int64 // of stream in bytes; -1 if unknown
}

// run serves a request whose description (x.req) is complete.
func (x *exchange) run(body payload) {
	ctx, stop := x.watchPermissions()
	defer stop()
	if ended := interruption(ctx); ended != nil {
		x.refuse(ended)
		return
	}
	if x.req.Idempotent {
		x.runWithoutRecord(ctx, body)
		return
	}
	x.runWithRecord(ctx, body)
}

const fingerprintBase = 16

// refuseQuarantined refuses a request whose fingerprint is quarantined because it
// crashed backend servers.
func (x *exchange) refuseQuarantined() *result.Error {
	if x.req.Fingerprint == 0 || !x.server.o.Quarantine.Refused(x.req.Suspect(), time.Now()) {
		return nil
	}
	x.server.o.Recorder.Record(timeline.Event{
		Kind: timeline.QuarantineRefused, Request: x.id, Record: strconv.FormatUint(x.req.Fingerprint, fingerprintBase),
	})
	return x.gate.Refuse(result.RequestQuarantined, "backend servers crashed while running this request")
}

// runWithoutRecord serves an idempotent request.
func (x *exchange) runWithoutRecord(ctx context.Context, body payload) {
	if refusal := x.refuseQuarantined(); refusal != nil {
		x.refuse(refusal)
		return
	}
	if refusal := x.admit(ctx); refusal != nil {
		x.refuse(refusal)
		return
	}
	defer x.ticket.Done()
	x.finish(x.server.o.Dispatcher.Do(ctx, x.call(body), x.w))
}

// admit waits for a slot. If the router cancelled the wait, its error replaces
// the scheduler's refusal.
func (x *exchange) admit(ctx context.Context) *result.Error {
	x.fire(eventQueued)
	ticket, refusal := x.server.o.Scheduler.Admit(ctx, x.req)
	if refusal == nil {
		x.ticket = ticket
		x.fire(eventAdmitted)
		return nil
	}
	if cause := interruption(ctx); cause != nil {
		return cause
	}
	return refusal
}

// call builds the dispatcher's call.
func (x *exchange) call(body payload) dispatch.Call {
	timeouts := dispatch.TimeoutsFor(x.req.Class)
	timeouts.Body = x.server.o.Limits.BodyTimeout
	return dispatch.Call{
		Request:       x.req,
		Targets:       x.ticket,
		Progress:      progress{x},
		Method:        x.r.Method,
		Path:          x.backendPath(),
		RawQuery:      x.secret.stripQuery(x.r.URL.RawQuery),
		Header:        x.secret.stripHeader(x.r.Header),
		Body:          body.bytes,
		Stream:        body.stream,
		ContentLength: body.length,
		Timeouts:      timeouts,
	}
}

// backendPath returns the path sent to the backend server: the OpenAI path, or
// the part after the service's name.
func (x *exchange) backendPath() string {
	path := x.r.URL.EscapedPath()
	if !x.req.Plain {
		return path
	}
	return pathAfterService(path)
}

// finish records the outcome of a dispatched request and answers with its error, if any.
func (x *exchange) finish(out dispatch.Outcome) {
	x.out = out
	x.server.metrics.retried(x.req.Class.Name, out.Attempts)
	x.lastServer = out.Server
	if out.Err != nil {
		x.refuse(out.Err)
		x.abortIfBroken(out)
		return
	}
	x.finishAnswered(out)
}

// abortIfBroken closes the caller's connection if the answer broke off where no
// error could be written, so that the caller cannot mistake it for a complete one.
func (x *exchange) abortIfBroken(out dispatch.Outcome) {
	if out.Abort {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) finishAnswered(out dispatch.Outcome) {
	x.fire(eventAnswered)
	took := time.Since(x.arrived)
	x.server.answered.Add(1)
	x.countOutcome(metTarget(x.req.Class, out.FirstByte))
	x.recordEvent(timeline.Event{
		Kind: timeline.RequestAnswered, Count: out.Events, Server: out.Server,
		Attempt: out.Attempt, Duration: out.FirstByte,
	})
	x.server.metrics.answered(x.req.Class.Name, took, out.FirstByte)
	x.log("request answered", "status", out.Status, "backend_server", out.Server, "attempts", out.Attempts,
		"first_byte_ms", out.FirstByte.Milliseconds(), "took_ms", took.Milliseconds())
}

// meterUsage counts the tokens that reached the caller. Requests without an
// organisation are not metered.
func (x *exchange) meterUsage(out dispatch.Outcome) {
	if x.req.Organisation == "" || !out.AnswerStarted {
		return
	}
	x.server.metrics.tokens(x.req.Class.Name, out.Usage.InputTokens, out.Usage.OutputTokens)
	x.server.o.Meter.Add(x.id, x.req.Organisation, x.req.Class.Name, x.req.Pool, out.Usage.InputTokens, out.Usage.OutputTokens)
}

// metTarget reports whether the first byte arrived within the class's target.
// A zero target is always met.
func metTarget(class *config.Class, firstByte time.Duration) bool {
	return class.FirstToken == 0 || firstByte <= time.Duration(class.FirstToken)
}

// countOutcome counts the outcome of a model request; plain services are not counted.
func (x *exchange) countOutcome(inTime bool) {
	if !x.req.Plain {
		x.server.o.Outcomes.Ended(time.Now(), x.req.Pool, x.req.Class.Name, inTime)
	}
}

// countCapacityRefusal counts a refusal as a missed target if more capacity would
// have avoided it.
func (x *exchange) countCapacityRefusal(code result.Code) {
	switch code {
	case result.Shed, result.DeadlineHopeless, result.QueueTimeout, result.Preempted, result.NoBackendServer:
		x.countOutcome(false)
	}
}
