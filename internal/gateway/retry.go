package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	// extraSends is the number of sends allowed beyond the route's MaxAttempts
	// when servers state that they did not run the request.
	extraSends = 2
	// maxTries bounds the servers tried for one request, including unreachable ones.
	maxTries = 8
	// minTimeLeft is the remaining time below which no further attempt is made.
	minTimeLeft = 15 * time.Millisecond
	// firstWaitFraction is the fraction of the route's target that a request may
	// wait for a server; retryWaitFraction is the fraction of the remaining time
	// that a retry may wait.
	firstWaitFraction = 0.5
	retryWaitFraction = 0.25
	minWait           = 50 * time.Millisecond
	// maxRetryAfterFraction is the fraction of the caller's remaining time after which
	// it is asked to return at the latest.
	maxRetryAfterFraction = 0.5
	// minRecordedWait is the shortest wait for a server that is recorded as an event.
	minRecordedWait = 5 * time.Millisecond
)

// trialRetryAfter is the Retry-After of a refusal because of another request's trial.
const trialRetryAfter = time.Second

var errTrial = errors.New("another request is tried that shares parts of its prompt with requests during which backend servers crashed")

var errQuarantined = errors.New("backend servers crashed while they ran this request or others that share a part of its prompt")

// errNoValidAnswer is what callers are told of errors of the transport.
var errNoValidAnswer = errors.New("the connection to the backend server failed, or its answer was not valid")

// failure describes why an attempt did not deliver the complete answer.
type failure struct {
	code    result.Code
	cause   error
	outcome balance.Outcome
	sent    bool // bytes of the request may have been written
	notRun  bool // the server stated that it did not run the request
	final   bool // no further attempt may be made
	crashed bool // the server appears to have crashed
	// quotes is true if the cause may quote bytes that the server sent, so that callers must
	// not see it.
	quotes bool
	// continues is true if the attempt was ended to continue its stream on another server,
	// for which a retry was consumed already.
	continues bool
}

// tryServers makes attempts until the caller has the answer or no retry is allowed.
func (x *exchange) tryServers() {
	if !x.endsBeforeStop() {
		x.refuse(x.stopResult())
		return
	}
	for tries := 1; ; tries++ {
		if x.gateway.options.Suspects.Refused(x.suspect, time.Now()) {
			x.refuse(x.newResult(result.RequestQuarantined, errQuarantined))
			return
		}
		if x.gateway.options.Suspects.Waits(x.suspect, time.Now()) {
			x.refuse(x.newResult(result.NoBackendServer, errTrial).WithRetryAfter(trialRetryAfter))
			return
		}
		assignment, err := x.acquire(tries)
		if err != nil {
			x.refuse(x.noServerResult(err))
			return
		}
		failed := x.attempt(assignment)
		if failed == nil {
			return
		}
		x.query.Tried = append(x.query.Tried, assignment.Server)
		if failed.sent {
			x.sends++
			if !failed.notRun {
				x.possibleRuns++
			}
		}
		if !x.mayRetry(failed, tries) {
			x.refuse(x.toResult(failed))
			return
		}
	}
}

// acquire waits for the balancer to assign a server.
func (x *exchange) acquire(tries int) (*balance.Assignment, error) {
	x.query.MaxWait = time.Duration(firstWaitFraction * float64(x.target()))
	if tries > 1 || x.responseStarted {
		x.query.MaxWait = time.Duration(retryWaitFraction * float64(x.timeLeft()))
	}
	x.query.MaxWait = min(max(x.query.MaxWait, minWait), max(x.timeLeft(), 0))
	began := time.Now()
	assignment, err := x.gateway.options.Balancer.Acquire(x.ctx, &x.query)
	waited := time.Since(began)
	x.gateway.counters.waited(x, waited.Seconds())
	if waited >= minRecordedWait {
		x.record(timeline.Event{Kind: timeline.RequestQueued, Duration: waited, Detail: "waited for a backend server"})
	}
	return assignment, err
}

// noServerResult maps the balancer's error to the result for the caller.
func (x *exchange) noServerResult(err error) *result.Error {
	var none *balance.NoServerError
	if !errors.As(err, &none) {
		return x.newResult(codeOf(x.ctx, err), err)
	}
	after := min(none.RetryAfter, time.Duration(maxRetryAfterFraction*float64(x.timeLeft())))
	code := result.QueueTimeout
	switch {
	case none.Bound && none.Down:
		return x.versionMissing(none)
	case none.Reserved:
		code = result.Shed
	case none.Down || none.RetryAfter > 0:
		code = result.NoBackendServer
	}
	return x.newResult(code, err).WithRetryAfter(after)
}

// newResult builds the refusal or failure that ends the request. It promises that
// the request has not run only if no server may have run it.
func (x *exchange) newResult(code result.Code, cause error) *result.Error {
	if x.possibleRuns == 0 && !x.responseStarted {
		return newRefusal(code, "%v", cause).WithCause(cause)
	}
	return result.MayHaveRun(code, "%v", cause).WithCause(cause)
}

func (x *exchange) toResult(f *failure) *result.Error {
	if f.cause == errEndsTooLate {
		return x.stopResult()
	}
	if f.quotes {
		return x.newResult(f.code, errNoValidAnswer)
	}
	return x.newResult(f.code, f.cause)
}

// codeOf maps the cause for which a context ended to a result code.
func codeOf(ctx context.Context, err error) result.Code {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline) || errors.Is(err, errDeadline):
		return result.AttemptTimeout
	case errors.Is(cause, errStopped):
		return result.InstanceDraining
	}
	return result.CallerGone
}

// mayRetry reports whether another attempt may follow a failed one. tries is the
// number of attempts made so far.
func (x *exchange) mayRetry(f *failure, tries int) bool {
	attempts := max(x.route.MaxAttempts, 1)
	switch {
	case f.final || x.ctx.Err() != nil || x.timeLeft() < minTimeLeft || tries >= maxTries:
		return false
	case x.responseStarted && !(x.streamStarted && x.route.Resumable):
		return false
	case x.possibleRuns > 0 && !x.route.Retryable():
		return false
	case x.possibleRuns >= attempts || x.sends >= attempts+extraSends:
		return false
	case !x.endsBeforeStop() || x.originLost():
		return false
	case !f.sent || f.continues:
		return true
	}
	return x.gateway.options.Balancer.TryRetry(x.query.Service)
}

// mayRetryAnswer reports whether an error answer of a server may be dropped in
// favour of another attempt. Like mayRetry it checks the route, the number of runs
// and the time left, but neither the number of sends nor the balancer's retry budget.
func (x *exchange) mayRetryAnswer() bool {
	return x.route.Retryable() && x.possibleRuns+1 < max(x.route.MaxAttempts, 1) && x.timeLeft() >= minTimeLeft
}
