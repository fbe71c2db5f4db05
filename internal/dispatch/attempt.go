package dispatch

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// attempt is one transmission of a request to one backend server.
type attempt struct {
	x              *exchange
	id             string
	target         traffic.Target
	fresh          bool // sent on a new connection
	resumeAfter    int  // content events that the caller has received
	incarnation    incarnation
	ctx            context.Context
	cancel         context.CancelCauseFunc
	watchdog       *watchdog
	permit         *guardconn.Permit
	preempted      <-chan struct{}
	run            Run
	started        time.Time
	reused         bool // the connection was taken from the pool
	response       *http.Response
	body           *bufio.Reader
	relaying       bool // its answer is being relayed to the caller
	draining       bool // only the bytes after the terminal event are still read
	unwanted       bool // the server wants no requests any more; set before the permit is denied
	paused         bool // the server has refused the request and asked for a pause
	settled        bool
	crashed        bool
	firstToken     time.Duration
	lastRead       time.Time
	receivedEvents int64 // content events
	wastedEvents   int64 // content events not relayed to the caller
	usage          Usage
}

// newAttempt prepares an attempt without sending anything.
func (x *exchange) newAttempt(target traffic.Target, fresh bool) *attempt {
	a := &attempt{
		x: x, id: x.nextAttemptID(), target: target, fresh: fresh,
		resumeAfter: x.delivered.contentEvents, started: time.Now(),
	}
	a.incarnation.epoch = max(target.Epoch, x.d.epochs.get(target.Server))
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	a.watchdog = newWatchdog(a.cancel)
	a.watchdog.extend = a.shouldKeepWaiting
	a.permit = guardconn.NewPermit(a.maySend)
	x.outcome.Attempts++
	x.outcome.Server, x.outcome.Attempt = a.target.Server, a.id
	x.watchPreemption(a)
	a.record(timeline.AttemptStarted, 0, "")
	return a
}

// nextAttemptID returns the id of the next attempt. A non-idempotent request
// keeps its id across attempts, because its idempotency record stores that id
// and all earlier attempts were unsent.
func (x *exchange) nextAttemptID() string {
	if x.attemptID != "" && !x.call.Request.Idempotent {
		return x.attemptID
	}
	if x.attemptID == "" && x.call.Attempt != "" {
		x.attemptID = x.call.Attempt
		return x.attemptID
	}
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	x.attemptID = id.String()
	return x.attemptID
}

// maySend decides whether the request may still be sent, and until when it may be
// delivered. The connection calls it right before it writes the first byte.
func (a *attempt) maySend() guardconn.Grant {
	now := time.Now()
	latest := a.x.call.SendBefore
	if !latest.IsZero() && (now.After(latest) || now.Round(0).After(latest.Round(0))) {
		return guardconn.Deny()
	}
	if !a.x.call.Targets.Wanted(a.target) {
		a.unwanted = true
		return guardconn.Deny()
	}
	if a.ctx.Err() != nil || !a.x.gate.Open() {
		return guardconn.Deny()
	}
	a.record(timeline.AttemptSent, 0, "")
	a.x.call.Progress.Sent()
	return guardconn.Allow(guardconn.DefaultDelivery)
}

// sent reports whether a byte of the request may have been written.
func (a *attempt) sent() bool { return a.permit.Granted() }

// revokeSend revokes the permission to write and reports whether it is proved
// that the server received no byte of the request.
func (a *attempt) revokeSend() bool { return a.permit.Revoke() }

// send writes the request and waits for the headers of an answer that carries
// the attempt's id. Unless the request body is streamed, it also waits for the
// first byte of the answer's body.
func (a *attempt) send() error {
	request := a.newRequest()
	a.watchdog.arm(phaseHeaders, a.x.call.Timeouts.Headers)
	response, err := a.transport().RoundTrip(request)
	if err != nil {
		return a.classify(err)
	}
	a.response = response
	a.updateEpoch()
	partial := response.Header.Get(engineapi.AttemptHeader) != a.id
	a.paused = a.state(response.StatusCode, response.Header, partial).Pause > 0
	if err := a.checkAttemptID(); err != nil {
		return err
	}
	if err := a.checkFraming(); err != nil {
		return err
	}
	if err := a.checkStatus(); err != nil {
		return err
	}
	a.body = bufio.NewReaderSize(&answerBody{a: a}, streamReadBufferBytes)
	if a.x.call.Stream != nil {
		return nil // the server may need more of the request body before it answers
	}
	if _, err := a.body.Peek(1); err != nil && err != io.EOF {
		return a.classify(err)
	}
	a.firstToken = time.Since(a.started)
	return nil
}

func (a *attempt) transport() *httpcheck.Transport {
	if a.fresh {
		return a.x.d.fresh
	}
	return a.x.d.pooled
}

func (a *attempt) newRequest() *http.Request {
	c := &a.x.call
	ctx := guardconn.WithConnectTimeout(a.ctx, c.Timeouts.Connect)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: a.gotConn, Got1xxResponse: advisory.Informational(func(status int, h http.Header) { a.state(status, h, true) }),
	})
	request := (&http.Request{
		Method: c.Method, URL: a.url(), Host: a.target.Address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: a.x.header.Clone(),
	}).WithContext(ctx)
	a.setAttemptHeaders(request.Header, a.started)
	a.setBody(request)
	return request
}

// gotConn passes the permit to the connection before anything is written to it.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.reused = info.Reused
	a.permit.Attach(info)
}

func (a *attempt) updateEpoch() {
	epoch, ok := epochOf(a.response.Header)
	if !ok {
		return
	}
	a.incarnation = incarnation{epoch: epoch, exact: epoch > 0}
	a.x.d.epochs.update(a.target.Server, epoch)
}

// epochOf returns the restart epoch in the head of an answer.
func epochOf(h http.Header) (uint64, bool) {
	epoch, err := strconv.ParseUint(h.Get(engineapi.EpochHeader), 10, 64)
	return epoch, err == nil
}

// state reports and returns what the head of an answer states about the server. partial is
// true for an informational answer and for the answer to another attempt.
func (a *attempt) state(status int, h http.Header, partial bool) advisory.Advisory {
	s := traffic.Statement{
		Target: a.target, SentAt: a.started, Partial: partial, Request: a.x.call.Request.ID, Status: status,
		Advisory: advisory.Read(advisory.Fields{Leaving: engineapi.LeavingHeader, RateLimit: engineapi.RateLimitHeader}, status, h, time.Now()),
	}
	s.Epoch, _ = epochOf(h)
	a.x.call.Targets.Stated(s)
	return s.Advisory
}

// close closes the attempt's connection unless the answer was read to its end.
func (a *attempt) close(cause error) {
	a.watchdog.disarm()
	a.cancel(cause)
	a.permit.Revoke() // from here on the result of sent is final
	if a.response != nil {
		_ = a.response.Body.Close()
	}
}

// record adds an event about the attempt to the timeline.
func (a *attempt) record(kind timeline.Kind, code result.Code, detail string) {
	r := a.x.call.Request
	e := timeline.Event{
		Kind: kind, Request: r.ID, Attempt: a.id, Organisation: r.Organisation,
		Idempotent: r.Idempotent, Server: a.target.Server, Zone: a.target.Zone,
		Service: r.Pool, KeyDigest: string(r.Key), Record: r.Record, Code: code, Detail: detail,
	}
	if r.Class != nil {
		e.Class, e.Tier = r.Class.Name, r.Class.Tier
	}
	a.x.d.options.Recorder.Record(e)
}
