package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// exchange is the state of one request in the server.
type exchange struct {
	server            *Server
	w                 *answerWriter
	r                 *http.Request
	id                string
	arrived           time.Time
	snap              *config.Snapshot
	gate              result.Gate
	secret            secret
	body              *requestBody
	req               *traffic.Request // nil until authenticated and classified
	receptionRecorded bool             // request.received is in the timeline
	routerCtx         context.Context  // set by run; cancelled by the router only, not by the caller
	// lastServer is the backend server of the last attempt; empty means no attempt.
	lastServer string

	lifecycle lifecycle
	ticket    traffic.Ticket   // nil until admitted
	out       dispatch.Outcome // set by finish
}

// identify authenticates the caller, selects the class and fills in the request
// fields that all routes share.
func (x *exchange) identify(pool, routeClass string, open bool) *result.Error {
	who, refusal := x.authenticate(open)
	if refusal != nil {
		return refusal
	}
	choice := classSelection{
		snap: x.snap, organisation: who.organisation, pool: pool, poolClass: routeClass,
		requested: x.r.Header.Get(ClassHeader),
	}
	class, refusal := choice.choose(&x.gate)
	if refusal != nil {
		return refusal
	}
	x.req = &traffic.Request{
		ID:       x.id,
		Class:    class,
		Pool:     pool,
		Key:      who.key,
		Arrived:  x.arrived,
		Deadline: x.arrived.Add(time.Duration(class.Deadline)),
		Gate:     &x.gate,
		// Plain services override this by HTTP method.
		Idempotent: !choice.nonIdempotent(class),
	}
	if who.organisation != nil {
		x.req.Organisation = who.organisation.Name
	}
	return nil
}

// authenticate accepts a request without a key on an open route. A key that is
// present must be valid on every route.
func (x *exchange) authenticate(open bool) (caller, *result.Error) {
	if open && len(x.r.Header.Values("Authorization")) == 0 {
		return caller{}, nil
	}
	return authenticate(x.snap, x.r.Header, &x.gate)
}

// recordReceived records request.received once per request: when the request is
// fully described, or when it is refused earlier.
func (x *exchange) recordReceived() {
	if x.receptionRecorded {
		return
	}
	x.receptionRecorded = true
	if x.req == nil {
		x.recordEvent(timeline.Event{Kind: timeline.RequestReceived})
		return
	}
	x.recordEvent(timeline.Event{Kind: timeline.RequestReceived, Idempotent: x.req.Idempotent, KeyDigest: string(x.req.Key)})
	if x.req.Key != "" {
		x.recordEvent(timeline.Event{Kind: timeline.KeyAccepted, KeyDigest: string(x.req.Key), Version: x.snap.Version})
	}
}

// recordEvent records an event with the request's identity.
func (x *exchange) recordEvent(e timeline.Event) {
	e.Request = x.id
	if x.req != nil {
		e.Organisation = x.req.Organisation
		e.Class = x.req.Class.Name
		e.Tier = x.req.Class.Tier
		e.Service = x.req.Pool
		e.Record = x.req.Record
	}
	x.server.o.Recorder.Record(e)
}

// watchPermissions returns a context that is cancelled when the caller
// disconnects or when a newer configuration forbids the request. In the second
// case its cause is a *result.Error. The caller must call the returned function.
func (x *exchange) watchPermissions() (context.Context, func()) {
	routerCtx, cancelRouter := context.WithCancelCause(context.WithoutCancel(x.r.Context()))
	x.routerCtx = routerCtx
	ctx, cancel := context.WithCancelCause(routerCtx)
	stopWatching := context.AfterFunc(x.r.Context(), func() { cancel(context.Cause(x.r.Context())) })
	running := &runningRequest{key: x.req.Key, organisation: x.req.Organisation, gate: &x.gate, cancel: cancelRouter}
	if x.req.Plain {
		running.service = x.req.Pool
	}
	remove := x.server.runningRequests.add(running)
	// A change between authentication and add did not see this request.
	running.cancelIfForbidden(x.server.o.Source.Current())
	return ctx, func() {
		stopWatching()
		remove()
		cancelRouter(nil)
	}
}

// refreshConfig switches to the configuration in force now. It is called after a
// delay, such as reading a body. It refuses the request if the configuration is stale.
func (x *exchange) refreshConfig() *result.Error {
	x.snap = x.server.o.Source.Current()
	if x.server.o.Source.Fresh() {
		return nil
	}
	return x.refuseStale()
}

func (x *exchange) refuseStale() *result.Error {
	return x.gate.Refuse(result.ConfigurationStale, "the instance does not know whether its configuration is current")
}

// refuse ends the request with an error. If the answer has started, dispatch has
// already written the error into the stream.
func (x *exchange) refuse(e *result.Error) {
	e = x.fireEnd(e)
	kind := timeline.RequestFailed
	if e.NotRun() {
		kind = timeline.RequestRefused
	}
	e.Message = x.secret.redact(e.Message)
	e.RetryAfter = x.server.retryAfter(e)
	if x.req != nil {
		x.countCapacityRefusal(e.Code)
	}
	x.server.countError(e)
	x.recordReceived()
	x.recordEvent(timeline.Event{Kind: kind, Code: e.Code, NotRun: e.NotRun(), Detail: e.Message})
	x.server.metrics.failed(x.className(), e.Code)
	x.log("request failed", "backend_server", x.lastServer, "result", int(e.Code), "not_run", e.NotRun(), "message", e.Message)
	if x.w.started {
		return
	}
	if x.body.unread() && x.r.ProtoMajor == 1 {
		// Otherwise the HTTP server would read the body before it answers.
		x.w.Header().Set("Connection", "close")
	}
	writeResult(x.w, x.id, e)
}

func (x *exchange) className() string {
	if x.req == nil {
		return ""
	}
	return x.req.Class.Name
}

// log writes one line with the request's identity and the given fields.
func (x *exchange) log(message string, fields ...any) {
	identity := []any{"request", x.id, "method", x.r.Method, "path", x.secret.redact(x.r.URL.Path)}
	if x.req != nil {
		identity = append(identity, "organisation", x.req.Organisation, "class", x.req.Class.Name)
	}
	x.server.o.Logger.Info(message, append(identity, fields...)...)
}

// interruption returns the error with which the router cancelled ctx. It is nil
// if ctx is not cancelled or if the caller disconnected.
func interruption(ctx context.Context) *result.Error {
	var e *result.Error
	if errors.As(context.Cause(ctx), &e) {
		return e
	}
	return nil
}
