package dispatch

import (
	"context"
	"net/url"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// shouldKeepWaiting decides whether to keep waiting each time the header
// timeout expires. An answer that is not streamed takes long even on a healthy
// connection, and abandoning a non-idempotent request before its deadline gains
// nothing.
func (a *attempt) shouldKeepWaiting() bool {
	r := a.x.call.Request
	if r.Idempotent && (r.Plain || r.Stream || r.Deadline.IsZero()) {
		return false
	}
	if !r.Plain && a.sent() {
		if running, known := a.queryAttemptStatus(); known {
			return running
		}
	}
	if !r.Idempotent {
		return !r.Deadline.IsZero() // the deadline ends the wait
	}
	// Leave at least as much time for a second attempt as the first has used.
	return time.Until(r.Deadline) > time.Since(a.started)
}

// queryAttemptStatus queries the engine over a new connection whether it is
// still working on the attempt. known is false if the engine did not answer.
func (a *attempt) queryAttemptStatus() (running, known bool) {
	ctx, cancel := context.WithTimeout(a.ctx, a.x.d.options.ProbeTimeout)
	defer cancel()
	var status engineapi.AttemptStatus
	path := engineapi.AttemptPath + "?attempt=" + url.QueryEscape(a.id)
	if err := getJSON(ctx, a.target.Address, path, &status); err != nil {
		return false, false
	}
	return status.Running, true
}
