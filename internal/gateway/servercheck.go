package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"syscall"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// serverCheckTimeout bounds the check of a server after an answer that ended with its
	// connection. A process takes longer to start.
	serverCheckTimeout = 500 * time.Millisecond
	// serverCheckTries is how often a server is asked whose connections break, and
	// serverCheckPause the time before it is asked again.
	serverCheckTries = 3
	serverCheckPause = 20 * time.Millisecond
	// maxIdentityBytes bounds the body in which a server states its identity.
	maxIdentityBytes = 256 << 10
)

// unconfirmedError reports an answer whose end does not show that it is complete.
type unconfirmedError struct {
	server  string
	found   finding
	verdict verdict
}

// Error implements error.
func (e *unconfirmedError) Error() string {
	return fmt.Sprintf("the answer of server %q may be incomplete: conclusion=%s check=%s", e.server, e.verdict, e.found)
}

// confirmEnd returns nil if the answer that has just ended may be passed on as complete.
// Otherwise it returns the failure.
func (a *attempt) confirmEnd() *failure {
	if !a.end().inDoubt() {
		return nil
	}
	if a.watchdog != nil {
		a.watchdog.stop()
	}
	e, v := a.examineEnd(a.ctx)
	switch {
	case v == confirmed:
		return nil
	case a.ctx.Err() != nil:
		return a.connectionFailure(context.Cause(a.ctx))
	}
	return a.unconfirmedFailure(e.check.found, v)
}

// unconfirmedFailure returns the failure for an answer that is not confirmed.
func (a *attempt) unconfirmedFailure(found finding, v verdict) *failure {
	code, outcome := result.StreamBroken, outcomeOfCheck(found)
	if v == overdue {
		code, outcome = result.AttemptTimeout, balance.Failed
	}
	f := a.newFailure(code, outcome, &unconfirmedError{server: a.assignment.Server, found: found, verdict: v})
	f.crashed = v == crashed
	return f
}

// outcomeOfCheck returns the balancer's outcome for an answer that is not confirmed.
func outcomeOfCheck(found finding) balance.Outcome {
	switch found {
	case gone, silentServer:
		return balance.Unreached
	case otherServer:
		return balance.Misdirected
	case notAsked, sameProcess, sameServer, listens, restarted, resets, unidentified:
	}
	return balance.Broken
}

// end returns what the end of the answer, which is now, shows by itself.
func (a *attempt) end() evidence {
	return evidence{framing: a.framing, endedAt: time.Now(), stopsAt: a.stopsAt, unread: a.body.unread, stream: a.events != nil}
}

// examineEnd collects the evidence for an answer whose end is in doubt.
func (a *attempt) examineEnd(ctx context.Context) (evidence, verdict) {
	e := a.end()
	if e.endedAt.Before(e.stopsAt) {
		e.check = a.checkServer(ctx, a.started)
	}
	v := conclude(e)
	a.recordEndCheck(e, v)
	return e, v
}

// checkServer asks the server who it is, within serverCheckTimeout. It starts no run. A process that
// started before sentAt counts as the known one, although the directory listed an earlier one; if
// sentAt is zero, it does not.
func (a *attempt) checkServer(ctx context.Context, sentAt time.Time) serverCheck {
	c := serverCheck{askedAt: time.Now()}
	known := a.knownIdentity()
	c.found = a.askServer(ctx, known, sentAt).found
	if c.found == resets {
		c.found = silentServer
	}
	return c
}

// statement is what a server has answered to the question who it is.
type statement struct {
	found  finding
	stated Identity        // as long as found is not unidentified
	conn   *guardconn.Conn // on which it was stated; nil if there was none
}

// askServer asks the server who it is, within serverCheckTimeout, and compares the answer with what
// is known of it. A connection that breaks shows nothing, since a server resets those beyond its
// limit; neither does an answer to an earlier request, which may arrive late on a kept connection.
// The server is asked again then.
func (a *attempt) askServer(ctx context.Context, known Identity, sentAt time.Time) statement {
	ctx, cancel := context.WithTimeout(ctx, serverCheckTimeout)
	defer cancel()
	path, header := a.x.gateway.options.Protocol.IdentityRequest(known)
	if path == "" {
		return statement{found: findingOfProbe(a.x.gateway.probes.probe(a.assignment.Address))}
	}
	s := statement{found: silentServer}
	for range serverCheckTries {
		stated, conn, err := a.x.gateway.identify(ctx, a.assignment.Address, path, header.Clone())
		s = statement{found: findingOfError(ctx, conn, err)}
		if err == nil {
			s = statement{found: a.compareWithDirectory(known, compareIdentity(known, stated, sentAt), sentAt), stated: stated, conn: conn}
		}
		if !s.found.unanswered() {
			return s
		}
		if wait.For(ctx, serverCheckPause) != nil {
			return s
		}
	}
	return s
}

// unanswered reports whether the server may be asked again, since nothing was learned.
func (f finding) unanswered() bool { return f == silentServer || f == resets || f == unidentified }

// findingOfError returns what it shows that a server was asked in vain, on conn or without a
// connection.
func findingOfError(ctx context.Context, conn *guardconn.Conn, err error) finding {
	switch {
	case reachabilityOf(err) == refused:
		return gone
	case ctx.Err() == nil && (conn != nil || errors.Is(err, syscall.ECONNRESET)):
		return resets
	}
	return silentServer
}

// compareWithDirectory corrects what a statement shows that names the server and not its start:
// the directory may list another process under the server's id by now.
func (a *attempt) compareWithDirectory(known Identity, found finding, sentAt time.Time) finding {
	start := a.assignment.ListedStart()
	if found != sameServer || start <= 0 {
		return found
	}
	listed := Identity{Server: known.Server, Incarnation: uint64(start), StartedAt: time.UnixMilli(start)}
	if compareIdentity(known, listed, sentAt) == restarted {
		return restarted
	}
	return found
}

// findingOfProbe returns what a probe shows of a server that cannot be asked.
func findingOfProbe(r reachability) finding {
	switch r {
	case reachable:
		return listens
	case refused:
		return gone
	case silent:
	}
	return silentServer
}

// knownIdentity returns the process that sent the answer, as far as it is known.
func (a *attempt) knownIdentity() Identity {
	known := Identity{Server: a.assignment.Server, Incarnation: a.answer.Incarnation}
	if known.Incarnation == 0 {
		known.Incarnation = uint64(max(a.assignment.StartedMillis, 0))
	}
	return known
}

// identify asks the process at the address who it is. conn is the connection on which it was asked,
// or nil if there was none.
func (g *Gateway) identify(ctx context.Context, address, path string, header http.Header) (stated Identity, conn *guardconn.Conn, err error) {
	permit := guardconn.NewPermit(func() guardconn.Grant { return guardconn.Allow(serverCheckTimeout) })
	defer permit.End()
	gotConn := func(info httptrace.GotConnInfo) {
		permit.Attach(info)
		if guarded, ok := info.Conn.(*guardconn.Conn); ok {
			conn = guarded
		}
	}
	r := (&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: path}, Header: header,
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: gotConn}))
	response, err := g.transports.pooled.RoundTrip(r)
	if err != nil {
		return Identity{}, conn, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxIdentityBytes))
	err = errors.Join(err, response.Body.Close())
	return g.options.Protocol.ReadIdentity(response, body), conn, err
}

// recordEndCheck records what is known of an answer whose end is in doubt, and what was
// concluded.
func (a *attempt) recordEndCheck(e evidence, v verdict) {
	a.x.gateway.counters.endChecked(e.check.found, v)
	a.x.record(timeline.Event{
		Kind: timeline.AttemptUnframed, Attempt: a.x.head.Attempt, Server: a.assignment.Server, Zone: a.assignment.Zone,
		Count: a.x.events, State: e.check.found.String(), Duration: time.Since(e.endedAt),
		Detail: "conclusion=" + v.String() + a.describeStream(),
	})
}
