package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

var (
	errAnswerMismatch = errors.New("the answer does not match the request sent to the server")
	errNotSigned      = errors.New("the answer carries no signature of the server")
	errRefusedSuccess = errors.New("the answer is no failure but states that the request was not run")
)

// checkHead verifies that the answer's head belongs to this attempt and may be
// relayed. It returns nil if so.
func (a *attempt) checkHead() *failure {
	x, status := a.x, a.response.StatusCode
	switch {
	case a.refusesAnother():
		return a.newFailure(result.AnswerCrossed, balance.Broken, errAnswerMismatch)
	case a.answer.Misdirected:
		return a.newFailure(result.NoBackendServer, balance.Misdirected, fmt.Errorf("server %q is no longer at %s", a.assignment.Server, a.assignment.Address)).markNotRun()
	case a.answer.NotRun && isOverloadStatus(status):
		return a.newFailure(result.Shed, balance.Full, fmt.Errorf("server %q is at capacity", a.assignment.Server)).markNotRun()
	case a.answer.NotRun && status < http.StatusBadRequest:
		return a.newFailure(result.BackendServerError, balance.Broken, errRefusedSuccess)
	case a.answer.NotRun && !x.responseStarted:
		return a.checkRefusal()
	case a.answer.Attempt != x.head.Attempt:
		return a.newFailure(result.AnswerCrossed, balance.Broken, errAnswerMismatch)
	case a.response.Header.Get("Content-Encoding") != "":
		return a.newFailure(result.AnswerCrossed, balance.Broken, errAnswerMismatch)
	case status < http.StatusMultipleChoices && !a.answer.Signed:
		return a.newFailure(result.AnswerCrossed, balance.Broken, errNotSigned)
	case x.responseStarted && (!a.streams() || !isEventStream(a.response.Header)):
		return a.newFailure(result.BackendServerError, balance.Failed, fmt.Errorf("server %q did not resume the stream: it answered status %d", a.assignment.Server, status))
	case promisesNotRun(status):
		x.recordUsage(time.Since(a.started))
		return a.newFailure(result.BackendServerError, balance.Failed, fmt.Errorf("server %q answered status %d without stating that it did not run the request", a.assignment.Server, status))
	case status >= http.StatusInternalServerError && x.mayRetryAnswer():
		x.recordUsage(time.Since(a.started))
		return a.newFailure(result.BackendServerError, balance.Failed, fmt.Errorf("server %q answered status %d", a.assignment.Server, status))
	}
	return nil
}

// checkRefusal returns nil if the server's statement that it did not run the request may be
// relayed. A status that promises that no server has run it may not if another one may have.
func (a *attempt) checkRefusal() *failure {
	status := a.response.StatusCode
	if !promisesNotRun(status) || a.x.possibleRuns == 0 {
		return nil
	}
	return a.newFailure(result.BackendServerError, balance.Failed, fmt.Errorf("server %q refused with status %d, but another server may have run the request", a.assignment.Server, status)).markNotRun()
}

// refusesAnother reports whether the answer may be the refusal of another request. Without
// an attempt id that is so on a connection that has carried other requests.
func (a *attempt) refusesAnother() bool {
	if !a.answer.NotRun || a.answer.Attempt == a.x.head.Attempt {
		return false
	}
	return a.answer.Attempt != "" || a.reused
}

func isOverloadStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// promisesNotRun reports whether the status tells a caller that its request has not run and
// never will, so that it may be repeated.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
