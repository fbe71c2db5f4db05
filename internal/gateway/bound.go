package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routes"
)

// A stream goes on only at the software version that began it, since the events that two
// versions write do not fit together. Within an exchange that is the version of the server
// that sent the first event. For a stream that an earlier exchange began, Origins knows it.

// originRetryAfter is the Retry-After of a refusal if Origins did not answer in time, or the
// servers of the version are only unusable for now.
const originRetryAfter = time.Second

// originWaitFraction is the fraction of the remaining time that Origins may take to answer.
const originWaitFraction = 0.5

var errReplaced = errors.New("the directory lists another process, of another software version, in place of the one that was chosen")

// Reasons for which a resumption is refused, as values of a label.
const (
	refusedOriginUnknown   = "origin_unknown"   // the version will not be known
	refusedOriginNotKnown  = "origin_not_known" // the version is not known for now
	refusedVersionMissing  = "version_missing"  // no server of the version is listed
	refusedVersionUnusable = "version_unusable" // one is listed, but takes no requests
)

// resumes reports whether the request resumes a stream of an earlier one.
func (x *exchange) resumes() bool {
	return x.route.Kind == routes.Stream && x.head.ResumeAfter != ""
}

// serviceSeed returns the seed for the choice of the service. A resumed stream goes on at the
// service that began it.
func (x *exchange) serviceSeed() string {
	if x.resumes() && x.head.ResumedAttempt != "" {
		return x.head.ResumedAttempt
	}
	return x.head.Attempt
}

// bindToOrigin binds a request that resumes a stream to the version that began it. It returns
// a refusal if that is not known. For a stream that begins here and may be resumed, it starts a record.
func (x *exchange) bindToOrigin() *result.Error {
	origins := x.gateway.options.Origins
	switch {
	case origins == nil || x.route.Kind != routes.Stream:
		return nil
	case x.resumes():
		return x.findOrigin(origins.ForRoute(x.route.Pattern()))
	case x.head.Attempt != "" && x.route.Resumable:
		x.origin = origins.ForRoute(x.route.Pattern()).Track(x.head.Attempt, x.query.Service)
	}
	return nil
}

func (x *exchange) findOrigin(origins Origins) *result.Error {
	ctx, cancel := context.WithTimeout(x.ctx, time.Duration(originWaitFraction*float64(x.timeLeft())))
	defer cancel()
	version, err := origins.Find(ctx, x.head.ResumedAttempt, x.query.Service)
	if err == nil {
		x.query.Bound, x.query.BoundVersion = true, version
		return nil
	}
	if x.ctx.Err() != nil {
		return x.newResult(codeOf(x.ctx, err), err)
	}
	after := originRetryAfter
	if unknown := (*OriginUnknownError)(nil); errors.As(err, &unknown) {
		after = unknown.RetryAfter
	}
	if after > 0 {
		x.gateway.counters.resumptionRefused(x, refusedOriginNotKnown)
	} else {
		x.gateway.counters.resumptionRefused(x, refusedOriginUnknown)
	}
	return x.newResult(result.StreamOriginUnknown, fmt.Errorf("%w (resumed_attempt=%q)", err, x.head.ResumedAttempt)).WithRetryAfter(after)
}

// versionMissing returns the result of a request whose version has no usable server.
func (x *exchange) versionMissing(none *balance.NoServerError) *result.Error {
	var after time.Duration
	reason := refusedVersionMissing
	if none.Listed {
		after, reason = max(none.RetryAfter, originRetryAfter), refusedVersionUnusable
	}
	if !x.responseStarted {
		x.gateway.counters.resumptionRefused(x, reason)
	}
	return x.newResult(result.StreamVersionUnavailable, none).WithRetryAfter(after)
}

// bind binds all further attempts to the version of the server that sent the first event.
func (x *exchange) bind(began *balance.Assignment) {
	if x.began != nil {
		return
	}
	x.began, x.beganAt = began, time.Now()
	if !x.query.Bound {
		x.query.Bound, x.query.BoundVersion = true, began.Version
	}
}

// originLost reports whether it is not certain which version began the stream: the server has
// restarted with another one, perhaps before it sent the first event.
func (x *exchange) originLost() bool {
	if x.began == nil {
		return false
	}
	version, started, replaced := x.began.Successor()
	return replaced && version != x.began.Version && started < x.beganAt.Add(startMargin).UnixMilli()
}

// noteLostOrigin makes the origin of a stream that began here unknown to all instances once it is
// not certain any more.
func (x *exchange) noteLostOrigin() {
	if x.origin == nil || x.originNoted || !x.originLost() {
		return
	}
	x.originNoted = true
	x.origin.Lost()
}

// describeBinding returns the version to which the next attempt is bound as a key=value pair,
// or "".
func (x *exchange) describeBinding() string {
	if !x.query.Bound {
		return ""
	}
	return fmt.Sprintf("bound_to=%q ", x.query.BoundVersion)
}

// noteOrigin notes the version to which the request is about to be sent.
func (a *attempt) noteOrigin() {
	if a.x.origin != nil && !a.x.query.Bound {
		a.x.origin.Sending(a.assignment.Version)
	}
}

// admitRun decides before the first event of a run is relayed whether it may be.
func (a *attempt) admitRun() *failure {
	if a.admitted {
		return nil
	}
	if failed := a.admitProcess(); failed != nil {
		return failed
	}
	a.admitted = true
	if a.x.query.Bound {
		return nil
	}
	if version, _, replaced := a.assignment.Successor(); replaced && version != a.assignment.Version {
		return a.newFailure(result.StreamBroken, balance.Abandoned, errReplaced)
	}
	return a.confirmOrigin()
}

// confirmOrigin waits until every instance can find the version that begins the stream.
func (a *attempt) confirmOrigin() *failure {
	if a.x.origin == nil {
		return nil
	}
	err := a.x.origin.Confirm(a.ctx)
	switch {
	case err == nil:
		a.watchdog.progress()
		return nil
	case a.x.ctx.Err() != nil:
		return a.connectionFailure(context.Cause(a.x.ctx))
	}
	return a.newFailure(result.StreamOriginUnknown, balance.Abandoned, fmt.Errorf("record the software version that begins the stream: %w", err))
}

// admitEnd decides at the end of a run whether it may go on with a stream. One that has ended without
// an event was not admitted yet.
func (a *attempt) admitEnd() *failure {
	if a.admitted || !a.x.query.Bound {
		return nil
	}
	return a.admitProcess()
}

// admitProcess decides, before anything of a run is relayed, whether the process that was chosen
// runs it. The directory may be late, so that the run may be one of a later process, of another
// version.
func (a *attempt) admitProcess() *failure {
	if !a.needsProcess() {
		return nil
	}
	found := a.findProcess()
	switch {
	case found.mayBeChosen():
		return nil
	case a.ctx.Err() != nil:
		return a.connectionFailure(context.Cause(a.ctx))
	}
	return a.newFailure(result.StreamBroken, outcomeOfRun(found), fmt.Errorf(
		"the software version of server %q is not certain: %scheck=%s", a.assignment.Server, a.x.describeBinding(), found))
}

// outcomeOfRun returns the balancer's outcome for a run that was not relayed. A process that the
// directory does not list yet has done nothing wrong, nor has one at its limit of connections.
func outcomeOfRun(found finding) balance.Outcome {
	if found == restarted || found == resets {
		return balance.Abandoned
	}
	return outcomeOfCheck(found)
}

// mayBeChosen reports whether nothing shows that another process than the chosen one answered.
func (f finding) mayBeChosen() bool {
	switch f {
	case sameProcess, sameServer, listens, unidentified:
		return true
	case notAsked, restarted, otherServer, gone, silentServer, resets:
	}
	return false
}

// resumptionRefused counts a refused resumption.
func (c *counters) resumptionRefused(x *exchange, reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_resumptions_refused_total{route=%q,reason=%q}`, x.routeName(), reason)).Inc()
}
