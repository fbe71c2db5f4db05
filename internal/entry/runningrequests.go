package entry

import (
	"context"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// runningRequests tracks requests, so that those that a newer configuration
// forbids can be cancelled. It is safe for concurrent use.
type runningRequests struct {
	mu       sync.Mutex
	requests map[*runningRequest]struct{}
}

// runningRequest holds what decides whether a request remains permitted.
type runningRequest struct {
	key          config.KeyDigest // empty on an open route
	organisation string
	service      string // plain service; empty for a model request
	gate         *result.Gate
	cancel       context.CancelCauseFunc
}

func newRunningRequests() *runningRequests {
	return &runningRequests{requests: make(map[*runningRequest]struct{})}
}

// add registers a request until the returned function is called.
func (w *runningRequests) add(t *runningRequest) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[t] = struct{}{}
	return func() { w.remove(t) }
}

func (w *runningRequests) remove(t *runningRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, t)
}

// cancelForbidden cancels every request that the snapshot forbids.
func (w *runningRequests) cancelForbidden(snap *config.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.requests {
		t.cancelIfForbidden(snap)
	}
}

// cancelIfForbidden cancels the request if the snapshot forbids it.
func (t *runningRequest) cancelIfForbidden(snap *config.Snapshot) {
	if denial := t.denial(snap); denial != nil {
		t.cancel(denial)
	}
}

// denial returns why the request must end, or nil. A withdrawn key or removed
// organisation ends it at any time. A service that no longer permits the
// organisation ends it only if it has not been sent.
func (t *runningRequest) denial(snap *config.Snapshot) *result.Error {
	if t.key != "" {
		state, ok := snap.Key(t.key)
		if !ok || state.Withdrawn || state.Organisation != t.organisation {
			return t.deny(result.KeyWithdrawn, "the key was withdrawn")
		}
		if snap.Organisation(t.organisation) == nil {
			return t.deny(result.NotPermitted, "the organisation was removed from the configuration")
		}
	}
	service := snap.Service(t.service)
	if service == nil || permitted(service, t.organisation) {
		return nil
	}
	return t.gate.TryRefuse(result.NotPermitted, "service %q was closed to the caller while the request waited", t.service)
}

// deny returns a "not run" refusal for a request that has not been sent, and a
// "may have run" error for one that has.
func (t *runningRequest) deny(code result.Code, reason string) *result.Error {
	if refusal := t.gate.TryRefuse(code, "%s while the request waited", reason); refusal != nil {
		return refusal
	}
	return result.MayHaveRun(result.StreamKeyLapsed, "%s while the request ran", reason)
}
