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

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/eventstream"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

var (
	errIsolated = errors.New("the server runs another request that is suspected of crashing servers")
	errUnwanted = errors.New("the server stated after it was chosen that it wants no requests, or another process is listed in its place")
)

// attempt is one attempt to run a request on one backend server.
type attempt struct {
	x          *exchange
	assignment *balance.Assignment
	permit     *guardconn.Permit
	ctx        context.Context
	cancel     context.CancelCauseFunc
	watchdog   *watchdog
	reason     string // why the server was chosen; see describeChoice
	started    time.Time
	reused     bool
	response   *http.Response
	answer     AnswerHead
	framing    framing
	body       *unreadBody         // of the response
	events     *eventstream.Reader // of an answer that is a stream; nil otherwise
	pacing     pacing
	stopsAt    time.Time      // when the server stops work on the request
	version    versionSampler // for Options.Versions
	departure  departure      // of the stream, if the server leaves
	admitted   bool           // events of the run may be relayed
	run        runProcess
	// denial is why the request may not be sent after all, or nil. It is set before the
	// permit is denied.
	denial error
}

// attempt sends the request to the server and relays its answer. It returns nil
// when the caller has received the answer.
func (x *exchange) attempt(assignment *balance.Assignment) *failure {
	a := &attempt{x: x, assignment: assignment, started: time.Now()}
	a.reason = a.describeChoice()
	a.permit = guardconn.NewPermit(a.maySend)
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	defer a.cancel(errEnded)
	a.version.suspected = x.gateway.suspects(x.suspect, a.started)
	run, ok := x.gateway.options.Suspects.Start(x.suspect, assignment.Server, 0, a.started)
	if !ok {
		assignment.End(balance.Abandoned)
		return &failure{code: result.NoBackendServer, cause: errIsolated, outcome: balance.Abandoned}
	}
	a.pacing.start(a)
	defer a.pacing.stop()
	failed := a.roundTrip()
	a.finish(failed, run)
	return failed
}

// finish releases the assignment and reports the outcome to the balancer, the
// crash quarantine, the metrics and the timeline.
func (a *attempt) finish(failed *failure, run dispatch.Run) {
	if a.watchdog != nil {
		a.watchdog.stop()
	}
	if a.response != nil && failed != nil {
		a.cancel(errEnded)
		_ = a.response.Body.Close()
	}
	a.permit.End()
	a.sampleEnd(failed)
	if a.assignment.Leaving() {
		a.x.gateway.transports.closeUnused(a.assignment.Address)
	}
	if failed == nil {
		a.assignment.End(a.outcome())
		run.Ended(a.succeeded(), time.Now())
		a.x.gateway.counters.attempt("answered")
		return
	}
	a.assignment.End(failed.outcome)
	if failed.crashed && !a.stoppedAsStated() {
		run.Crashed(time.Now())
	} else {
		run.Ended(false, time.Now())
	}
	a.x.gateway.counters.attempt(failed.code.String())
	a.record(kindOf(failed), failed.code, a.reasonIfUnsent(failed)+fmt.Sprint(failed.cause)+a.describeStream())
}

// kindOf returns the kind of the event for a failed attempt.
func kindOf(f *failure) timeline.Kind {
	switch {
	case f.notRun:
		return timeline.AttemptDeclined
	case f.continues:
		return timeline.StreamContinued
	}
	return timeline.AttemptFailed
}

// reasonIfUnsent returns the reason for the choice of the server if the request was
// not sent. Otherwise the AttemptSent event has recorded it already.
func (a *attempt) reasonIfUnsent(f *failure) string {
	if f.sent {
		return ""
	}
	return a.reason + " "
}

// succeeded reports whether the relayed answer shows that the server ran the request
// to its end.
func (a *attempt) succeeded() bool {
	return a.response.StatusCode < http.StatusMultipleChoices && !a.answer.NotRun
}

// outcome returns the outcome that the balancer counts for a relayed answer.
func (a *attempt) outcome() balance.Outcome {
	if a.response.StatusCode >= http.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Answered
}

// roundTrip sends the request and relays the answer.
func (a *attempt) roundTrip() *failure {
	a.startWatchdog()
	a.noteOrigin()
	response, err := a.x.gateway.transports.forRequest(a.x.route.Retryable()).RoundTrip(a.request())
	if err != nil {
		return a.connectionFailure(err)
	}
	a.response = response
	a.body = &unreadBody{ReadCloser: response.Body}
	response.Body = a.body
	a.framing = framingOf(response, a.x.r.Method)
	a.answer = a.x.gateway.options.Protocol.ReadAnswerHead(response)
	a.observe(balance.Answer{
		Status: response.StatusCode, Misdirected: a.answer.Misdirected, Partial: a.answer.Attempt != a.x.head.Attempt,
	}, response.Header)
	a.noteProcess()
	if failed := a.checkHead(); failed != nil {
		return failed
	}
	if a.streams() {
		return a.relayStream()
	}
	return a.relayBuffered()
}

// observe reports what the head of an answer states about the server that sent it.
func (a *attempt) observe(answer balance.Answer, h http.Header) {
	answer.Request = a.x.head.Attempt
	answer.Advisory = a.x.gateway.options.Protocol.ReadAdvisory(answer.Status, h)
	a.assignment.Observe(answer)
}

// observeInformational is observe for informational answers.
func (a *attempt) observeInformational(status int, h http.Header) {
	a.observe(balance.Answer{Status: status, Partial: true}, h)
}

// maySend decides right before the first byte of the request is written whether it
// may still be sent, and until when it may be delivered.
func (a *attempt) maySend() guardconn.Grant {
	switch {
	case a.ctx.Err() != nil || !a.x.maySend():
		return guardconn.Deny()
	case !a.x.endsBeforeStop():
		a.denial = errEndsTooLate
		return guardconn.Deny()
	case !a.assignment.MaySend():
		a.denial = errUnwanted
		return guardconn.Deny()
	}
	a.record(timeline.AttemptSent, 0, a.reason)
	return guardconn.Allow(a.x.deliveryLimit())
}

// describeChoice returns the inputs to the choice of the server as key=value pairs.
func (a *attempt) describeChoice() string {
	return a.describeVersion() + a.x.describeBinding() + fmt.Sprintf("home=%t cold=%t in_flight=%d others=%d unread=%d uncached=%d repeat=%t resume_after=%q",
		a.assignment.OnAffinityServer, a.assignment.Cold, a.assignment.InFlight, a.assignment.Others.InFlight,
		a.assignment.Others.PendingPrefill, a.assignment.Uncached, a.x.sends > 0, a.x.lastEventID)
}

// request builds the request for the server.
func (a *attempt) request() *http.Request {
	x := a.x
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn: a.gotConn, Got1xxResponse: advisory.Informational(a.observeInformational),
	})
	r := (&http.Request{
		Method: x.r.Method, URL: a.url(), Host: x.r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: x.header.Clone(),
	}).WithContext(ctx)
	timeLeft := max(x.timeLeft(), time.Millisecond).Truncate(time.Millisecond)
	a.stopsAt = time.Now().Add(timeLeft)
	x.gateway.options.Protocol.WriteServerHead(r.Header, ServerHead{
		Server: a.assignment.Server, TimeLeft: timeLeft, Organisation: x.organisationName(),
		Priority: x.query.Priority, ResumeAfter: x.lastEventID,
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
	u.Host = a.assignment.Address
	return &u
}

// setBody sets a body that keeps the transport from retrying the request on its own.
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
	a.permit.Attach(info)
	a.beginProcessCheck(info)
}

// newFailure returns the failure of an attempt whose request was sent.
func (a *attempt) newFailure(code result.Code, outcome balance.Outcome, cause error) *failure {
	return &failure{code: code, outcome: outcome, cause: cause, sent: true}
}

// markNotRun records that the server stated that it did not run the request.
func (f *failure) markNotRun() *failure {
	f.notRun = true
	return f
}

// connectionFailure classifies an error of the connection by what ended it.
func (a *attempt) connectionFailure(err error) *failure {
	f := &failure{code: result.BackendServerError, cause: err, outcome: balance.Broken, sent: !a.permit.Revoke()}
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errNoProgress), errors.Is(cause, errUnreachable), errors.Is(cause, errRefused), errors.Is(cause, errStalled):
		a.setUnresponsive(f, cause)
	case cause != nil:
		f.code, f.outcome, f.final = codeOf(a.ctx, cause), balance.Abandoned, true
		f.cause = cause
	case a.permit.Denied() && a.denial == errUnwanted:
		f.code, f.outcome, f.cause = result.NoBackendServer, balance.Abandoned, errUnwanted
	case a.permit.Denied() && a.denial == errEndsTooLate:
		f.code, f.outcome, f.cause, f.final = result.InstanceDraining, balance.Abandoned, errEndsTooLate, true
	case a.permit.Denied():
		f.code, f.outcome, f.final = result.ConfigurationStale, balance.Abandoned, true
	case !f.sent:
		f.code, f.outcome = result.ConnectFailed, balance.Unreached
	default:
		a.setDisconnected(f)
	}
	if f.sent && a.probablyRan(f) {
		a.x.recordUsage(time.Since(a.started))
	}
	return f
}

// probablyRan reports whether the server probably began to run a request of which no
// complete answer, or no event, was received. It bills what a server has done for an
// organisation although the answer was lost.
func (a *attempt) probablyRan(f *failure) bool {
	if a.x.route.Kind != routes.Stream {
		return !a.answer.NotRun
	}
	// A server that runs on has received the request and closed its connection. A reused
	// connection may have been closed before the request arrived.
	return a.response == nil && f.outcome == balance.Broken && !a.reused
}

// setUnresponsive fills in the failure of an attempt that the watchdog cancelled.
func (a *attempt) setUnresponsive(f *failure, cause error) {
	f.code, f.cause, f.outcome = result.AttemptTimeout, cause, balance.Silent
	f.crashed = errors.Is(cause, errRefused)
	if a.reused && errors.Is(cause, errNoProgress) {
		f.outcome = balance.Broken // the connection may be at fault
	}
}

// setDisconnected fills in the failure of a connection that broke after the request
// was sent.
func (a *attempt) setDisconnected(f *failure) {
	f.quotes = true
	if a.response != nil {
		f.code = result.StreamBroken
	}
	found := a.x.gateway.probes.probe(a.assignment.Address)
	f.crashed = found == refused
	if found != reachable {
		f.outcome = balance.Unreached
	}
}

// record adds an event about the attempt to the timeline.
func (a *attempt) record(kind timeline.Kind, code result.Code, detail string) {
	a.x.record(timeline.Event{
		Kind: kind, Attempt: a.x.head.Attempt, Record: a.x.head.Attempt, KeyDigest: a.keyDigest(kind),
		Server: a.assignment.Server, Zone: a.assignment.Zone, Code: code, Detail: detail,
		Duration: time.Since(a.x.receivedAt), Count: a.x.events,
	})
}

// keyDigest returns the digest of the caller's key for AttemptSent events, and the
// empty string for all others.
func (a *attempt) keyDigest(kind timeline.Kind) string {
	if kind != timeline.AttemptSent {
		return ""
	}
	return string(a.x.keyDigest)
}
