package dispatch

import (
	"context"
	"net/url"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// mayStillAnswer decides, each time the limit for headers has passed, whether
// to go on waiting. An answer that comes in one piece takes long even on a
// sound connection, and a non-idempotent request gains nothing by being left
// before its deadline.
func (a *attempt) mayStillAnswer() bool {
	r := a.x.call.Request
	if r.Idempotent && (r.Plain || r.Stream || r.Deadline.IsZero()) {
		return false
	}
	if !r.Plain && a.sent() {
		if running, known := a.askEngine(); known {
			return running
		}
	}
	if !r.Idempotent {
		return !r.Deadline.IsZero() // which ends the wait
	}
	// Leave as much time for a second attempt as the first has had.
	return time.Until(r.Deadline) > time.Since(a.started)
}

// askEngine asks over a fresh connection whether the engine still works on the
// attempt; known is false when it does not say.
func (a *attempt) askEngine() (running, known bool) {
	ctx, cancel := context.WithTimeout(a.ctx, a.x.d.options.ProbeTimeout)
	defer cancel()
	var status engineapi.AttemptStatus
	path := engineapi.AttemptPath + "?attempt=" + url.QueryEscape(a.id)
	if err := getJSON(ctx, a.target.Address, path, &status); err != nil {
		return false, false
	}
	return status.Running, true
}
