package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// exchange is one request on its way through the server.
type exchange struct {
	server  *Server
	w       *answerWriter
	r       *http.Request
	id      string
	arrived time.Time
	snap    *config.Snapshot
	gate    result.Gate
	req     *traffic.Request // nil until authenticated and classified
}

// identify authenticates the caller and fills in the parts of the request that
// every route shares.
func (x *exchange) identify(pool, routeClass string, open bool) *result.Error {
	who, refusal := x.authenticate(open)
	if refusal != nil {
		return refusal
	}
	class, refusal := chooseClass(x.snap, x.r.Header, who.organisation, routeClass, &x.gate)
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
	}
	if who.organisation != nil {
		x.req.Organisation = who.organisation.Name
	}
	return nil
}

// authenticate lets a request without a key pass on an open route. A key that
// is present must be valid on every route.
func (x *exchange) authenticate(open bool) (caller, *result.Error) {
	if open && bearerKey(x.r.Header) == "" {
		return caller{}, nil
	}
	return authenticate(x.snap, x.r.Header, &x.gate)
}

// received records the request once it is fully described.
func (x *exchange) received() {
	x.record(timeline.Event{Kind: timeline.RequestReceived, Idempotent: x.req.Idempotent, KeyDigest: string(x.req.Key)})
	if x.req.Key != "" {
		x.record(timeline.Event{Kind: timeline.KeyAccepted, KeyDigest: string(x.req.Key), Version: x.snap.Version})
	}
}

// record adds the request's identity to an event.
func (x *exchange) record(e timeline.Event) {
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

// watched returns a context that ends with the caller or with its key; the
// cause tells which.
func (x *exchange) watched() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(x.r.Context())
	remove := func() {}
	if x.req.Key != "" {
		remove = x.server.withdrawals.add(&watch{key: x.req.Key, gate: &x.gate, cancel: cancel})
		x.recheckKey(cancel)
	}
	return ctx, func() {
		remove()
		cancel(nil)
	}
}

// recheckKey closes the gap between authentication and registration: a
// withdrawal in between found nothing to cancel.
func (x *exchange) recheckKey(cancel context.CancelCauseFunc) {
	snap := x.server.o.Source.Current()
	state, ok := snap.Key(x.req.Key)
	if !ok || state.Withdrawn {
		cancel(withdrawalError(&x.gate))
	}
}

// refuse ends the request with an error. When the answer has begun, dispatch
// has already told the caller within the stream.
func (x *exchange) refuse(e *result.Error) {
	kind := timeline.RequestFailed
	if e.NotRun() {
		kind = timeline.RequestRefused
	}
	x.server.count(e)
	x.record(timeline.Event{Kind: kind, Code: e.Code, NotRun: e.NotRun(), Detail: e.Message})
	x.server.metrics.failed(x.className(), e.Code)
	x.log("request failed", "result", int(e.Code), "not_run", e.NotRun(), "message", e.Message)
	if !x.w.begun {
		writeResult(x.w, x.id, e)
	}
}

func (x *exchange) className() string {
	if x.req == nil {
		return ""
	}
	return x.req.Class.Name
}

// log writes one line with the request's identity.
func (x *exchange) log(message string, fields ...any) {
	identity := []any{"request", x.id, "method", x.r.Method, "path", x.r.URL.Path}
	if x.req != nil {
		identity = append(identity, "organisation", x.req.Organisation, "class", x.req.Class.Name)
	}
	x.server.o.Logger.Info(message, append(identity, fields...)...)
}

// interruption returns the error that ended ctx from the router's side, nil
// when the caller left or nothing ended it.
func interruption(ctx context.Context) *result.Error {
	var e *result.Error
	if errors.As(context.Cause(ctx), &e) {
		return e
	}
	return nil
}

// bodyReadError tells a body that is too large or too slow from a caller that left.
func (x *exchange) bodyReadError(err error) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return x.gate.Refuse(result.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case isTimeout(err):
		return x.gate.Refuse(result.BodyTimeout, "the body did not arrive within %s", x.server.o.Limits.BodyTimeout)
	default:
		return x.gate.Refuse(result.BadRequest, "the body cannot be read: %v", err)
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
