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

// exchange is one request on its way through the server.
type exchange struct {
	server  *Server
	w       *answerWriter
	r       *http.Request
	id      string
	arrived time.Time
	snap    *config.Snapshot
	gate    result.Gate
	secret  secret
	body    *requestBody
	req     *traffic.Request // nil until authenticated and classified
	counted bool             // its reception is in the time line
	lasting context.Context  // of run: ends by the router's decision alone
	// lastServer is the backend server of the last attempt; empty without one.
	lastServer string

	life   life
	ticket traffic.Ticket   // nil until admitted
	out    dispatch.Outcome // of the dispatch
}

// identify authenticates the caller and fills in the parts of the request that
// every route shares.
func (x *exchange) identify(pool, routeClass string, open bool) *result.Error {
	who, refusal := x.authenticate(open)
	if refusal != nil {
		return refusal
	}
	choice := classChoice{
		snap: x.snap, organisation: who.organisation, pool: pool, poolClass: routeClass,
		asked: x.r.Header.Get(ClassHeader),
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
		// Plain services replace this by their methods' rule.
		Idempotent: !choice.nonIdempotent(class),
	}
	if who.organisation != nil {
		x.req.Organisation = who.organisation.Name
	}
	return nil
}

// authenticate lets a request without a key pass on an open route. A key that
// is present must be valid on every route.
func (x *exchange) authenticate(open bool) (caller, *result.Error) {
	if open && len(x.r.Header.Values("Authorization")) == 0 {
		return caller{}, nil
	}
	return authenticate(x.snap, x.r.Header, &x.gate)
}

// received records the request once it is fully described, or refused before.
func (x *exchange) received() {
	if x.counted {
		return
	}
	x.counted = true
	if x.req == nil {
		x.record(timeline.Event{Kind: timeline.RequestReceived})
		return
	}
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

// watched returns a context that ends with the caller or when a newer
// configuration does not permit the request; the cause tells which.
func (x *exchange) watched() (context.Context, func()) {
	lasting, end := context.WithCancelCause(context.WithoutCancel(x.r.Context()))
	x.lasting = lasting
	ctx, cancel := context.WithCancelCause(lasting)
	unhook := context.AfterFunc(x.r.Context(), func() { cancel(context.Cause(x.r.Context())) })
	w := &watch{key: x.req.Key, organisation: x.req.Organisation, gate: &x.gate, cancel: end}
	if x.req.Plain {
		w.service = x.req.Pool
	}
	remove := x.server.withdrawals.add(w)
	// A change since the request was authenticated found nothing to cancel.
	w.apply(x.server.o.Source.Current())
	return ctx, func() {
		unhook()
		remove()
		end(nil)
	}
}

// renew takes the configuration in force after time has passed, such as that
// of reading a body.
func (x *exchange) renew() *result.Error {
	x.snap = x.server.o.Source.Current()
	if x.server.o.Source.Fresh() {
		return nil
	}
	return x.stale()
}

func (x *exchange) stale() *result.Error {
	return x.gate.Refuse(result.ConfigurationStale, "the instance does not know whether its configuration is current")
}

// refuse ends the request with an error. When the answer has begun, dispatch
// has already told the caller within the stream.
func (x *exchange) refuse(e *result.Error) {
	e = x.end(e)
	kind := timeline.RequestFailed
	if e.NotRun() {
		kind = timeline.RequestRefused
	}
	e.Message = x.secret.redact(e.Message)
	e.RetryAfter = x.server.retryAfter(e)
	if x.req != nil {
		x.missed(e.Code)
	}
	x.server.count(e)
	x.received()
	x.record(timeline.Event{Kind: kind, Code: e.Code, NotRun: e.NotRun(), Detail: e.Message})
	x.server.metrics.failed(x.className(), e.Code)
	x.log("request failed", "backend_server", x.lastServer, "result", int(e.Code), "not_run", e.NotRun(), "message", e.Message)
	if x.w.begun {
		return
	}
	if x.body.unread() && x.r.ProtoMajor == 1 {
		// Else the HTTP server would wait for the body before it answers.
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

// log writes one line with the request's identity.
func (x *exchange) log(message string, fields ...any) {
	identity := []any{"request", x.id, "method", x.r.Method, "path", x.secret.redact(x.r.URL.Path)}
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
