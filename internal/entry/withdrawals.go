package entry

import (
	"context"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// withdrawals ends running requests that a newer configuration does not permit.
type withdrawals struct {
	mu      sync.Mutex
	running map[*watch]struct{}
}

// watch is one running request.
type watch struct {
	key          config.KeyDigest // empty on an open route
	organisation string
	service      string // plain service; empty for a model
	gate         *result.Gate
	cancel       context.CancelCauseFunc
}

func newWithdrawals() *withdrawals {
	return &withdrawals{running: make(map[*watch]struct{})}
}

// add registers a request until the returned function is called.
func (w *withdrawals) add(t *watch) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[t] = struct{}{}
	return func() { w.remove(t) }
}

func (w *withdrawals) remove(t *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, t)
}

// apply cancels every running request that the snapshot does not permit.
func (w *withdrawals) apply(snap *config.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.running {
		t.apply(snap)
	}
}

// apply cancels the request if the snapshot does not permit it.
func (t *watch) apply(snap *config.Snapshot) {
	if ending := t.ending(snap); ending != nil {
		t.cancel(ending)
	}
}

// ending returns why the request must end. A lost key or organisation ends it at
// any time; a service that is closed to the organisation ends it until it is sent.
func (t *watch) ending(snap *config.Snapshot) *result.Error {
	if t.key != "" {
		state, ok := snap.Key(t.key)
		if !ok || state.Withdrawn || state.Organisation != t.organisation {
			return t.end(result.KeyWithdrawn, "the key was withdrawn")
		}
		if snap.Organisation(t.organisation) == nil {
			return t.end(result.NotPermitted, "the organisation was removed from the configuration")
		}
	}
	service := snap.Service(t.service)
	if service == nil || permitted(service, t.organisation) {
		return nil
	}
	return t.gate.TryRefuse(result.NotPermitted, "service %q was closed to the caller while the request waited", t.service)
}

// end tells a waiting request that it was not run and a started one that its
// answer ends.
func (t *watch) end(code result.Code, reason string) *result.Error {
	if refusal := t.gate.TryRefuse(code, "%s while the request waited", reason); refusal != nil {
		return refusal
	}
	return result.MayHaveRun(result.StreamKeyLapsed, "%s while the request ran", reason)
}
