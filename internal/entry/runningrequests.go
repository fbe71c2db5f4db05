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
func (r *runningRequests) add(req *runningRequest) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[req] = struct{}{}
	return func() { r.remove(req) }
}

func (r *runningRequests) remove(req *runningRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, req)
}

// cancelForbidden cancels every request that the snapshot forbids.
func (r *runningRequests) cancelForbidden(snap *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for req := range r.requests {
		req.cancelIfForbidden(snap)
	}
}

// cancelIfForbidden cancels the request if the snapshot forbids it.
func (req *runningRequest) cancelIfForbidden(snap *config.Snapshot) {
	if denial := req.denial(snap); denial != nil {
		req.cancel(denial)
	}
}

// denial returns why the request must end, or nil. A withdrawn key or removed
// organisation ends it at any time. A service that no longer permits the
// organisation ends it only if it has not been sent.
func (req *runningRequest) denial(snap *config.Snapshot) *result.Error {
	if req.key != "" {
		state, ok := snap.Key(req.key)
		if !ok || state.Withdrawn || state.Organisation != req.organisation {
			return req.deny(result.KeyWithdrawn, "the key was withdrawn")
		}
		if snap.Organisation(req.organisation) == nil {
			return req.deny(result.NotPermitted, "the organisation was removed from the configuration")
		}
	}
	service := snap.Service(req.service)
	if service == nil || permitted(service, req.organisation) {
		return nil
	}
	return req.gate.TryRefuse(result.NotPermitted, "service %q was closed to the caller while the request waited", req.service)
}

// deny returns a "not run" refusal for a request that has not been sent, and a
// "may have run" error for one that has.
func (req *runningRequest) deny(code result.Code, reason string) *result.Error {
	if refusal := req.gate.TryRefuse(code, "%s while the request waited", reason); refusal != nil {
		return refusal
	}
	return result.MayHaveRun(result.StreamKeyWithdrawn, "%s while the request ran", reason)
}
