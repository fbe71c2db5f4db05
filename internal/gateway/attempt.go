package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

var (
	errIsolated  = errors.New("another request that may crash servers runs on the server")
	errForeign   = errors.New("the answer is not the server's")
	errNotSigned = errors.New("the answer bears no signature")
)

// attempt is one sending of a request to one backend server.
type attempt struct {
	x        *exchange
	place    *balance.Assignment
	permit   *guardconn.Permit
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watch    *watch
	why      string // what decided for the server
	started  time.Time
	reused   bool
	response *http.Response
	answer   Answer
}

// attempt sends the request to the server and relays its answer. It returns nil
// when the caller has been answered.
func (x *exchange) attempt(place *balance.Assignment) *failure {
	a := &attempt{x: x, place: place, started: time.Now()}
	a.why = a.reasons()
	a.permit = guardconn.NewPermit(a.maySend)
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	defer a.cancel(errEnded)
	run, ok := x.gateway.options.Suspects.Start(x.fingerprint, place.Server, 0, a.started)
	if !ok {
		place.End(balance.Abandoned)
		return &failure{code: result.NoBackendServer, cause: errIsolated, outcome: balance.Abandoned}
	}
	failed := a.exchange()
	a.finish(failed, run)
	return failed
}

// finish frees the place and reports what the attempt showed.
func (a *attempt) finish(failed *failure, run dispatch.Run) {
	if a.watch != nil {
		a.watch.stop()
	}
	if a.response != nil && failed != nil {
		a.cancel(errEnded)
		_ = a.response.Body.Close()
	}
	if failed == nil {
		a.place.End(a.outcome())
		run.Ended(true, time.Now())
		a.x.gateway.counts.attempt("answered")
		return
	}
	a.place.End(failed.outcome)
	if failed.crashed {
		run.Crashed(time.Now())
	} else {
		run.Ended(false, time.Now())
	}
	a.x.gateway.counts.attempt(failed.code.String())
	a.record(kindOf(failed), failed.code, a.whyUnsent(failed)+fmt.Sprint(failed.cause))
}

// kindOf is the kind of the event that ends a failed attempt.
func kindOf(f *failure) timeline.Kind {
	if f.notRun {
		return timeline.AttemptDeclined
	}
	return timeline.AttemptFailed
}

// whyUnsent tells what decided for the server when no event about the sending did.
func (a *attempt) whyUnsent(f *failure) string {
	if f.arrived {
		return ""
	}
	return a.why + " "
}

// outcome is what a relayed answer tells of its server.
func (a *attempt) outcome() balance.Outcome {
	if a.response.StatusCode >= http.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Answered
}

// exchange sends the request and relays the answer.
func (a *attempt) exchange() *failure {
	a.armWatch()
	response, err := a.x.gateway.servers.of(a.x.route.Repeatable()).RoundTrip(a.request())
	if err != nil {
		return a.broken(err)
	}
	a.response = response
	a.answer = a.x.gateway.options.Protocol.ReadAnswer(response)
	if failed := a.check(); failed != nil {
		return failed
	}
	if a.streams() {
		return a.relayStream()
	}
	return a.relayWhole()
}

// maySend is asked right before the first byte is written.
func (a *attempt) maySend() bool {
	if a.ctx.Err() != nil || !a.x.maySend() {
		return false
	}
	a.record(timeline.AttemptSent, 0, a.why)
	return true
}

// reasons tells what decided for the server.
func (a *attempt) reasons() string {
	return fmt.Sprintf("home=%t cold=%t in_flight=%d others=%d unread=%d repeat=%t resume_after=%q",
		a.place.Home, a.place.Cold, a.place.InFlight, a.place.Others.InFlight, a.place.Others.Unread, a.x.sends > 0, a.x.resumeAt)
}

// request builds the request for the server.
func (a *attempt) request() *http.Request {
	x := a.x
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	r := (&http.Request{
		Method: x.r.Method, URL: a.url(), Host: x.r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: x.header.Clone(),
	}).WithContext(ctx)
	x.gateway.options.Protocol.WriteSend(r.Header, Send{
		Server: a.place.Server, Left: max(x.left(), time.Millisecond), Organisation: x.organisationName(),
		Priority: x.query.Priority, ResumeAfter: x.resumeAt,
	})
	if _, stated := r.Header["User-Agent"]; !stated {
		r.Header["User-Agent"] = nil // the transport would add its own
	}
	a.setBody(r)
	return r
}

func (a *attempt) url() *url.URL {
	u := *a.x.r.URL
	u.Scheme = "http"
	u.Host = a.place.Address
	return &u
}

// setBody gives the request a body that the transport does not send a second
// time by itself.
func (a *attempt) setBody(r *http.Request) {
	if len(a.x.body) > 0 {
		r.ContentLength = int64(len(a.x.body))
		r.Body = io.NopCloser(bytes.NewReader(a.x.body))
		return
	}
	if a.x.r.Body == nil || a.x.r.Body == http.NoBody {
		r.Body = dispatch.EmptyBody(r.Method)
		return
	}
	r.Body = http.NoBody
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.reused = info.Reused
	a.permit.Give(info)
}

// check decides whether the answer's head is the server's answer to this request.
func (a *attempt) check() *failure {
	x, status := a.x, a.response.StatusCode
	switch {
	case a.answer.Misdirected:
		return a.fail(result.NoBackendServer, balance.Misdirected, fmt.Errorf("server %q is no longer at %s", a.place.Server, a.place.Address)).proved()
	case a.answer.NotRun && a.answer.Attempt != "" && a.answer.Attempt != x.head.Attempt:
		return a.fail(result.AnswerCrossed, balance.Broken, errForeign)
	case a.answer.NotRun && refusesForNow(status):
		return a.fail(result.Shed, balance.Full, fmt.Errorf("server %q had no room", a.place.Server)).proved()
	case a.answer.NotRun && !x.started:
		return nil
	case a.answer.Attempt != x.head.Attempt:
		return a.fail(result.AnswerCrossed, balance.Broken, errForeign)
	case a.response.Header.Get("Content-Encoding") != "":
		return a.fail(result.AnswerCrossed, balance.Broken, errForeign)
	case status < http.StatusMultipleChoices && !a.answer.Signed:
		return a.fail(result.AnswerCrossed, balance.Broken, errNotSigned)
	case x.started && !a.streams():
		return a.fail(result.BackendServerError, balance.Failed, fmt.Errorf("server %q did not resume the stream but answered status %d", a.place.Server, status))
	case status >= http.StatusInternalServerError && x.mayRetryAnswer():
		x.meter(time.Since(a.started))
		return a.fail(result.BackendServerError, balance.Failed, fmt.Errorf("server %q answered status %d", a.place.Server, status))
	}
	return nil
}

func refusesForNow(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// fail describes a failure of an attempt whose request was sent.
func (a *attempt) fail(code result.Code, outcome balance.Outcome, cause error) *failure {
	return &failure{code: code, outcome: outcome, cause: cause, arrived: true}
}

// proved marks that the server stated that it did not run the request.
func (f *failure) proved() *failure {
	f.notRun = true
	return f
}

// broken explains an error of the connection.
func (a *attempt) broken(err error) *failure {
	f := &failure{code: result.BackendServerError, cause: err, outcome: balance.Broken, arrived: !a.permit.Revoke()}
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errSilent), errors.Is(cause, errDead):
		a.unresponsive(f, cause)
	case cause != nil:
		f.code, f.outcome, f.final = codeOf(a.ctx, cause), balance.Abandoned, true
		f.cause = cause
	case a.permit.Denied():
		f.code, f.outcome, f.final = result.ConfigurationStale, balance.Abandoned, true
	case !f.arrived:
		f.code, f.outcome = result.ConnectFailed, balance.Unreached
	default:
		a.disconnected(f)
	}
	if f.arrived && a.response == nil && a.x.route.Kind != routes.Stream {
		a.x.meter(time.Since(a.started)) // its answer was lost; it probably ran
	}
	return f
}

// unresponsive explains an attempt that the watch ended.
func (a *attempt) unresponsive(f *failure, cause error) {
	f.code, f.cause, f.outcome = result.AttemptTimeout, cause, balance.Silent
	f.crashed = errors.Is(cause, errDead)
	if a.reused && !f.crashed {
		f.outcome = balance.Broken // the connection may be at fault
	}
}

// disconnected explains a connection that broke after the request was sent.
func (a *attempt) disconnected(f *failure) {
	if a.response != nil {
		f.code = result.StreamBroken
	}
	f.crashed = a.x.gateway.probes.dead(a.place.Address)
	if f.crashed {
		f.outcome = balance.Unreached
	}
}

// record adds an event about the attempt to the time line.
func (a *attempt) record(kind timeline.Kind, code result.Code, detail string) {
	a.x.record(timeline.Event{
		Kind: kind, Attempt: a.x.head.Attempt, Record: a.x.head.Attempt, KeyDigest: a.keyDigest(kind),
		Server: a.place.Server, Zone: a.place.Zone, Code: code, Detail: detail,
		Duration: time.Since(a.x.arrived), Count: a.x.events,
	})
}

// keyDigest is the digest of the caller's key in events that send a request.
func (a *attempt) keyDigest(kind timeline.Kind) string {
	if kind != timeline.AttemptSent {
		return ""
	}
	return string(a.x.keyDigest)
}
