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

// payload is the body of a request: bytes, or a stream that is sent as it arrives.
type payload struct {
	bytes  []byte
	stream io.Reader
	length int64 // of stream in bytes; -1 if unknown
}

// run serves a request that is fully described.
func (x *exchange) run(body payload) {
	ctx, stop := x.watched()
	defer stop()
	if ended := interruption(ctx); ended != nil {
		x.refuse(ended)
		return
	}
	if x.req.Idempotent {
		x.runOnce(ctx, body)
		return
	}
	x.runRecorded(ctx, body)
}

const fingerprintBase = 16

// quarantined refuses a request that crashed backend servers before.
func (x *exchange) quarantined() *result.Error {
	if x.req.Fingerprint == 0 || !x.server.o.Quarantine.Refused(x.req.Fingerprint, time.Now()) {
		return nil
	}
	x.server.o.Recorder.Record(timeline.Event{
		Kind: timeline.QuarantineRefused, Request: x.id, Record: strconv.FormatUint(x.req.Fingerprint, fingerprintBase),
	})
	return x.gate.Refuse(result.RequestQuarantined, "backend servers crashed while running this request")
}

// runOnce serves a request that needs no idempotency record.
func (x *exchange) runOnce(ctx context.Context, body payload) {
	if refusal := x.quarantined(); refusal != nil {
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

// admit waits for a slot. What ended the wait from the router's side replaces
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

// call describes the request to the dispatcher.
func (x *exchange) call(body payload) dispatch.Call {
	timeouts := dispatch.TimeoutsFor(x.req.Class)
	timeouts.Body = x.server.o.Limits.BodyTimeout
	return dispatch.Call{
		Request:       x.req,
		Targets:       x.ticket,
		Progress:      progress{x},
		Method:        x.r.Method,
		Path:          x.backendPath(),
		RawQuery:      x.secret.query(x.r.URL.RawQuery),
		Header:        x.secret.header(x.r.Header),
		Body:          body.bytes,
		Stream:        body.stream,
		ContentLength: body.length,
		Timeouts:      timeouts,
	}
}

// backendPath is the path that the backend server sees: the OpenAI path, or
// what follows the service's name.
func (x *exchange) backendPath() string {
	path := x.r.URL.EscapedPath()
	if !x.req.Plain {
		return path
	}
	return afterService(path)
}

// finish records how the request ended and bills it.
func (x *exchange) finish(out dispatch.Outcome) {
	x.out = out
	x.server.metrics.retried(x.req.Class.Name, out.Attempts)
	x.lastServer = out.Server
	if out.Err != nil {
		x.refuse(out.Err)
		x.cut(out)
		return
	}
	x.answered(out)
}

// cut closes the caller's connection after an answer that broke in a place
// where no error could be written, so that it cannot be taken for a whole one.
func (x *exchange) cut(out dispatch.Outcome) {
	if out.Abort {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) answered(out dispatch.Outcome) {
	x.fire(eventAnswered)
	took := time.Since(x.arrived)
	x.server.answered.Add(1)
	x.ended(inTime(x.req.Class, out.FirstByte))
	x.record(timeline.Event{
		Kind: timeline.RequestAnswered, Count: out.Events, Server: out.Server,
		Attempt: out.Attempt, Duration: out.FirstByte,
	})
	x.server.metrics.answered(x.req.Class.Name, took, out.FirstByte)
	x.log("request answered", "status", out.Status, "backend_server", out.Server, "attempts", out.Attempts,
		"first_byte_ms", out.FirstByte.Milliseconds(), "took_ms", took.Milliseconds())
}

// bill meters what reached the caller.
func (x *exchange) bill(out dispatch.Outcome) {
	if x.req.Organisation == "" || !out.Started {
		return
	}
	x.server.metrics.tokens(x.req.Class.Name, out.Usage.InputTokens, out.Usage.OutputTokens)
	x.server.o.Meter.Add(x.id, x.req.Organisation, x.req.Class.Name, x.req.Pool, out.Usage.InputTokens, out.Usage.OutputTokens)
}

// inTime reports whether the first byte met the class's target.
func inTime(class *config.Class, firstByte time.Duration) bool {
	return class.FirstToken == 0 || firstByte <= time.Duration(class.FirstToken)
}

// ended counts the outcome of a request to a model.
func (x *exchange) ended(inTime bool) {
	if !x.req.Plain {
		x.server.o.Outcomes.Ended(time.Now(), x.req.Pool, x.req.Class.Name, inTime)
	}
}

// missed counts a refusal that more capacity would have avoided.
func (x *exchange) missed(code result.Code) {
	switch code {
	case result.Shed, result.DeadlineHopeless, result.QueueTimeout, result.Preempted, result.NoBackendServer:
		x.ended(false)
	}
}
